"""What the reducer is told (events) and what it asks for (effects). Both know nothing of HTTP."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from reedspoke import interface as api

TimerKey = tuple[str, int]


class Farewell(Enum):
    """How a client's connection is ended. One whose authorisation waits for its answer is never dropped."""

    IDLE = "idle"  # unless bytes of an authorisation have come
    TOLD = "told"  # also half an authorisation, with an answer that says so
    NOW = "now"  # also half an authorisation, at once


class Verdict(Enum):
    """The final answer to an authorisation."""

    SERVED = "served"
    DECLINED = "declined"  # trying again is harmless
    FAILED = "failed"
    LATE = "late"  # the last guard's
    INVALID = "invalid"  # it should not have come
    WITHDRAWN = "withdrawn"  # it never ran, and its caller is believed no longer


class Order(Enum):
    """What operators ask for."""

    READY = "ready"
    FIGURES = "figures"
    SUSPEND = "suspend"
    RESUME = "resume"
    DRAIN = "drain"
    ACTIVATE = "activate"
    FURTHER = "further"  # of a part beyond the platform's program


class Word(Enum):
    """What operators are told."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "no such worker"
    ABSENT = "not here"  # the part that would know is not in use, or knows nothing of that name


# ---- what parts beyond the platform's program bring (`subsystem.py`) ----


class FurtherEvent(Struct):
    """The base of their events."""


class FurtherEffect(Struct):
    """The base of their effects."""


# ---- events ----


class Joined(Struct):
    """A client has connected."""

    client: int


class Greeted(Struct):
    """A client has connected at a front that has to agree with it on keys first."""

    client: int


class Secured(Struct):
    """It has: from here on the client is as any other."""

    client: int


class Reading(Struct):
    """The first bytes of an authorisation have come from a client."""

    client: int


class Arrived(Struct):
    """The last byte of an authorisation has come. `message` is what its legs will carry."""

    client: int
    name: str
    message: object
    cls: str
    span: int  # us that the client will wait
    hint: int
    slots: int
    memory: float
    tenant: str
    key: str
    elsewhere: bool = False  # one of that id is open in this scheduler's other process


class Withdrawn(Struct):
    """What a client proved itself with counts no longer: nothing of it may go out that has not yet."""

    client: int


class Answered(Struct):
    """An answer has been written, or an ill-formed authorisation has been told so."""

    client: int


class Ending(Struct):
    """The last answer on a client's connection is given; what still comes is read and forgotten."""

    client: int


class Refused(Struct):
    """What a client sent is no authorisation; `status` tells it so."""

    status: int
    why: str


class Scarce(Struct):
    """The system has no descriptor for a client that waits to be taken in."""


class Parted(Struct):
    """A client's connection has ended."""

    client: int


class Opened(Struct):
    """A connection to an issuer host has come up."""

    conn: int


class Written(Struct):
    """The last byte of a leg is written."""

    conn: int


class Unsent(Struct):
    """Not a byte of a leg was written: its client had gone by then, or the connection had ended."""

    conn: int
    ended: bool = False


class Heard(Struct):
    """A host has begun to answer a leg: it has taken it."""

    conn: int


class Noted(Struct):
    """A leg tells that its job has started, or how far it is."""

    conn: int
    kind: api.UpdateKind
    share: float


class Concluded(Struct):
    """A leg or a probe has its outcome; the rest of the answer may still be on its way."""

    conn: int
    reason: api.Reason
    report: tuple[float, ...] = ()
    result: bytes = b""
    invalid: bool = False  # the host says that the authorisation itself is at fault
    free: bool = False  # its answer has ended, and the connection may carry the next leg


class Freed(Struct):
    """The whole answer has come: the connection can carry the next leg."""

    conn: int


class Broken(Struct):
    """A connection to an issuer host never came up or has ended."""

    conn: int


class Target(Struct):
    """An issuer host as the directory lists it."""

    entry: api.WorkerEntry
    endpoint: tuple[str, int]


class Listed(Struct):
    kind: api.ListKind
    rev: int
    targets: list[Target]


class Beaten(Struct):
    """The directory gives a sign of life."""


class Unlisted(Struct):
    """The watch has failed or has ended."""

    why: str


class Rung(Struct):
    key: TimerKey


class Listening(Struct):
    """The listener is open."""


class Stop(Struct):
    """The platform asks for a planned end."""


class Reload(Struct):
    """The platform has a new configuration."""


class Reloaded(Struct):
    """It is read and holds; so far only the directory's address can change in service."""

    directory: tuple[str, int]


class Rang(Struct):
    """An operator has connected at the door."""

    caller: int


class Called(Struct):
    """A whole call has come; `host` is the issuer host that it names, if any. Of a further one: which, what
    it names and its body."""

    caller: int
    order: Order
    host: str = ""
    which: str = ""
    names: tuple[str, ...] = ()
    body: bytes = b""


class Hungup(Struct):
    """An operator's connection has ended."""

    caller: int


class Unloaded(Struct):
    """The new configuration is unusable: the old one stays in force."""


class Partner(Struct):
    """What another process of this scheduler holds, while one replaces the other."""

    leaving: bool
    descriptors: int
    slots: dict[str, int]  # at each issuer host
    learned: api.LearnedState


class Accompanied(Struct):
    """Which other processes of this scheduler live, and what they hold."""

    partners: tuple[Partner, ...]


class Ordered(Struct):
    """All that operators have ordered, as kept for both processes."""

    suspended: dict[str, tuple[str, int]]
    drained: bool
    caller: int = 0  # whose call changed it, 0: none here


class Unrecorded(Struct):
    """An order could not be kept; `again`: for the moment."""

    record: Record
    again: bool


Event = (
    FurtherEvent | Joined | Greeted | Secured | Withdrawn | Reading | Arrived | Answered | Ending |
    Refused | Parted | Scarce | Opened | Written | Unsent | Heard | Noted | Concluded | Freed | Broken |
    Listed | Beaten | Unlisted | Rung | Listening | Stop | Reload | Reloaded | Unloaded | Rang | Called |
    Hungup | Accompanied | Ordered | Unrecorded
)  # fmt: skip

# ---- effects ----


class Answer(Struct):
    client: int
    verdict: Verdict
    result: bytes = b""
    retry_after: int = 0
    last: bool = False  # the connection ends with it


class Drop(Struct):
    """End a client's connection."""

    client: int
    how: Farewell = Farewell.IDLE


class Accept(Struct):
    """Take clients from now on, or leave them waiting while no descriptor is free."""

    on: bool


class Admit(Struct):
    """Begin further handshakes from now on, or leave who comes for one waiting."""

    on: bool


class Shut(Struct):
    """Close the listener; where nobody else has it, take in who is waiting first."""


class Dial(Struct):
    conn: int
    endpoint: tuple[str, int]


class Transmit(Struct):
    conn: int
    client: int  # whose job it is: nothing is written once that one has gone
    message: object
    wait: int  # us that the answer is waited for


class Ask(Struct):
    """Send a probe."""

    conn: int


class Hangup(Struct):
    conn: int


class Follow(Struct):
    """Watch the directory for what has changed since `rev`; another watch ends with that."""

    endpoint: tuple[str, int]
    rev: int


class Unfollow(Struct):
    pass


class Reread(Struct):
    """Read the configuration again."""


class Ring(Struct):
    key: TimerKey
    at: int


class Quiet(Struct):
    key: TimerKey


class Say(Struct):
    """A line for the log."""

    text: str
    fault: bool = False


class Reply(Struct):
    """Answer an operator's call."""

    caller: int
    word: Word
    figures: bool = False  # with all figures as its text
    text: str = ""  # in place of the word's own
    status: int = 0  # in place of the word's own
    form: str = ""  # content type, where it is not plain text


class Dismiss(Struct):
    """End an operator's connection that has not called."""

    caller: int


class Record(Struct):
    """Keep an operator's order where both processes see it."""

    caller: int
    order: Order
    host: str = ""
    endpoint: tuple[str, int] = ("", 0)
    tries: int = 0  # that have failed, as the other process was at it


class Look(Struct):
    """See what the other process, if there is one, has left for this one."""


class Hold(Struct):
    """Tell the other process what this one holds."""

    leaving: bool
    descriptors: int
    slots: dict[str, int]
    learned: api.LearnedState


class Unclaim(Struct):
    """An authorisation is not open any more."""

    name: str


class Exit(Struct):
    pass


Effect = (
    Answer
    | Drop
    | Accept
    | Admit
    | Shut
    | Dial
    | Transmit
    | Ask
    | Hangup
    | Follow
    | Unfollow
    | Reread
    | Ring
    | Quiet
    | Say
    | Reply
    | Dismiss
    | Record
    | Look
    | Hold
    | Unclaim
    | Exit
    | FurtherEffect
)
