"""The reducer's state. Only the reducer changes it."""

from __future__ import annotations

from collections import Counter
from enum import Enum

from msgspec import Struct, field

from reedspoke import interface as api
from reedspoke.net import effects as fx


class ConnectionPhase(Enum):
    """The phase of a connection to a worker."""

    CONNECTING = "dialling"
    BUSY = "busy"  # an attempt or a probe is in flight
    RESPONSE_ENDING = "ending"  # the outcome is known, the rest of the response is not read yet
    IDLE = "idle"


class IdleState(Enum):
    """The state of a client connection on which no response is owed."""

    HANDSHAKING = "shaking"  # its TLS handshake has not completed
    CLOSING = "ending"  # its last response has been sent
    ANSWERED = "answered"  # it has had responses, none of which was a result
    NOTHING_ASKED = "silent"  # no complete request has been received yet
    SERVED = "kept"  # it has had a result


class Client(Struct, eq=False):
    """A client connection."""

    id: int
    connected_at: int
    request: ClientRequest | None = None
    reading: bool = False
    answered: int = 0
    served: bool = False
    idle_state: IdleState | None = None


class ClientRequest(Struct, eq=False):
    """A job that a client requested, until it is answered and its last attempt has ended."""

    id: int
    name: str
    cls: str
    client: int
    message: object
    deadline: int
    slots: int = 1
    attempts: int = 0  # created so far
    first_run_at: int = 0  # when the first attempt that may have run was created, 0: none may have run
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    open: bool = True  # its final response is owed


class Attempt(Struct, eq=False):
    """One attempt of a request at one worker."""

    request: ClientRequest
    number: int
    worker_id: str
    created_at: int
    wait_until: int  # when it is given up
    start_before: int = 0  # it must not be sent at or after this time, 0: no limit
    conn: int = 0
    written: bool = False  # its last byte has been written: from then on its job may have run


class WorkerConnection(Struct, eq=False):
    """A connection to a worker."""

    id: int
    worker_id: str
    endpoint: tuple[str, int]
    phase: ConnectionPhase = ConnectionPhase.CONNECTING
    attempt: Attempt | None = None
    reused: bool = False  # it has been idle: it may have failed without notice
    responding: bool = False  # the worker has begun to respond to the attempt in flight
    probe_requested_at: int = 0  # when its probe was requested, 0: it carries none


class Worker(Struct, eq=False):
    """A worker as listed last."""

    uid: str
    endpoint: tuple[str, int]
    state: api.WorkerState
    started_at: int
    suspended: bool = False  # by an operator, whatever the list says
    idle: list[int] = field(default_factory=list)  # ids of its idle connections, the most recently used last

    def accepts_attempts(self) -> bool:
        """Whether the list and the operators allow attempts to this worker."""
        return self.state is api.WorkerState.UP and not self.suspended


class ProcessPhase(Enum):
    """The phase of this process."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "leaving"  # SIGTERM has been received; clients may still connect
    LISTENER_CLOSED = "shut"  # the listener is closed
    ENDED = "over"


class State(Struct):
    """All that the reducer knows."""

    phase: ProcessPhase = ProcessPhase.STARTING
    workers_listed: bool = False  # a list with at least one worker has been received
    inherited: bool = False  # the platform owns the listener, and a sibling process may hold it too
    workers_known: bool = True  # enough is known of the workers to accept clients
    accepting: bool = True
    last_logged_at: dict[str, int] = field(default_factory=dict)  # of each rate-limited log line
    directory: tuple[str, int] = ("", 0)
    watching: bool = False  # a watch was requested and has not been lost
    revision: int = 0
    outdated_since: int = (
        0  # since when all received lists are older than `revision`, 0: the last one was not
    )
    watch_active_at: int = 0  # the last message on the watch, or when the watch was requested
    unannounced_list: fx.WorkersListed | None = (
        None  # the configured list, while the module has not received it
    )
    watch_losses: int = 0  # failed calls and lost watches since the directory's last message
    clients: dict[int, Client] = field(default_factory=dict)
    idle_clients: dict[IdleState, dict[int, None]] = (
        field(  # clients that are owed no response, the longest idle first
            default_factory=lambda: {idle_state: {} for idle_state in IdleState}
        )
    )
    closing_clients: set[int] = field(default_factory=set)  # ids of clients whose connection is to be closed
    requests: dict[int, ClientRequest] = field(default_factory=dict)
    open_request_ids: set[str] = field(default_factory=set)  # ids of the requests that are owed a response
    workers: dict[str, Worker] = field(default_factory=dict)
    connections: dict[int, WorkerConnection] = field(default_factory=dict)
    idle_connections: dict[int, None] = field(
        default_factory=dict
    )  # idle connections of all workers, the longest idle first
    no_reuse_until: int = 0  # until then idle connections to workers are not reused
    timers: dict[int, str] = field(default_factory=dict)  # timers of the decision module, with their tokens
    log_counters: Counter[str] = field(default_factory=Counter)
    metric_counters: Counter[tuple[str, str]] = field(
        default_factory=Counter
    )  # metrics for operators: (metric, class)
    operator_calls: dict[int, bool] = field(
        default_factory=dict
    )  # by connection, the oldest first; True: its call has been received
    suspended: dict[str, tuple[str, int]] = field(
        default_factory=dict
    )  # workers suspended by operators, with their endpoint at that time
    excluded: set[str] = field(
        default_factory=set
    )  # suspended workers, and workers listed at their endpoints under another id
    ever_listed: dict[str, None] = field(default_factory=dict)
    kill_at: int = 0  # after SIGTERM: SIGKILL may follow soon after this time
    drained: bool = False  # by an operator: clients are disconnected
    pending_orders: dict[int, fx.RecordOrder] = field(
        default_factory=dict
    )  # by operator call: commands that wait for the sibling process's lock
    siblings: tuple[fx.SiblingProcess, ...] = ()  # the other processes of this scheduler
    published_usage: fx.PublishUsage | None = None  # what was last published to them
    last_id: int = 0

    def next_id(self) -> int:
        """Return a new id, unique in this process."""
        self.last_id += 1
        return self.last_id

    def able_to_serve(self) -> bool:
        """Whether this process can serve, drained or not."""
        return (
            self.phase is ProcessPhase.SERVING
            and self.workers_listed
            and self.workers_known
            and self.unannounced_list is None
        )

    def ready(self) -> bool:
        """Whether new clients may be sent to this process."""
        return self.able_to_serve() and not self.drained

    def leaving(self) -> bool:
        """Whether each response closes its client connection."""
        return self.drained or self.phase in (ProcessPhase.DRAINING, ProcessPhase.LISTENER_CLOSED)
