"""What the reducer remembers. Only the reducer changes it."""

from __future__ import annotations

from collections import Counter
from enum import Enum

from msgspec import Struct, field

from reedspoke import interface as api
from reedspoke.net import effects as fx


class ConnectionPhase(Enum):
    """Of a connection to an issuer host."""

    CONNECTING = "dialling"
    BUSY = "busy"  # its leg or probe is out
    RESPONSE_ENDING = "ending"  # its leg has its outcome, the rest of the answer has not come
    IDLE = "idle"


class IdleState(Enum):
    """Of a client's connection on which no answer is owed."""

    HANDSHAKING = "shaking"  # it has not agreed on keys with a front that needs them
    CLOSING = "ending"  # it has its last answer
    ANSWERED = "answered"  # it has had answers, and none of them was a result
    NOTHING_ASKED = "silent"  # it has not asked anything as yet, or not wholly
    SERVED = "kept"  # it was served


class Client(Struct, eq=False):
    id: int
    connected_at: int
    request: ClientRequest | None = None
    reading: bool = False
    answered: int = 0
    served: bool = False
    idle_state: IdleState | None = None


class ClientRequest(Struct, eq=False):
    id: int
    name: str
    cls: str
    client: int
    message: object
    deadline: int
    slots: int = 1
    attempts: int = 0  # made so far
    first_run_at: int = 0  # when the first leg that may have run was made, 0: none may have
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    open: bool = True  # owed its final answer


class Attempt(Struct, eq=False):
    request: ClientRequest
    number: int
    host: str
    created_at: int
    wait_until: int  # nobody waits for it any longer
    start_before: int = 0  # it may not begin later, 0: whenever it comes up
    conn: int = 0
    written: bool = False  # its last byte: from here on its job may have run


class WorkerConnection(Struct, eq=False):
    id: int
    host: str
    endpoint: tuple[str, int]
    phase: ConnectionPhase = ConnectionPhase.CONNECTING
    attempt: Attempt | None = None
    reused: bool = False  # it has been idle: it may have died unseen
    responding: bool = False  # its host has begun to answer the leg in hand
    probe_requested_at: int = 0  # when its probe was asked for, 0: it carries none


class Worker(Struct, eq=False):
    """An issuer host as listed last."""

    uid: str
    endpoint: tuple[str, int]
    state: api.WorkerState
    started_at: int
    suspended: bool = False  # by hand, whatever the list says
    idle: list[int] = field(default_factory=list)  # its idle connections, the latest used last

    def accepts_attempts(self) -> bool:
        """Legs may go there, as far as the list and the operators say."""
        return self.state is api.WorkerState.UP and not self.suspended


class ProcessPhase(Enum):
    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "leaving"  # SIGTERM has come; clients still connect
    LISTENER_CLOSED = "shut"  # the listener is closed
    ENDED = "over"


class State(Struct):
    phase: ProcessPhase = ProcessPhase.STARTING
    workers_listed: bool = False  # a list that names an issuer host has been told to the module
    inherited: bool = False  # the listener is the platform's, and another process may have it as well
    workers_known: bool = True  # what is known of the hosts will do to take clients in
    accepting: bool = True
    last_logged_at: dict[str, int] = field(
        default_factory=dict
    )  # when a line that may come often was logged last
    directory: tuple[str, int] = ("", 0)
    watching: bool = False  # a watch is asked for and has not been lost
    revision: int = 0
    outdated_since: int = 0  # since when the directory has told of versions before `rev` alone, 0: it has not
    watch_active_at: int = 0  # the directory's last word on the watch, or when that was asked for
    unannounced_list: fx.WorkersListed | None = (
        None  # the list as given at the start, which the module has not heard as yet
    )
    watch_losses: int = 0  # calls made in vain, and watches lost, since the directory's last sign of life
    clients: dict[int, Client] = field(default_factory=dict)
    idle_clients: dict[IdleState, dict[int, None]] = (
        field(  # clients that are owed nothing, the longest first
            default_factory=lambda: {standing: {} for standing in IdleState}
        )
    )
    closing_clients: set[int] = field(default_factory=set)  # clients that are to be dropped
    requests: dict[int, ClientRequest] = field(default_factory=dict)
    open_request_ids: set[str] = field(default_factory=set)  # of the authorisations that are open
    workers: dict[str, Worker] = field(default_factory=dict)
    connections: dict[int, WorkerConnection] = field(default_factory=dict)
    idle_connections: dict[int, None] = field(
        default_factory=dict
    )  # idle connections of all hosts, the longest first
    no_reuse_until: int = 0  # until then kept connections to issuer hosts are not used again
    timers: dict[int, str] = field(default_factory=dict)  # the module's, with their tokens
    log_counters: Counter[str] = field(default_factory=Counter)
    metric_counters: Counter[tuple[str, str]] = field(
        default_factory=Counter
    )  # what operators see: (what, class)
    operator_calls: dict[int, bool] = field(default_factory=dict)  # the longest first; True: has called
    suspended: dict[str, tuple[str, int]] = field(default_factory=dict)  # by hand; with its endpoint then
    excluded: set[str] = field(default_factory=set)  # those, and who stands at their endpoints by another id
    ever_listed: dict[str, None] = field(default_factory=dict)
    kill_at: int = 0  # SIGKILL may come soon after that, once SIGTERM has
    drained: bool = False  # by hand: clients are sent away
    pending_orders: dict[int, fx.RecordOrder] = field(
        default_factory=dict
    )  # of callers, waiting for the other process
    siblings: tuple[fx.SiblingProcess, ...] = ()  # other processes of this scheduler
    published_usage: fx.PublishUsage | None = None  # what they were told last
    last_id: int = 0

    def next_id(self) -> int:
        self.last_id += 1
        return self.last_id

    def able_to_serve(self) -> bool:
        """This process can serve, whether or not clients are sent to it."""
        return (
            self.phase is ProcessPhase.SERVING
            and self.workers_listed
            and self.workers_known
            and self.unannounced_list is None
        )

    def ready(self) -> bool:
        """Clients may be sent here."""
        return self.able_to_serve() and not self.drained

    def leaving(self) -> bool:
        """Each answer is its client's last here."""
        return self.drained or self.phase in (ProcessPhase.DRAINING, ProcessPhase.LISTENER_CLOSED)
