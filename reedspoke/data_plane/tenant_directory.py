"""Which tenant holds an API key, by one version of the configuration.

Keys are found by a keyed hash of theirs, so that the time of a look-up tells nothing of the keys that exist;
the directory holds no key itself.
"""

from __future__ import annotations

import os
from hashlib import blake2b

from msgspec import Struct

from reedspoke.common.configuration import Configuration
from reedspoke.common.tenants import TOKENS, Tenant

HASH_KEY = os.urandom(16)  # of this process
HASH_SIZE = 16  # bytes


class TenantQuota(Struct, frozen=True):
    """What a request costs of its tenant's quota: tokens, or one unit each."""

    counts_tokens: bool
    plain_tokens: float  # of a request that names no tokens

    def units(self, tokens: int) -> float:
        """Units of a request that names so many tokens in and out together; 0: it names none."""
        if not self.counts_tokens:
            return 1.0
        return float(tokens) if tokens else self.plain_tokens


class KeyHolder(Struct, frozen=True):
    """The tenant that a request is run for."""

    name: str
    priority: int | None = None  # None: that of the route counts
    quota: TenantQuota | None = None  # None: no limit


class TenantDirectory:
    """All keys of one version of the configuration."""

    def __init__(self, configuration: Configuration | None = None) -> None:
        tenants = None if configuration is None else configuration.tenants
        self.keyed = tenants is not None  # whether requests need a key, but on public routes
        self._holders: dict[bytes, KeyHolder] = {}
        for tenant in (tenants or {}).values():
            holder = holder_of(tenant)
            for key in tenant.get("api_keys", ()):
                self._holders[digest(key.encode())] = holder

    def find(self, key: bytes) -> KeyHolder | None:
        """The tenant that holds this key; None: no tenant does."""
        return self._holders.get(digest(key))


def digest(key: bytes) -> bytes:
    """What a key is found by in this process."""
    return blake2b(key, digest_size=HASH_SIZE, key=HASH_KEY).digest()


def holder_of(tenant: Tenant) -> KeyHolder:
    """A tenant of the configuration in the form that requests need."""
    quota = None
    if tenant.get("rate_per_s"):
        quota = TenantQuota(tenant.get("unit") == TOKENS, tenant.get("plain_tokens") or 0.0)
    return KeyHolder(tenant["name"], tenant.get("priority"), quota)
