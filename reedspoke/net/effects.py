"""Events, the reducer's inputs, and effects, its outputs. Neither depends on HTTP."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from reedspoke import interface as api

TimerKey = tuple[str, int]


class CloseMode(Enum):
    """When a client connection is closed. A connection that is owed a response is never closed."""

    IF_IDLE = "idle"  # only if no byte of a request has been received
    WITH_ERROR = "told"  # a partly received request gets an error response
    IMMEDIATELY = "now"  # at once, even if a request has been partly received


class Outcome(Enum):
    """The final outcome of a client request."""

    SERVED = "served"
    REJECTED = "declined"  # a retry by the client is safe
    FAILED = "failed"
    TIMED_OUT = "late"  # the deadline timer of `clients` answered it
    INVALID = "invalid"  # the request itself is invalid
    REVOKED = "withdrawn"  # the caller's credential was revoked before any attempt


class OperatorCommand(Enum):
    """A command of an operator call."""

    READY = "ready"
    METRICS = "figures"
    SUSPEND = "suspend"
    RESUME = "resume"
    DRAIN = "drain"
    ACTIVATE = "activate"
    EXTENSION = "further"  # a call that an extension handles


class CallResult(Enum):
    """The result of an operator call."""

    YES = "yes"
    NO = "no"
    UNKNOWN_WORKER = "no such worker"
    NOT_FOUND = "not here"  # the extension is not in use, or does not know the name


# ---- base classes for extensions (`subsystem.py`) ----


class ExtensionEvent(Struct):
    """Base class of extension events."""


class ExtensionEffect(Struct):
    """Base class of extension effects."""


# ---- events ----


class ClientConnected(Struct):
    """A client has connected."""

    client: int


class HandshakeStarted(Struct):
    """A client has connected and its TLS handshake has begun."""

    client: int


class HandshakeCompleted(Struct):
    """The TLS handshake has succeeded: the client is now handled like any other."""

    client: int


class RequestStarted(Struct):
    """The first bytes of a request have been received."""

    client: int


class RequestReceived(Struct):
    """The last byte of a request has been received. `message` is what its attempts send."""

    client: int
    name: str
    message: object
    cls: str
    timeout: int  # us until the client's deadline
    cost_hint: int
    slots: int
    memory: float
    tenant: str
    key: str
    open_in_sibling: bool = False  # a request of that id is open in a sibling process


class CredentialRevoked(Struct):
    """The credential of a client has been revoked: its request may not start a first attempt."""

    client: int


class ResponseSent(Struct):
    """A response has been written, including error responses to malformed requests."""

    client: int


class ClientClosing(Struct):
    """The last response on a client connection has been sent; further input is discarded."""

    client: int


class RequestMalformed(Struct):
    """A client sent an invalid request, or a worker reported one; `status` is the HTTP status."""

    status: int
    reason: str


class DescriptorsExhausted(Struct):
    """The system has no file descriptor left to accept a waiting client."""


class ClientDisconnected(Struct):
    """A client connection has closed."""

    client: int


class WorkerConnected(Struct):
    """A connection to a worker has been established."""

    conn: int


class AttemptWritten(Struct):
    """The last byte of an attempt has been written."""

    conn: int


class AttemptNotSent(Struct):
    """No byte of an attempt was written: its client had disconnected, or, with `ended`, the connection had
    closed or carried unexpected input."""

    conn: int
    ended: bool = False


class ResponseStarted(Struct):
    """A worker has begun to respond to an attempt or a probe."""

    conn: int


class AttemptProgress(Struct):
    """A worker reports that a job has started, or its progress."""

    conn: int
    kind: api.UpdateKind
    share: float


class OutcomeReceived(Struct):
    """The outcome of an attempt or a probe is known; the rest of the response may still be in flight."""

    conn: int
    reason: api.Reason
    report: tuple[float, ...] = ()
    result: bytes = b""
    invalid: bool = False  # the worker rejects the request itself as invalid
    reusable: bool = False  # the response has ended; the connection may be reused


class ResponseCompleted(Struct):
    """The response has been read completely: the connection can be reused."""

    conn: int


class WorkerDisconnected(Struct):
    """A connection to a worker could not be established, or has closed."""

    conn: int


class ListedWorker(Struct):
    """A worker as the directory lists it."""

    entry: api.WorkerEntry
    endpoint: tuple[str, int]


class WorkersListed(Struct):
    """A complete list of workers, or changes of it."""

    kind: api.ListKind
    revision: int
    targets: list[ListedWorker]


class DirectoryHeartbeat(Struct):
    """The directory has sent a heartbeat on the watch."""


class WatchLost(Struct):
    """The watch on the directory has failed or has closed."""

    reason: str


class TimerFired(Struct):
    """A timer has expired."""

    key: TimerKey


class ListenerOpened(Struct):
    """The client listener is open."""


class ShutdownRequested(Struct):
    """The platform requests a graceful shutdown (SIGTERM)."""


class ReloadRequested(Struct):
    """The platform has a new configuration (SIGHUP)."""


class ConfigurationReloaded(Struct):
    """The new configuration is valid; only the directory's address can change while in service."""

    directory: tuple[str, int]


class OperatorConnected(Struct):
    """An operator has connected to the operator listener."""

    caller: int


class OperatorCall(Struct):
    """An operator call has been received; `host` is the worker that it names, if any. `which`, `names` and
    `body` are the call, its path parameters and its body where an extension handles it."""

    caller: int
    command: OperatorCommand
    host: str = ""
    which: str = ""
    names: tuple[str, ...] = ()
    body: bytes = b""


class OperatorDisconnected(Struct):
    """An operator connection has closed."""

    caller: int


class ConfigurationRejected(Struct):
    """The new configuration is invalid: the old one stays in force."""


class SiblingProcess(Struct):
    """The resources that a sibling process of this scheduler uses during a handover."""

    leaving: bool
    descriptors: int
    slots: dict[str, int]  # in use at each worker
    learned: api.LearnedState


class SiblingsReported(Struct):
    """The live sibling processes of this scheduler, and their resources."""

    partners: tuple[SiblingProcess, ...]


class OrdersRecorded(Struct):
    """All operator commands in force, as recorded for both processes."""

    suspended: dict[str, tuple[str, int]]
    drained: bool
    caller: int = 0  # the operator call that changed it, 0: none of this process


class OrderNotRecorded(Struct):
    """An operator command could not be recorded; `again`: a retry may succeed."""

    record: RecordOrder
    again: bool


Event = (
    ExtensionEvent
    | ClientConnected
    | HandshakeStarted
    | HandshakeCompleted
    | CredentialRevoked
    | RequestStarted
    | RequestReceived
    | ResponseSent
    | ClientClosing
    | RequestMalformed
    | ClientDisconnected
    | DescriptorsExhausted
    | WorkerConnected
    | AttemptWritten
    | AttemptNotSent
    | ResponseStarted
    | AttemptProgress
    | OutcomeReceived
    | ResponseCompleted
    | WorkerDisconnected
    | WorkersListed
    | DirectoryHeartbeat
    | WatchLost
    | TimerFired
    | ListenerOpened
    | ShutdownRequested
    | ReloadRequested
    | ConfigurationReloaded
    | ConfigurationRejected
    | OperatorConnected
    | OperatorCall
    | OperatorDisconnected
    | SiblingsReported
    | OrdersRecorded
    | OrderNotRecorded
)

# ---- effects ----


class SendResponse(Struct):
    """Send the final response to a client."""

    client: int
    outcome: Outcome
    result: bytes = b""
    retry_after: int = 0
    last: bool = False  # the connection is closed after it


class CloseClient(Struct):
    """Close a client connection."""

    client: int
    mode: CloseMode = CloseMode.IF_IDLE


class SetAccepting(Struct):
    """Accept clients, or leave them in the backlog while no descriptor is free."""

    on: bool


class SetHandshaking(Struct):
    """Accept TLS clients, or leave them in the backlog while too many handshakes are in flight."""

    on: bool


class CloseListener(Struct):
    """Close the listener; where no other process holds it, accept its backlog first."""


class ConnectWorker(Struct):
    """Open a connection to a worker."""

    conn: int
    endpoint: tuple[str, int]


class SendAttempt(Struct):
    """Write an attempt to a worker connection."""

    conn: int
    client: int  # nothing is written once this client has disconnected
    message: object
    timeout: int  # us that the attempt may take


class SendProbe(Struct):
    """Write a probe to a worker connection."""

    conn: int


class DisconnectWorker(Struct):
    """Close a connection to a worker."""

    conn: int


class StartWatch(Struct):
    """Watch the directory for changes since `revision`; this replaces any other watch."""

    endpoint: tuple[str, int]
    revision: int


class StopWatch(Struct):
    """Close the watch on the directory."""


class ReloadConfiguration(Struct):
    """Read the configuration file again."""


class SetTimer(Struct):
    """Set a timer; it replaces a timer of the same key."""

    key: TimerKey
    at: int


class CancelTimer(Struct):
    """Cancel a timer, if it is set."""

    key: TimerKey


class WriteLog(Struct):
    """Write a log line; `fault` marks a defect of this program."""

    text: str
    fault: bool = False


class ReplyToOperator(Struct):
    """Respond to an operator call."""

    caller: int
    result: CallResult
    figures: bool = False  # the body is all metrics
    text: str = ""  # in place of the text of `result`
    status: int = 0  # in place of the HTTP status of `result`
    content_type: str = ""  # "" for plain text


class DisconnectOperator(Struct):
    """Close an operator connection that has not sent a call."""

    caller: int


class RecordOrder(Struct):
    """Record an operator command where sibling processes read it."""

    caller: int
    command: OperatorCommand
    host: str = ""
    endpoint: tuple[str, int] = ("", 0)
    retries: int = 0  # attempts that failed because the sibling process held the lock


class ReadSharedState(Struct):
    """Read what sibling processes have published, and the recorded operator commands."""


class PublishUsage(Struct):
    """Publish the resources that this process uses to its sibling processes."""

    leaving: bool
    descriptors: int
    slots: dict[str, int]
    learned: api.LearnedState


class ReleaseRequestId(Struct):
    """Release the claim on a request id: the request is no longer open."""

    name: str


class Exit(Struct):
    """End the process."""


Effect = (
    SendResponse
    | CloseClient
    | SetAccepting
    | SetHandshaking
    | CloseListener
    | ConnectWorker
    | SendAttempt
    | SendProbe
    | DisconnectWorker
    | StartWatch
    | StopWatch
    | ReloadConfiguration
    | SetTimer
    | CancelTimer
    | WriteLog
    | ReplyToOperator
    | DisconnectOperator
    | RecordOrder
    | ReadSharedState
    | PublishUsage
    | ReleaseRequestId
    | Exit
    | ExtensionEffect
)
