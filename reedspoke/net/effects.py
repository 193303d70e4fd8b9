"""What the reducer is told (events) and what it asks for (effects). Both know nothing of HTTP."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from reedspoke import interface as api

TimerKey = tuple[str, int]


class CloseMode(Enum):
    """How a client's connection is ended. One whose authorisation waits for its answer is never dropped."""

    IF_IDLE = "idle"  # unless bytes of an authorisation have come
    WITH_ERROR = "told"  # also half an authorisation, with an answer that says so
    IMMEDIATELY = "now"  # also half an authorisation, at once


class Outcome(Enum):
    """The final answer to an authorisation."""

    SERVED = "served"
    REJECTED = "declined"  # trying again is harmless
    FAILED = "failed"
    TIMED_OUT = "late"  # the last guard's
    INVALID = "invalid"  # it should not have come
    REVOKED = "withdrawn"  # it never ran, and its caller is believed no longer


class OperatorCommand(Enum):
    """What operators ask for."""

    READY = "ready"
    METRICS = "figures"
    SUSPEND = "suspend"
    RESUME = "resume"
    DRAIN = "drain"
    ACTIVATE = "activate"
    EXTENSION = "further"  # of a part beyond the platform's program


class CallResult(Enum):
    """What operators are told."""

    YES = "yes"
    NO = "no"
    UNKNOWN_WORKER = "no such worker"
    NOT_FOUND = "not here"  # the part that would know is not in use, or knows nothing of that name


# ---- what parts beyond the platform's program bring (`subsystem.py`) ----


class ExtensionEvent(Struct):
    """The base of their events."""


class ExtensionEffect(Struct):
    """The base of their effects."""


# ---- events ----


class ClientConnected(Struct):
    """A client has connected."""

    client: int


class HandshakeStarted(Struct):
    """A client has connected at a front that has to agree with it on keys first."""

    client: int


class HandshakeCompleted(Struct):
    """It has: from here on the client is as any other."""

    client: int


class RequestStarted(Struct):
    """The first bytes of an authorisation have come from a client."""

    client: int


class RequestReceived(Struct):
    """The last byte of an authorisation has come. `message` is what its legs will carry."""

    client: int
    name: str
    message: object
    cls: str
    timeout: int  # us that the client will wait
    cost_hint: int
    slots: int
    memory: float
    tenant: str
    key: str
    open_in_sibling: bool = False  # one of that id is open in this scheduler's other process


class CredentialRevoked(Struct):
    """What a client proved itself with counts no longer: nothing of it may go out that has not yet."""

    client: int


class ResponseSent(Struct):
    """An answer has been written, or an ill-formed authorisation has been told so."""

    client: int


class ClientClosing(Struct):
    """The last answer on a client's connection is given; what still comes is read and forgotten."""

    client: int


class RequestMalformed(Struct):
    """What a client sent is no authorisation; `status` tells it so."""

    status: int
    reason: str


class DescriptorsExhausted(Struct):
    """The system has no descriptor for a client that waits to be taken in."""


class ClientDisconnected(Struct):
    """A client's connection has ended."""

    client: int


class WorkerConnected(Struct):
    """A connection to an issuer host has come up."""

    conn: int


class AttemptWritten(Struct):
    """The last byte of a leg is written."""

    conn: int


class AttemptNotSent(Struct):
    """Not a byte of a leg was written: its client had gone by then, or the connection had ended."""

    conn: int
    ended: bool = False


class ResponseStarted(Struct):
    """A host has begun to answer a leg: it has taken it."""

    conn: int


class AttemptProgress(Struct):
    """A leg tells that its job has started, or how far it is."""

    conn: int
    kind: api.UpdateKind
    share: float


class OutcomeReceived(Struct):
    """A leg or a probe has its outcome; the rest of the answer may still be on its way."""

    conn: int
    reason: api.Reason
    report: tuple[float, ...] = ()
    result: bytes = b""
    invalid: bool = False  # the host says that the authorisation itself is at fault
    reusable: bool = False  # its answer has ended, and the connection may carry the next leg


class ResponseCompleted(Struct):
    """The whole answer has come: the connection can carry the next leg."""

    conn: int


class WorkerDisconnected(Struct):
    """A connection to an issuer host never came up or has ended."""

    conn: int


class ListedWorker(Struct):
    """An issuer host as the directory lists it."""

    entry: api.WorkerEntry
    endpoint: tuple[str, int]


class WorkersListed(Struct):
    kind: api.ListKind
    revision: int
    targets: list[ListedWorker]


class DirectoryHeartbeat(Struct):
    """The directory gives a sign of life."""


class WatchLost(Struct):
    """The watch has failed or has ended."""

    reason: str


class TimerFired(Struct):
    key: TimerKey


class ListenerOpened(Struct):
    """The listener is open."""


class ShutdownRequested(Struct):
    """The platform asks for a planned end."""


class ReloadRequested(Struct):
    """The platform has a new configuration."""


class ConfigurationReloaded(Struct):
    """It is read and holds; so far only the directory's address can change in service."""

    directory: tuple[str, int]


class OperatorConnected(Struct):
    """An operator has connected at the door."""

    caller: int


class OperatorCall(Struct):
    """A whole call has come; `host` is the issuer host that it names, if any. Of a further one: which, what
    it names and its body."""

    caller: int
    command: OperatorCommand
    host: str = ""
    which: str = ""
    names: tuple[str, ...] = ()
    body: bytes = b""


class OperatorDisconnected(Struct):
    """An operator's connection has ended."""

    caller: int


class ConfigurationRejected(Struct):
    """The new configuration is unusable: the old one stays in force."""


class SiblingProcess(Struct):
    """What another process of this scheduler holds, while one replaces the other."""

    leaving: bool
    descriptors: int
    slots: dict[str, int]  # at each issuer host
    learned: api.LearnedState


class SiblingsReported(Struct):
    """Which other processes of this scheduler live, and what they hold."""

    partners: tuple[SiblingProcess, ...]


class OrdersRecorded(Struct):
    """All that operators have ordered, as kept for both processes."""

    suspended: dict[str, tuple[str, int]]
    drained: bool
    caller: int = 0  # whose call changed it, 0: none here


class OrderNotRecorded(Struct):
    """An order could not be kept; `again`: for the moment."""

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
    client: int
    outcome: Outcome
    result: bytes = b""
    retry_after: int = 0
    last: bool = False  # the connection ends with it


class CloseClient(Struct):
    """End a client's connection."""

    client: int
    mode: CloseMode = CloseMode.IF_IDLE


class SetAccepting(Struct):
    """Take clients from now on, or leave them waiting while no descriptor is free."""

    on: bool


class SetHandshaking(Struct):
    """Begin further handshakes from now on, or leave who comes for one waiting."""

    on: bool


class CloseListener(Struct):
    """Close the listener; where nobody else has it, take in who is waiting first."""


class ConnectWorker(Struct):
    conn: int
    endpoint: tuple[str, int]


class SendAttempt(Struct):
    conn: int
    client: int  # whose job it is: nothing is written once that one has gone
    message: object
    timeout: int  # us that the answer is waited for


class SendProbe(Struct):
    """Send a probe."""

    conn: int


class DisconnectWorker(Struct):
    conn: int


class StartWatch(Struct):
    """Watch the directory for what has changed since `rev`; another watch ends with that."""

    endpoint: tuple[str, int]
    revision: int


class StopWatch(Struct):
    pass


class ReloadConfiguration(Struct):
    """Read the configuration again."""


class SetTimer(Struct):
    key: TimerKey
    at: int


class CancelTimer(Struct):
    key: TimerKey


class WriteLog(Struct):
    """A line for the log."""

    text: str
    fault: bool = False


class ReplyToOperator(Struct):
    """Answer an operator's call."""

    caller: int
    result: CallResult
    figures: bool = False  # with all figures as its text
    text: str = ""  # in place of the word's own
    status: int = 0  # in place of the word's own
    content_type: str = ""  # content type, where it is not plain text


class DisconnectOperator(Struct):
    """End an operator's connection that has not called."""

    caller: int


class RecordOrder(Struct):
    """Keep an operator's order where both processes see it."""

    caller: int
    command: OperatorCommand
    host: str = ""
    endpoint: tuple[str, int] = ("", 0)
    retries: int = 0  # that have failed, as the other process was at it


class ReadSharedState(Struct):
    """See what the other process, if there is one, has left for this one."""


class PublishUsage(Struct):
    """Tell the other process what this one holds."""

    leaving: bool
    descriptors: int
    slots: dict[str, int]
    learned: api.LearnedState


class ReleaseRequestId(Struct):
    """An authorisation is not open any more."""

    name: str


class Exit(Struct):
    pass


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
