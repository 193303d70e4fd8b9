"""The control schedulers that a data plane scheduler has heard of, and when each may be tried.

An address is kept although a control scheduler no longer lists it: one that is cut off from the others lists
fewer and fewer of them, and those are the ones to look for.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from reedspoke.common.messages import ControlMember

MOST_ADDRESSES = 128
FORGET_S = 1800.0  # an address that nobody has named for so long goes at the next list
RETRY_LEAST_S = 0.5  # until the next try after one setback; doubled with each further one
RETRY_MOST_S = 0.8  # where connections fail
RETRY_UNCONFIRMED_MOST_S = 2.0  # where there are answers, none of them confirmed
URGENT_RETRY_S = 0.15  # after a failed connection, while there is no session that counts
LATELY_S = 5.0  # who had a setback within this time is tried after all others


class Entry(Struct):
    """What is known of one control scheduler."""

    address: str
    zone: str = ""
    named_at: float | None = None  # None: only the settings have named it
    setbacks: int = 0  # sessions in a row that brought no confirmed answer
    setback_at: float = 0.0
    unconfirmed: bool = False  # the last setback was an answer that no majority stands behind

    def set_back(self, now: float, unconfirmed: bool) -> None:
        """A session brought no confirmed answer, or brings none any more."""
        self.setbacks += 1
        self.setback_at = now
        self.unconfirmed = unconfirmed

    def had_setback_lately(self, now: float) -> bool:
        """Whether others are to be tried first."""
        return self.setbacks > 0 and now - self.setback_at < LATELY_S

    def may_be_tried(self, now: float, urgent: bool) -> bool:
        """Whether the pause since the last setback is over."""
        return self.setbacks == 0 or now - self.setback_at >= self._pause(urgent)

    def _pause(self, urgent: bool) -> float:
        if urgent and not self.unconfirmed:
            return URGENT_RETRY_S
        most = RETRY_UNCONFIRMED_MOST_S if self.unconfirmed else RETRY_MOST_S
        return min(most, RETRY_LEAST_S * 2.0 ** (min(self.setbacks, 8) - 1))


class AddressBook:
    """All addresses that were learnt, in bounded number."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._seeds: frozenset[str] = frozenset()

    def __len__(self) -> int:
        return len(self._entries)

    def entries(self) -> list[Entry]:
        """All entries, in no order that means anything."""
        return list(self._entries.values())

    def get(self, address: str) -> Entry | None:
        """The entry of an address, if there is one."""
        return self._entries.get(address)

    def seeds(self, addresses: Iterable[str]) -> None:
        """The addresses that the settings name. They are never forgotten; earlier ones age from now on."""
        self._seeds = frozenset(addresses)
        for address in self._seeds:
            if address not in self._entries:
                self._entries[address] = Entry(address)

    def learnt(self, members: Iterable[ControlMember], now: float, in_use: Iterable[str]) -> None:
        """Some control scheduler names these. Addresses in use are kept whatever happens."""
        for member in members:
            entry = self._entries.setdefault(member.address, Entry(member.address))
            entry.zone = member.zone or entry.zone
            entry.named_at = now
        self._forget(now, frozenset(in_use))

    def _forget(self, now: float, in_use: frozenset[str]) -> None:
        kept = self._seeds | in_use
        surplus = len(self._entries) - MOST_ADDRESSES
        ages = {entry.address: self._age(entry, now) for entry in self.entries()}
        removable = sorted(ages.keys() - kept, key=lambda address: (-ages[address], address))
        for place, address in enumerate(removable):
            if place < surplus or ages[address] > FORGET_S:
                del self._entries[address]

    def _age(self, entry: Entry, now: float) -> float:
        """For how long nobody has named it; a former seed counts from the first list after it was one."""
        if entry.named_at is None and entry.address not in self._seeds:
            entry.named_at = now
        return 0.0 if entry.named_at is None else now - entry.named_at
