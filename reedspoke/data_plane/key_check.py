"""Whether a request may run by its API key. No I/O and no clock.

Where the deployment sets `revoke_strict`, a key that was taken away may not be served after a bound that
holds for each machine, in touch or not. So a key counts only while the configuration that holds it was
certainly the newest within that bound, on this process's steady clock (`Confirmation.as_of`, which rests on a
majority's grants). A process that was stopped or cut off finds that out with the time of the same step in
which it acts.
"""

from __future__ import annotations

from enum import Enum, auto

from msgspec import Struct

from reedspoke.common.node_settings import Bounds
from reedspoke.data_plane.tenant_directory import KeyHolder, TenantDirectory

MARGIN_S = 0.25  # of the bound: steady clocks of different machines drift


class KeyVerdict(Enum):
    """What becomes of a request by its key."""

    RUN = auto()
    UNKNOWN = auto()  # no tenant holds the key
    IN_DOUBT = auto()  # the configuration that is held is not certain enough to say


class KeyCheck(Struct, frozen=True):
    """The verdict, and the tenant that the request is run for; None: it needs none."""

    verdict: KeyVerdict
    holder: KeyHolder | None = None


class Certainty(Struct, frozen=True):
    """How certain the configuration is that is held, at one instant."""

    age_s: float  # since it was certainly the newest; infinite: never
    in_doubt: bool  # whether it may be older than it is allowed to be


NO_KEY_NEEDED = KeyCheck(KeyVerdict.RUN)


def most_age_s(bounds: Bounds) -> float | None:
    """How old the certainty may be with which keys are served; None: it is not bounded."""
    return max(0.0, bounds.revoke_ms / 1000 - MARGIN_S) if bounds.revoke_strict else None


def check_key(
    directory: TenantDirectory, key: bytes, *, public: bool, certainty: Certainty, most_age: float | None
) -> KeyCheck:
    """Judge a request with this key (empty: it carries none) on a route that is public or not."""
    if not directory.keyed:
        return NO_KEY_NEEDED
    holder = directory.find(key) if key else None
    if holder is None:
        return NO_KEY_NEEDED if public else KeyCheck(_without_holder(certainty))
    if most_age is not None and certainty.age_s > most_age:
        return KeyCheck(KeyVerdict.IN_DOUBT)
    return KeyCheck(KeyVerdict.RUN, holder)


def _without_holder(certainty: Certainty) -> KeyVerdict:
    """Final only while it is certain that no tenant has got the key meanwhile."""
    return KeyVerdict.IN_DOUBT if certainty.in_doubt else KeyVerdict.UNKNOWN
