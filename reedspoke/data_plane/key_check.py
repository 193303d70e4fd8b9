"""Whether a request may be forwarded by its API key. No I/O and no clock.

Where the deployment sets `revoke_strict`, a revoked key must not be served after a time limit that applies
to each node, also to one that is partitioned. So a key is valid only while the configuration that has it was
confirmed as the newest within that limit, on this process's monotonic clock (`Confirmation.as_of`, which
relies on the grants of a majority). A process that was suspended or partitioned detects the expiry in the
same step in which it would use the key, as that step passes the current time.
"""

from __future__ import annotations

from enum import Enum, auto

from msgspec import Struct

from reedspoke.common.node_settings import Bounds
from reedspoke.data_plane.tenant_directory import KeyHolder, TenantDirectory

CLOCK_DRIFT_MARGIN_S = 0.25  # subtracted from the limit, as clocks of different machines drift apart


class KeyVerdict(Enum):
    """The result of checking a key."""

    ALLOWED = auto()
    UNKNOWN = auto()  # no tenant holds the key
    IN_DOUBT = auto()  # the configuration in force may be too old to decide


class KeyCheck(Struct, frozen=True):
    """The verdict and the tenant of the key; `holder` is None if no key is needed."""

    verdict: KeyVerdict
    holder: KeyHolder | None = None


class ConfigurationFreshness(Struct, frozen=True):
    """The age of the last confirmation of the configuration in force, at one instant."""

    age_s: float  # since it was last known to be the newest; infinite: never
    in_doubt: bool  # whether it may be older than the deployment allows


NO_KEY_NEEDED = KeyCheck(KeyVerdict.ALLOWED)


def max_configuration_age_s(bounds: Bounds) -> float | None:
    """The maximum age of the confirmation with which keys are accepted; None: unlimited."""
    return max(0.0, bounds.revoke_ms / 1000 - CLOCK_DRIFT_MARGIN_S) if bounds.revoke_strict else None


def check_key(
    directory: TenantDirectory,
    key: bytes,
    *,
    public: bool,
    freshness: ConfigurationFreshness,
    max_age_s: float | None,
) -> KeyCheck:
    """Check the key of a request on a route; an empty `key` means that the request has none."""
    if not directory.requires_key:
        return NO_KEY_NEEDED
    holder = directory.find(key) if key else None
    if holder is None:
        return NO_KEY_NEEDED if public else KeyCheck(_verdict_without_holder(freshness))
    if max_age_s is not None and freshness.age_s > max_age_s:
        return KeyCheck(KeyVerdict.IN_DOUBT)
    return KeyCheck(KeyVerdict.ALLOWED, holder)


def _verdict_without_holder(freshness: ConfigurationFreshness) -> KeyVerdict:
    """Unknown only if the configuration is certainly up to date; otherwise a tenant may have got the key."""
    return KeyVerdict.IN_DOUBT if freshness.in_doubt else KeyVerdict.UNKNOWN
