"""The tenants of API keys, by one version of the configuration.

Keys are looked up by a keyed hash, so that the time of a lookup reveals nothing about the existing keys. The
directory does not store the keys themselves.
"""

from __future__ import annotations

import os
from hashlib import blake2b

from msgspec import Struct

from reedspoke.common.configuration import Configuration
from reedspoke.common.tenants import TOKENS, Tenant

HASH_KEY = os.urandom(16)  # random for each process
DIGEST_SIZE_BYTES = 16


class TenantQuota(Struct, frozen=True):
    """The quota units that a request takes: its tokens, or one unit."""

    counts_tokens: bool
    plain_tokens: float  # for a request without a token count

    def units(self, tokens: int) -> float:
        """The units of a request with this sum of prompt and output tokens; 0: no token count."""
        if not self.counts_tokens:
            return 1.0
        return float(tokens) if tokens else self.plain_tokens


class KeyHolder(Struct, frozen=True):
    """A tenant, in the form in which requests use it."""

    name: str
    priority: int | None = None  # None: the priority of the route applies
    quota: TenantQuota | None = None  # None: no limit


class TenantDirectory:
    """All API keys of one version of the configuration."""

    def __init__(self, configuration: Configuration | None = None) -> None:
        tenants = None if configuration is None else configuration.tenants
        self.requires_key = tenants is not None  # whether requests need a key, except on public routes
        self._holders: dict[bytes, KeyHolder] = {}
        for tenant in (tenants or {}).values():
            holder = make_key_holder(tenant)
            for key in tenant.get("api_keys", ()):
                self._holders[key_digest(key.encode())] = holder

    def find(self, key: bytes) -> KeyHolder | None:
        """The tenant of this key; None if no tenant has it."""
        return self._holders.get(key_digest(key))


def key_digest(key: bytes) -> bytes:
    """The keyed hash of an API key, valid within this process."""
    return blake2b(key, digest_size=DIGEST_SIZE_BYTES, key=HASH_KEY).digest()


def make_key_holder(tenant: Tenant) -> KeyHolder:
    """Convert a tenant of the configuration."""
    quota = None
    if tenant.get("rate_per_s"):
        quota = TenantQuota(tenant.get("unit") == TOKENS, tenant.get("plain_tokens") or 0.0)
    return KeyHolder(tenant["name"], tenant.get("priority"), quota)
