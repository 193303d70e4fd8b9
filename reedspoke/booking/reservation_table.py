"""All reservations, as the state machine of a replicated log: the same at every voter. No I/O.

`ReservationTable` owns the reservations by name, and the slot usage of each zone and of each tenant in
it, which follows from them.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from itertools import islice

import msgspec

from reedspoke.booking.messages import (
    BookingCommand,
    BookingOutcome,
    BookingStatus,
    CancelCommand,
    FreeWindow,
    PurgeCommand,
    ReserveCommand,
    decode_command,
    refused_outcome,
)
from reedspoke.booking.slot_usage import SlotUsage

MAX_REPORTED_CONFLICTS = 5  # names of reservations in a refusal
MAX_REPORTED_WINDOWS = 3  # free windows in a refusal
SECONDS_PER_DAY = 86_400
CANCELLATION_RETENTION_S = 30 * SECONDS_PER_DAY  # of the cancelled name of a reservation that never came


class Reservation(msgspec.Struct, array_like=True):
    """The last version of one name; the order of the fields is that of the stored snapshot."""

    version: int
    tenant: str
    zone: str
    slots: int
    begin: int
    end: int
    cancelled: bool = False


@dataclass(slots=True, frozen=True)
class AppliedCommand:
    """The entry that was applied last, and its outcome."""

    index: int
    outcome: BookingOutcome


NO_COMMAND_APPLIED = AppliedCommand(0, BookingOutcome(BookingStatus.ABSENT, ""))


class ReservationTable:
    """A `StateMachine`. Cancelled reservations stay until they are purged: their version still counts."""

    def __init__(self) -> None:
        self.reservations: dict[str, Reservation] = {}
        self.last_applied = NO_COMMAND_APPLIED
        self._zone_usage: defaultdict[str, SlotUsage] = defaultdict(SlotUsage)
        self._tenant_usage: defaultdict[tuple[str, str], SlotUsage] = defaultdict(SlotUsage)  # zone, tenant

    # ---- state machine ----

    def apply(self, index: int, command: bytes) -> None:
        """Execute a committed command and keep its outcome for the leader's reply."""
        self.last_applied = AppliedCommand(index, self.execute(decode_command(command)))

    def snapshot(self) -> bytes:
        """Return all reservations; the usage follows from them."""
        return msgspec.msgpack.encode(self.reservations)

    def restore(self, snapshot: bytes) -> None:
        """Replace all reservations by those of a snapshot."""
        self.reservations = msgspec.msgpack.decode(snapshot, type=dict[str, Reservation])
        self.last_applied = NO_COMMAND_APPLIED
        self._zone_usage.clear()
        self._tenant_usage.clear()
        for reservation in self.reservations.values():
            self._occupy(reservation)

    # ---- commands ----

    def execute(self, command: BookingCommand) -> BookingOutcome:
        """Carry out a command: its outcome depends on the table and the command alone."""
        match command:
            case ReserveCommand():
                return self._reserve(command)
            case CancelCommand():
                return self._cancel(command)
            case PurgeCommand():
                return self._purge(command)

    def _reserve(self, command: ReserveCommand) -> BookingOutcome:
        existing = self.reservations.get(command.name)
        if existing is not None and command.version <= existing.version:
            repeated = _is_duplicate(command, existing)
            return self._outcome(BookingStatus.BOOKED if repeated else BookingStatus.STALE, command.name)
        if command.begin >= command.end:
            return refused_outcome(command, "it ends before it begins")
        if existing is not None:
            self._release(existing)  # a change does not conflict with itself
        refusal = self._refusal(command)
        if refusal is not None:
            if existing is not None:
                self._occupy(existing)
            return refusal
        reservation = Reservation(
            command.version, command.tenant, command.zone, command.slots, command.begin, command.end
        )
        self.reservations[command.name] = reservation
        self._occupy(reservation)
        return self._outcome(BookingStatus.BOOKED, command.name)

    def _refusal(self, command: ReserveCommand) -> BookingOutcome | None:
        """Why the slots cannot be reserved; None: they can."""
        zone_peak = self._peak(self._zone_usage.get(command.zone), command.begin, command.end)
        if zone_peak + command.slots > command.zone_limit:
            conflicts = self._conflicts(command)
            windows = self._free_windows(command)
            return BookingOutcome(BookingStatus.REFUSED, command.name, conflicts, windows)
        tenant_usage = self._tenant_usage.get((command.zone, command.tenant))
        if self._peak(tenant_usage, command.begin, command.end) + command.slots > command.tenant_limit:
            return refused_outcome(command, f"over the {command.tenant_limit} slots of {command.tenant}")
        return None

    def _conflicts(self, command: ReserveCommand) -> tuple[str, ...]:
        """Names of reservations in that window, the largest first."""
        found = [
            (-reservation.slots, name)
            for name, reservation in self.reservations.items()
            if name != command.name and _overlaps(reservation, command)
        ]
        return tuple(name for _, name in sorted(found)[:MAX_REPORTED_CONFLICTS])

    def _free_windows(self, command: ReserveCommand) -> tuple[FreeWindow, ...]:
        """Return the next windows of that length in which there is room."""
        if command.slots > command.zone_limit:
            return ()
        usage = self._zone_usage.get(command.zone, SlotUsage())
        windows = usage.windows_below(
            command.begin, command.end - command.begin, command.zone_limit - command.slots
        )
        return tuple(islice(windows, MAX_REPORTED_WINDOWS))

    def _cancel(self, command: CancelCommand) -> BookingOutcome:
        existing = self.reservations.get(command.name)
        if existing is None:
            # It has overtaken its reservation: the version that is remembered makes that one stale.
            self.reservations[command.name] = Reservation(
                command.version, "", "", 0, 0, command.requested_at + CANCELLATION_RETENTION_S, True
            )
            return BookingOutcome(BookingStatus.CANCELLED, command.name, version=command.version)
        if command.version < existing.version:
            return self._outcome(BookingStatus.STALE, command.name)
        self._release(existing)
        existing.version, existing.cancelled = command.version, True
        return self._outcome(BookingStatus.CANCELLED, command.name)

    def _purge(self, command: PurgeCommand) -> BookingOutcome:
        ended = [
            name for name, reservation in self.reservations.items() if reservation.end < command.ended_before
        ]
        for name in ended:
            self._release(self.reservations.pop(name))
        return BookingOutcome(BookingStatus.PURGED, "")

    # ---- usage ----

    def _occupy(self, reservation: Reservation) -> None:
        self._add_usage(reservation, reservation.slots)

    def _release(self, reservation: Reservation) -> None:
        self._add_usage(reservation, -reservation.slots)

    def _add_usage(self, reservation: Reservation, slots: int) -> None:
        if reservation.cancelled:
            return
        zone, tenant = reservation.zone, reservation.tenant
        for usage in (self._zone_usage[zone], self._tenant_usage[zone, tenant]):
            usage.add(reservation.begin, reservation.end, slots)

    @staticmethod
    def _peak(usage: SlotUsage | None, begin: int, end: int) -> int:
        return usage.peak(begin, end) if usage is not None else 0

    # ---- queries ----

    def lookup(self, name: str) -> BookingOutcome:
        """Return the reservation as it stands: booked, cancelled or absent."""
        reservation = self.reservations.get(name)
        if reservation is None:
            return self._outcome(BookingStatus.ABSENT, name)
        status = BookingStatus.CANCELLED if reservation.cancelled else BookingStatus.BOOKED
        return self._outcome(status, name)

    def _outcome(self, status: BookingStatus, name: str) -> BookingOutcome:
        reservation = self.reservations.get(name)
        if reservation is None:
            return BookingOutcome(BookingStatus.ABSENT, name)
        return BookingOutcome(
            status,
            name,
            (),
            (),
            reservation.tenant,
            reservation.zone,
            reservation.slots,
            reservation.begin,
            reservation.end,
            reservation.version,
        )

    def active_names(self) -> list[str]:
        """Return the names of the reservations that are not cancelled, sorted."""
        return sorted(name for name, reservation in self.reservations.items() if not reservation.cancelled)

    def slots_reserved(self, zone: str, at: int, tenant: str = "") -> int:
        """Return the slots of that zone reserved at that time, by that tenant alone where it is named."""
        usage = self._tenant_usage.get((zone, tenant)) if tenant else self._zone_usage.get(zone)
        return self._peak(usage, at, at + 1)


def _is_duplicate(command: ReserveCommand, existing: Reservation) -> bool:
    """Whether it asks for what is reserved already: a request may be sent again until it is answered."""
    requested = (command.version, command.tenant, command.zone, command.slots, command.begin, command.end)
    reserved = (
        existing.version,
        existing.tenant,
        existing.zone,
        existing.slots,
        existing.begin,
        existing.end,
    )
    return requested == reserved and not existing.cancelled


def _overlaps(reservation: Reservation, command: ReserveCommand) -> bool:
    return (
        not reservation.cancelled
        and reservation.zone == command.zone
        and reservation.begin < command.end
        and command.begin < reservation.end
    )
