"""The addresses of control plane nodes that a data plane node knows, with the retry delay of each.

An address is kept after control plane nodes stop listing it: a partitioned node lists fewer and fewer of the
others, and those others are the ones to connect to.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from reedspoke.common.messages import ControlMember

MAX_ADDRESSES = 128
ADDRESS_TTL_S = 1800.0  # an address unlisted for longer is removed when the next member list is added
MIN_RETRY_DELAY_S = 0.5  # after the first failure; doubled with each consecutive failure
MAX_RETRY_DELAY_S = 0.8  # after failed connections
MAX_UNCONFIRMED_RETRY_DELAY_S = 2.0  # after responses without a majority
URGENT_RETRY_DELAY_S = 0.15  # after a failed connection, while no session is confirmed
RECENT_FAILURE_S = 5.0  # an address that failed within this time is tried after all others


class AddressEntry(Struct):
    """One control plane node: its address, its zone and its recent failures."""

    address: str
    zone: str = ""
    last_listed_at: float | None = None  # None: known only from the settings
    failures: int = 0  # consecutive sessions without a confirmed response
    last_failure_at: float = 0.0
    unconfirmed: bool = False  # the last failure was a response without a majority

    def record_failure(self, now: float, unconfirmed: bool) -> None:
        """Count a session that got no confirmed response, or lost its confirmation."""
        self.failures += 1
        self.last_failure_at = now
        self.unconfirmed = unconfirmed

    def failed_recently(self, now: float) -> bool:
        """Whether the last failure is so recent that other addresses are tried first."""
        return self.failures > 0 and now - self.last_failure_at < RECENT_FAILURE_S

    def may_connect(self, now: float, urgent: bool) -> bool:
        """Whether the retry delay since the last failure has passed."""
        return self.failures == 0 or now - self.last_failure_at >= self._retry_delay_s(urgent)

    def _retry_delay_s(self, urgent: bool) -> float:
        if urgent and not self.unconfirmed:
            return URGENT_RETRY_DELAY_S
        max_delay_s = MAX_UNCONFIRMED_RETRY_DELAY_S if self.unconfirmed else MAX_RETRY_DELAY_S
        return min(max_delay_s, MIN_RETRY_DELAY_S * 2.0 ** (min(self.failures, 8) - 1))


class AddressBook:
    """All known addresses, at most `MAX_ADDRESSES` besides seeds and addresses in use."""

    def __init__(self) -> None:
        self._entries: dict[str, AddressEntry] = {}
        self._seeds: frozenset[str] = frozenset()

    def __len__(self) -> int:
        return len(self._entries)

    def entries(self) -> list[AddressEntry]:
        """All entries, in no particular order."""
        return list(self._entries.values())

    def get(self, address: str) -> AddressEntry | None:
        """The entry of an address; None if the address is unknown."""
        return self._entries.get(address)

    def set_seeds(self, addresses: Iterable[str]) -> None:
        """Replace the seeds, the addresses in the settings; only current seeds are never evicted."""
        self._seeds = frozenset(addresses)
        for address in self._seeds:
            if address not in self._entries:
                self._entries[address] = AddressEntry(address)

    def add_members(self, members: Iterable[ControlMember], now: float, in_use: Iterable[str]) -> None:
        """Add the members that a control plane node listed, and evict old addresses that are not in use."""
        for member in members:
            entry = self._entries.setdefault(member.address, AddressEntry(member.address))
            entry.zone = member.zone or entry.zone
            entry.last_listed_at = now
        self._evict(now, frozenset(in_use))

    def _evict(self, now: float, in_use: frozenset[str]) -> None:
        kept = self._seeds | in_use
        surplus = len(self._entries) - MAX_ADDRESSES
        ages = {entry.address: self._age_s(entry, now) for entry in self.entries()}
        removable = sorted(ages.keys() - kept, key=lambda address: (-ages[address], address))
        for place, address in enumerate(removable):
            if place < surplus or ages[address] > ADDRESS_TTL_S:
                del self._entries[address]

    def _age_s(self, entry: AddressEntry, now: float) -> float:
        """Time since the address was last listed.

        A former seed that was never listed counts as listed when the first member list arrives.
        """
        if entry.last_listed_at is None and entry.address not in self._seeds:
            entry.last_listed_at = now
        return 0.0 if entry.last_listed_at is None else now - entry.last_listed_at
