"""The operator's limits on reservations, checked before a command is appended to the log."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from reedspoke.booking.messages import BookingCommand, ReserveCommand
from reedspoke.booking.settings import Bookings
from reedspoke.units import parse_seconds

OTHER_TENANTS = ""  # Key of the default limit, for tenants without an entry of their own.


@dataclass(slots=True, frozen=True)
class BookingLimits:
    """Limits on the slots, time and length of reservations.

    `zones` maps each zone to its reservable slots, `tenants` maps a tenant to its maximum in any one zone.
    """

    zones: dict[str, int]
    tenants: dict[str, int]
    step_s: int = 300  # Reservations must begin and end at multiples of this.
    horizon_s: int = 60 * 86_400  # Maximum time from now to the end of a reservation.
    max_length_s: int = 86_400

    def refusal_reason(self, command: BookingCommand, now_s: int) -> str:
        """Return why the command breaks a limit, or "" if it breaks none."""
        if not isinstance(command, ReserveCommand):
            return ""
        if command.zone not in self.zones:
            return f"unknown zone: {command.zone}"
        if command.begin % self.step_s or command.end % self.step_s:
            return f"begin and end must be multiples of {self.step_s} s"
        if not command.begin < command.end:
            return "the end must be later than the beginning"
        if command.end - command.begin > self.max_length_s:
            return f"the reservation is longer than {self.max_length_s} s"
        if command.end <= now_s:
            return "the end is in the past"
        if command.end > now_s + self.horizon_s:
            return f"the end is beyond the booking horizon of {self.horizon_s} s"
        return ""

    def fill_in(self, command: BookingCommand) -> BookingCommand:
        """Return the command with this scheduler's limits filled in.

        The leader does this before it appends the command, so that all voters apply the same limits.
        """
        if not isinstance(command, ReserveCommand):
            return command
        zone_limit = max(1, self.zones.get(command.zone, 1))
        tenant_limit = self.tenants.get(command.tenant, self.tenants.get(OTHER_TENANTS, zone_limit))
        return msgspec.structs.replace(
            command, zone_limit=zone_limit, tenant_limit=max(1, min(tenant_limit, zone_limit))
        )


def limits_from_settings(settings: Bookings) -> BookingLimits:
    """Return the limits configured in the operator file."""
    return BookingLimits(
        {zone.name: zone.cap for zone in settings.zones},
        {team.tenant: team.most for team in settings.teams},
        step_s=int(parse_seconds(settings.step)),
        horizon_s=int(parse_seconds(settings.horizon)),
        max_length_s=int(parse_seconds(settings.longest)),
    )
