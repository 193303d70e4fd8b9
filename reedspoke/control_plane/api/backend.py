"""The interface between the operator API and the process that serves it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

from reedspoke.common.configuration import Configuration
from reedspoke.control_plane.api.call_log import CompletedCall
from reedspoke.control_plane.api.schemas import StatusAnswer
from reedspoke.control_plane.replication.effects import GetCompleted, PutCompleted
from reedspoke.control_plane.tallies.messages import TallyAdd


class OperatorBackend(Protocol):
    """Executes the operators' calls."""

    def validate(self, document: bytes) -> Awaitable[Configuration]:
        """Parse a configuration. The awaitable raises FleetError if it is invalid."""

    def put(self, match: int, generation: int, document: bytes) -> Awaitable[PutCompleted]:
        """Replicate the configuration if the newest generation is `match`.

        Raises FleetError if the replication cannot be attempted.
        """

    def get(self) -> Awaitable[GetCompleted]:
        """Read the newest configuration. Raises FleetError if the read cannot be attempted."""

    def add_to_tally(self, add: TallyAdd) -> Awaitable[None]:
        """Apply an addition to a tally exactly once, at this node and the nodes that it can reach.

        Raises FleetError: with TALLY_UNCLEAR the addition may have been applied, with any other code it was
        not.
        """

    def tally_total(self, tally: str) -> int:
        """Return the sum of a tally's additions that this node knows.

        Raises FleetError while this node is still catching up.
        """

    def order_evacuation(
        self, zone: str, evacuated: bool, is_abandoned: Callable[[], bool]
    ) -> Awaitable[None]:
        """Order the evacuation of a zone, or withdraw the order. The operation may be repeated.

        It has no effect if `is_abandoned` returns that the caller has given the call up by then.
        Raises FleetError: with TALLY_UNCLEAR the order may be in force, with any other code it is not.
        """

    def holds_majority(self) -> bool:
        """Return whether this node currently has contact with a majority of voters."""

    def status(self) -> StatusAnswer:
        """Return the state of this node. Raises FleetError STATE_UNKNOWN while the node starts."""

    def call_completed(self, call: CompletedCall) -> None:
        """Record a call whose response is determined."""
