"""The operator's limits on reservations: what is refused before it comes into the log."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from reedspoke.booking.messages import BookingCommand, ReserveCommand
from reedspoke.booking.settings import Bookings
from reedspoke.units import parse_seconds

OTHER_TENANTS = ""  # the key of the limit for tenants that are not named


@dataclass(slots=True, frozen=True)
class BookingLimits:
    """`zones`: slots by zone; `tenants`: slots in one zone by tenant."""

    zones: dict[str, int]
    tenants: dict[str, int]
    step_s: int = 300  # windows begin and end on this grid
    horizon_s: int = 60 * 86_400  # how far ahead one may end
    max_length_s: int = 86_400

    def refusal_reason(self, command: BookingCommand, now_s: int) -> str:
        """Why it cannot be reserved; "": nothing is wrong with it."""
        if not isinstance(command, ReserveCommand):
            return ""
        if command.zone not in self.zones:
            return f"no such zone: {command.zone}"
        if command.begin % self.step_s or command.end % self.step_s:
            return f"not on the grid of {self.step_s} s"
        if not command.begin < command.end:
            return "it ends before it begins"
        if command.end - command.begin > self.max_length_s:
            return f"longer than {self.max_length_s} s"
        if command.end <= now_s:
            return "it is over already"
        if command.end > now_s + self.horizon_s:
            return f"beyond the horizon of {self.horizon_s} s"
        return ""

    def fill_in(self, command: BookingCommand) -> BookingCommand:
        """Return the command with the limits of this scheduler, which puts it into the log."""
        if not isinstance(command, ReserveCommand):
            return command
        zone_limit = max(1, self.zones.get(command.zone, 1))
        tenant_limit = self.tenants.get(command.tenant, self.tenants.get(OTHER_TENANTS, zone_limit))
        return msgspec.structs.replace(
            command, zone_limit=zone_limit, tenant_limit=max(1, min(tenant_limit, zone_limit))
        )


def limits_from_settings(settings: Bookings) -> BookingLimits:
    """Return the limits that the operator file gives."""
    return BookingLimits(
        {zone.name: zone.cap for zone in settings.zones},
        {team.tenant: team.most for team in settings.teams},
        step_s=int(parse_seconds(settings.step)),
        horizon_s=int(parse_seconds(settings.horizon)),
        max_length_s=int(parse_seconds(settings.longest)),
    )
