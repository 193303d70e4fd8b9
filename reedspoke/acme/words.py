"""What the renewal engine is told (events) and what it asks for (steps). Times are us of Unix time by the
wall clock, by which certificates live; spans are us."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Trouble(Enum):
    """What went wrong with a step, as far as it matters for what comes next."""

    UNREACHABLE = "unreachable"  # no answer, or one that is none: the same step again, later
    LIMITED = "rate_limited"  # the authority says how long to stay away
    REFUSED = "refused"  # it will not issue for this name, now or later, unless someone changes something
    DEAD = "failed"  # the order has ended without a certificate: a new one, later
    UNFIT = "unfit"  # what it issued cannot be used
    NO_ACCOUNT = "no account"  # it does not know the account any more
    LOCAL = "local"  # this machine: disk, port, command


# ---- steps ----


@dataclass(slots=True, frozen=True)
class Claim:
    """Take the lock on the name: Claimed."""

    name: str


@dataclass(slots=True, frozen=True)
class Release:
    name: str


@dataclass(slots=True, frozen=True)
class Enrol:
    """Find or make the account: Enrolled."""

    name: str
    authority: str


@dataclass(slots=True, frozen=True)
class Begin:
    """Make a key and a new order: Begun."""

    name: str
    authority: str
    hosts: tuple[str, ...]
    replaces: str = ""  # the certificate's id for RFC 9773


@dataclass(slots=True, frozen=True)
class Check:
    """Ask how the order stands: Stands."""

    name: str
    authority: str
    order: str


@dataclass(slots=True, frozen=True)
class Look:
    """Ask how an authorisation stands: Proof."""

    name: str
    authority: str
    url: str
    challenge: str  # its kind


@dataclass(slots=True, frozen=True)
class Publish:
    """Make the answer to a challenge findable: Done."""

    name: str
    authority: str
    host: str
    token: str
    challenge: str


@dataclass(slots=True, frozen=True)
class Respond:
    """Tell the authority to look for it: Done."""

    name: str
    authority: str
    url: str


@dataclass(slots=True, frozen=True)
class Withdraw:
    """The answer to a challenge is of no use any more. Nothing comes back."""

    name: str
    authority: str
    host: str
    token: str
    challenge: str


@dataclass(slots=True, frozen=True)
class Finalize:
    """Send the signing request: Stands."""

    name: str
    authority: str
    url: str
    hosts: tuple[str, ...]
    key: str = field(repr=False)


@dataclass(slots=True, frozen=True)
class Fetch:
    """Download the certificate, check it and install it: Installed."""

    name: str
    authority: str
    url: str
    hosts: tuple[str, ...]
    key: str = field(repr=False)


@dataclass(slots=True, frozen=True)
class Ask:
    """Ask the authority when it would have the certificate renewed: Window."""

    name: str
    authority: str


@dataclass(slots=True, frozen=True)
class Keep:
    """Write the state of the name; before the next step is taken."""

    name: str


@dataclass(slots=True, frozen=True)
class KeepLimits:
    """Write what is remembered of the authority."""

    authority: str


@dataclass(slots=True, frozen=True)
class Tell:
    """A line for the log. `bad`: someone has to act, or will have to."""

    text: str
    bad: bool = False


@dataclass(slots=True, frozen=True)
class Count:
    outcome: str
    authority: str


Wait = Enrol | Begin | Check | Look | Publish | Respond | Finalize | Fetch | Ask  # steps with an outcome
Step = Claim | Release | Wait | Withdraw | Keep | KeepLimits | Tell | Count

# ---- outcomes of steps ----


@dataclass(slots=True, frozen=True)
class Enrolled:
    pass


@dataclass(slots=True, frozen=True)
class Begun:
    order: str
    authorisations: tuple[str, ...]
    finalize: str
    key: str = field(repr=False)


@dataclass(slots=True, frozen=True)
class Stands:
    """Of an order. `after`: us to wait before it is asked for again, 0: not told."""

    status: str
    authorisations: tuple[str, ...]
    finalize: str
    certificate: str = ""
    after: int = 0
    problem: str = ""


@dataclass(slots=True, frozen=True)
class Proof:
    """Of an authorisation."""

    status: str
    host: str
    token: str = ""
    url: str = ""  # of its challenge
    challenge_status: str = ""
    after: int = 0
    problem: str = ""


@dataclass(slots=True, frozen=True)
class Done:
    pass


@dataclass(slots=True, frozen=True)
class Installed:
    """Also told of what is found in the store at the start, or was put there by another process."""

    begins: int
    ends: int
    serial: str
    hosts: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Claimed:
    """Of a claim. `held`: the certificate in the store as the lock was got, None where there is none."""

    got: bool
    held: Installed | None = None


@dataclass(slots=True, frozen=True)
class Window:
    """`begins` 0: the authority names none."""

    begins: int
    ends: int
    again: int  # us until it should be asked again


@dataclass(slots=True, frozen=True)
class Failed:
    trouble: Trouble
    text: str
    after: int = 0  # us that the authority tells to stay away, 0: not told


Outcome = Claimed | Enrolled | Begun | Stands | Proof | Done | Installed | Window | Failed
