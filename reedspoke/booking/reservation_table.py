"""The table of all reservations: a state machine replicated to every voter. Performs no I/O.

`ReservationTable` owns the reservations by name. It also keeps the slot usage of each zone, and of each
tenant in a zone, which is derived from the reservations.
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

MAX_REPORTED_CONFLICTS = 5  # Maximum number of conflicting reservations in a refusal.
MAX_REPORTED_WINDOWS = 3  # Maximum number of free windows in a refusal.
SECONDS_PER_DAY = 86_400
# How long a cancellation is retained while its reservation has not arrived.
CANCELLATION_RETENTION_S = 30 * SECONDS_PER_DAY


class Reservation(msgspec.Struct, array_like=True):
    """The latest version of a reservation. The order of the fields is part of the snapshot format."""

    version: int
    tenant: str
    zone: str
    slots: int
    begin: int
    end: int
    cancelled: bool = False


@dataclass(slots=True, frozen=True)
class AppliedCommand:
    """The index of the last applied log entry, and its outcome."""

    index: int
    outcome: BookingOutcome


NO_COMMAND_APPLIED = AppliedCommand(0, BookingOutcome(BookingStatus.ABSENT, ""))


class ReservationTable:
    """State machine (`StateMachine`) of the replicated log.

    Cancelled reservations stay until they are purged, because stale commands are recognized by version.
    """

    def __init__(self) -> None:
        self.reservations: dict[str, Reservation] = {}
        self.last_applied = NO_COMMAND_APPLIED
        self._zone_usage: defaultdict[str, SlotUsage] = defaultdict(SlotUsage)
        # The keys are pairs of zone and tenant.
        self._tenant_usage: defaultdict[tuple[str, str], SlotUsage] = defaultdict(SlotUsage)

    # ---- state machine ----

    def apply(self, index: int, command: bytes) -> None:
        """Execute a committed command and store its outcome for the leader's reply."""
        self.last_applied = AppliedCommand(index, self.execute(decode_command(command)))

    def snapshot(self) -> bytes:
        """Return all reservations, encoded. The slot usage is derived from them and not included."""
        return msgspec.msgpack.encode(self.reservations)

    def restore(self, snapshot: bytes) -> None:
        """Replace all reservations with those of a snapshot."""
        self.reservations = msgspec.msgpack.decode(snapshot, type=dict[str, Reservation])
        self.last_applied = NO_COMMAND_APPLIED
        self._zone_usage.clear()
        self._tenant_usage.clear()
        for reservation in self.reservations.values():
            self._occupy(reservation)

    # ---- commands ----

    def execute(self, command: BookingCommand) -> BookingOutcome:
        """Execute a command. Its outcome depends only on the table and the command, so all voters agree."""
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
            return refused_outcome(command, "the end must be later than the beginning")
        if existing is not None:
            self._release(existing)  # A change must not conflict with the version that it replaces.
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
        """Return the refusal if the slots cannot be reserved, else None."""
        zone_peak = self._peak(self._zone_usage.get(command.zone), command.begin, command.end)
        if zone_peak + command.slots > command.zone_limit:
            conflicts = self._conflicts(command)
            windows = self._free_windows(command)
            return BookingOutcome(BookingStatus.REFUSED, command.name, conflicts, windows)
        tenant_usage = self._tenant_usage.get((command.zone, command.tenant))
        if self._peak(tenant_usage, command.begin, command.end) + command.slots > command.tenant_limit:
            return refused_outcome(
                command, f"exceeds the limit of {command.tenant_limit} slots of tenant {command.tenant}"
            )
        return None

    def _conflicts(self, command: ReserveCommand) -> tuple[str, ...]:
        """Return the names of the reservations that overlap the requested window, the largest first."""
        found = [
            (-reservation.slots, name)
            for name, reservation in self.reservations.items()
            if name != command.name and _overlaps(reservation, command)
        ]
        return tuple(name for _, name in sorted(found)[:MAX_REPORTED_CONFLICTS])

    def _free_windows(self, command: ReserveCommand) -> tuple[FreeWindow, ...]:
        """Return the next windows of the requested length with enough free slots."""
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
            # The cancellation arrived before its reservation, which its stored version then makes stale.
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
        """Return the current state of a reservation: booked, cancelled or absent."""
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
        """Return the slots of a zone that are reserved at a time, by all tenants or by the given one."""
        usage = self._tenant_usage.get((zone, tenant)) if tenant else self._zone_usage.get(zone)
        return self._peak(usage, at, at + 1)


def _is_duplicate(command: ReserveCommand, existing: Reservation) -> bool:
    """Whether the command repeats the existing reservation, since requests are resent until answered."""
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
