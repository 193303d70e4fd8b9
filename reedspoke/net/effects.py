"""What the reducer is told (events) and what it asks for (effects). Both know nothing of HTTP."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

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
    FLEET = "fleet"
    RELEASE = "release"


class Word(Enum):
    """What operators are told."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "no such worker"
    ABSENT = "not here"  # the part that would know is not in use, or knows nothing of that name


# ---- events ----


@dataclass(slots=True)
class Joined:
    """A client has connected."""

    client: int


@dataclass(slots=True)
class Greeted:
    """A client has connected at a front that has to agree with it on keys first."""

    client: int


@dataclass(slots=True)
class Secured:
    """It has: from here on the client is as any other."""

    client: int


@dataclass(slots=True)
class Reading:
    """The first bytes of an authorisation have come from a client."""

    client: int


@dataclass(slots=True)
class Arrived:
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


@dataclass(slots=True)
class Withdrawn:
    """What a client proved itself with counts no longer: nothing of it may go out that has not yet."""

    client: int


@dataclass(slots=True)
class Answered:
    """An answer has been written, or an ill-formed authorisation has been told so."""

    client: int


@dataclass(slots=True)
class Ending:
    """The last answer on a client's connection is given; what still comes is read and forgotten."""

    client: int


@dataclass(slots=True)
class Refused:
    """What a client sent is no authorisation; `status` tells it so."""

    status: int
    why: str


@dataclass(slots=True)
class Parted:
    """A client's connection has ended."""

    client: int


@dataclass(slots=True)
class Opened:
    """A connection to an issuer host has come up."""

    conn: int


@dataclass(slots=True)
class Written:
    """The last byte of a leg is written."""

    conn: int


@dataclass(slots=True)
class Heard:
    """A host has begun to answer a leg: it has taken it."""

    conn: int


@dataclass(slots=True)
class Noted:
    """A leg tells that its job has started, or how far it is."""

    conn: int
    kind: api.NoteKind
    share: float


@dataclass(slots=True)
class Concluded:
    """A leg or a probe has its outcome; the rest of the answer may still be on its way."""

    conn: int
    reason: api.Reason
    report: tuple[float, ...] = ()
    result: bytes = b""
    invalid: bool = False  # the host says that the authorisation itself is at fault
    free: bool = False  # its answer has ended, and the connection may carry the next leg


@dataclass(slots=True)
class Freed:
    """The whole answer has come: the connection can carry the next leg."""

    conn: int


@dataclass(slots=True)
class Broken:
    """A connection to an issuer host never came up or has ended."""

    conn: int


@dataclass(slots=True)
class Target:
    """An issuer host as the directory lists it."""

    entry: api.Entry
    endpoint: tuple[str, int]


@dataclass(slots=True)
class Listed:
    kind: api.ListKind
    rev: int
    targets: list[Target]


@dataclass(slots=True)
class Beaten:
    """The directory gives a sign of life."""


@dataclass(slots=True)
class Unlisted:
    """The watch has failed or has ended."""

    why: str


@dataclass(slots=True)
class Rung:
    key: TimerKey


@dataclass(slots=True)
class Listening:
    """The listener is open."""


@dataclass(slots=True)
class Stop:
    """The platform asks for a planned end."""


@dataclass(slots=True)
class Reload:
    """The platform has a new configuration."""


@dataclass(slots=True)
class Reloaded:
    """It is read and holds; so far only the directory's address can change in service."""

    directory: tuple[str, int]


@dataclass(slots=True)
class Rang:
    """An operator has connected at the door."""

    caller: int


@dataclass(slots=True)
class Called:
    """A whole call has come; `host` is the issuer host that it names, if any."""

    caller: int
    order: Order
    host: str = ""


@dataclass(slots=True)
class Hungup:
    """An operator's connection has ended."""

    caller: int


@dataclass(slots=True)
class Unloaded:
    """The new configuration is unusable: the old one stays in force."""


@dataclass(slots=True)
class Partner:
    """What another process of this scheduler holds, while one replaces the other."""

    leaving: bool
    descriptors: int
    slots: dict[str, int]  # at each issuer host
    learned: api.Learned


@dataclass(slots=True)
class Accompanied:
    """Which other processes of this scheduler live, and what they hold."""

    partners: tuple[Partner, ...]


@dataclass(slots=True)
class Ordered:
    """All that operators have ordered, as kept for both processes."""

    suspended: dict[str, tuple[str, int]]
    drained: bool
    caller: int = 0  # whose call changed it, 0: none here


@dataclass(slots=True)
class Unrecorded:
    """An order could not be kept; `again`: for the moment."""

    record: Record
    again: bool


@dataclass(slots=True)
class Joining:
    """Messages between schedulers can come from now on."""


@dataclass(slots=True)
class Came:
    """A message from another scheduler; it may be anything."""

    body: bytes
    sender: int = -1  # by its address


@dataclass(slots=True)
class Acted:
    """An act of a duty is over. `status`: of its answer, 0: none; `token`: the later one that it named, 0."""

    duty: str
    status: int
    token: int = 0


Event = (
    Joining | Came | Acted | Joined | Greeted | Secured | Withdrawn | Reading | Arrived | Answered | Ending |
    Refused | Parted | Opened | Written | Heard | Noted | Concluded | Freed | Broken | Listed | Beaten |
    Unlisted | Rung |
    Listening | Stop | Reload | Reloaded | Unloaded | Rang | Called | Hungup | Accompanied | Ordered |
    Unrecorded
)  # fmt: skip

# ---- effects ----


@dataclass(slots=True)
class Answer:
    client: int
    verdict: Verdict
    result: bytes = b""
    retry_after: int = 0
    last: bool = False  # the connection ends with it


@dataclass(slots=True)
class Drop:
    """End a client's connection."""

    client: int
    how: Farewell = Farewell.IDLE


@dataclass(slots=True)
class Accept:
    """Take clients from now on, or leave them waiting while no descriptor is free."""

    on: bool


@dataclass(slots=True)
class Admit:
    """Begin further handshakes from now on, or leave who comes for one waiting."""

    on: bool


@dataclass(slots=True)
class Shut:
    """Close the listener; where nobody else has it, take in who is waiting first."""


@dataclass(slots=True)
class Dial:
    conn: int
    endpoint: tuple[str, int]


@dataclass(slots=True)
class Transmit:
    conn: int
    message: object
    wait: int  # us that the answer is waited for


@dataclass(slots=True)
class Ask:
    """Send a probe."""

    conn: int


@dataclass(slots=True)
class Hangup:
    conn: int


@dataclass(slots=True)
class Follow:
    """Watch the directory for what has changed since `rev`; another watch ends with that."""

    endpoint: tuple[str, int]
    rev: int


@dataclass(slots=True)
class Unfollow:
    pass


@dataclass(slots=True)
class Reread:
    """Read the configuration again."""


@dataclass(slots=True)
class Ring:
    key: TimerKey
    at: int


@dataclass(slots=True)
class Quiet:
    key: TimerKey


@dataclass(slots=True)
class Say:
    """A line for the log."""

    text: str
    fault: bool = False


@dataclass(slots=True)
class Reply:
    """Answer an operator's call."""

    caller: int
    word: Word
    figures: bool = False  # with all figures as its text
    text: str = ""  # in place of the word's own


@dataclass(slots=True)
class Dismiss:
    """End an operator's connection that has not called."""

    caller: int


@dataclass(slots=True)
class Record:
    """Keep an operator's order where both processes see it."""

    caller: int
    order: Order
    host: str = ""
    endpoint: tuple[str, int] = ("", 0)
    tries: int = 0  # that have failed, as the other process was at it


@dataclass(slots=True)
class Look:
    """See what the other process, if there is one, has left for this one."""


@dataclass(slots=True)
class Hold:
    """Tell the other process what this one holds."""

    leaving: bool
    descriptors: int
    slots: dict[str, int]
    learned: api.Learned


@dataclass(slots=True)
class Unclaim:
    """An authorisation is not open any more."""

    name: str


@dataclass(slots=True)
class Spread:
    """Send messages to one scheduler, or to every other one; they may be lost."""

    bodies: tuple[bytes, ...]
    to: int = -1


@dataclass(slots=True)
class Act:
    """Carry out an act of a duty, if that is before `until` still; its token goes with it."""

    duty: str
    token: int
    until: int


@dataclass(slots=True)
class Enter:
    """A duty is this scheduler's until then, by its clock; told again whenever that is later."""

    duty: str
    token: int
    until: int


@dataclass(slots=True)
class Leave:
    """It is not any more."""

    duty: str


@dataclass(slots=True)
class Exit:
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
    | Spread
    | Act
    | Enter
    | Leave
    | Exit
)
