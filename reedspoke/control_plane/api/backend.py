"""What the operator API needs of the process that serves it."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import Protocol

from reedspoke.common.configuration import Configuration
from reedspoke.control_plane.api.call_log import CompletedCall
from reedspoke.control_plane.api.schemas import StatusAnswer
from reedspoke.control_plane.replication.effects import GetCompleted, PutCompleted
from reedspoke.control_plane.tallies.messages import TallyAdd


class OperatorBackend(Protocol):
    """Carries out the operators' calls."""

    def validate(self, document: bytes) -> Awaitable[Configuration]:
        """Parse a configuration. Raises FleetError, when awaited, where it is invalid."""

    def put(self, match: int, generation: int, document: bytes) -> Awaitable[PutCompleted]:
        """Replicate the configuration if the newest generation is `match`.

        Raises FleetError where that cannot be tried.
        """

    def get(self) -> Awaitable[GetCompleted]:
        """Read the newest configuration. Raises FleetError where that cannot be tried."""

    def add_to_tally(self, add: TallyAdd) -> Awaitable[None]:
        """Count an add once, at this node and those it can reach.

        Raises FleetError: TALLY_UNCLEAR where it may have counted, any other where nothing was done.
        """

    def tally_total(self, tally: str) -> int:
        """The sum of a tally's adds, as far as this node knows them. Raises FleetError while it is behind."""

    def order_evacuation(self, zone: str, evacuated: bool) -> Awaitable[None]:
        """Evacuate a zone, or withdraw that; done again, it changes nothing.

        Raises FleetError: TALLY_UNCLEAR where the order may be in force, any other where nothing was done.
        """

    def holds_majority(self) -> bool:
        """Whether a majority of voters stands behind this node at this instant."""

    def status(self) -> StatusAnswer:
        """The state of this node."""

    def call_completed(self, call: CompletedCall) -> None:
        """Take note of a call that has its response."""
