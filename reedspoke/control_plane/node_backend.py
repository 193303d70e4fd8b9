"""The backend of the operator API, and the source of the state metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from reedspoke.common.configuration import Configuration
from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.api.call_log import CompletedCall, OperatorCallLog
from reedspoke.control_plane.api.schemas import StatusAnswer
from reedspoke.control_plane.delivery.configuration_publisher import ConfigurationPublisher
from reedspoke.control_plane.delivery.edge_sessions import EdgeSessions
from reedspoke.control_plane.delivery.published_state import PublishedState
from reedspoke.control_plane.evacuation.service import EvacuationService
from reedspoke.control_plane.peer_exchange import PeerExchange
from reedspoke.control_plane.replication.driver import ReplicaDriver
from reedspoke.control_plane.replication.effects import GetCompleted, PutCompleted
from reedspoke.control_plane.tallies.messages import TallyAdd
from reedspoke.control_plane.tallies.service import TallyService
from reedspoke.control_plane.workers.discovery_lease import DiscoveryLease

STARTUP_S = 10.0  # for which a node that has started answers no status until it knows the orders in force


class NodeBackend:
    """Implements `api.backend.OperatorBackend` and `metrics.MetricsSource` with the node's components.

    It owns the `shutting_down` flag. Once it is set, calls that need the replica are rejected.
    """

    def __init__(
        self,
        *,
        node_name: str,
        address: str,
        driver: ReplicaDriver,
        exchange: PeerExchange,
        lease: DiscoveryLease,
        published: PublishedState,
        publisher: ConfigurationPublisher,
        sessions: EdgeSessions,
        tallies: TallyService,
        evacuations: EvacuationService,
        call_log: OperatorCallLog,
    ) -> None:
        self.node_name = node_name
        self.shutting_down = False
        self._address = address
        self._driver = driver
        self._exchange = exchange
        self._lease = lease
        self._published = published
        self._publisher = publisher
        self._sessions = sessions
        self._tallies = tallies
        self._evacuations = evacuations
        self._call_log = call_log
        self._loop = asyncio.get_running_loop()
        self._starts_until = self._loop.time() + STARTUP_S

    # ---- operators' calls ----

    def validate(self, document: bytes) -> asyncio.Future[Configuration]:
        """Parse and validate a configuration. The future raises FleetError if it is invalid."""
        return self._publisher.validate(document)

    def put(self, match: int, generation: int, document: bytes) -> asyncio.Future[PutCompleted]:
        """Replicate the configuration.

        Raises FleetError while the node shuts down, and before the data folder is open.
        """
        self._check_not_shutting_down()
        return self._driver.put(match, generation, document)

    def get(self) -> asyncio.Future[GetCompleted]:
        """Read the newest configuration. Raises FleetError in the same cases as `put`."""
        self._check_not_shutting_down()
        return self._driver.get()

    async def add_to_tally(self, add: TallyAdd) -> None:
        """Apply an addition to a tally exactly once.

        Raises FleetError. With TALLY_UNCLEAR the addition may have been applied.
        """
        self._check_not_shutting_down()
        await self._tallies.add(add)

    def tally_total(self, tally: str) -> int:
        """Return the sum of a tally's additions. Raises FleetError while this node is still catching up."""
        return self._tallies.total(tally)

    async def order_evacuation(self, zone: str, evacuated: bool, is_abandoned: Callable[[], bool]) -> None:
        """Order the evacuation of a zone, or withdraw the order.

        Raises FleetError. With TALLY_UNCLEAR the order may be in force.
        """
        self._check_not_shutting_down()
        if not self.holds_majority():
            raise FleetError(ErrorCode.NO_QUORUM, "this node has no contact with a majority of voters")
        await self._evacuations.set_evacuated(zone, evacuated, is_abandoned)

    def holds_majority(self) -> bool:
        """Return whether this node currently has contact with a majority of voters."""
        return self._driver.holds_majority()

    def call_completed(self, call: CompletedCall) -> None:
        """Count and log an operator's completed call."""
        self._call_log.call_completed(call)

    def _check_not_shutting_down(self) -> None:
        if self.shutting_down:
            raise FleetError(ErrorCode.SHUTTING_DOWN, "this control plane node is shutting down")

    # ---- state ----

    def status(self) -> StatusAnswer:
        """Return the state of this node.

        Raises FleetError STATE_UNKNOWN before the logs are open, and while the node starts and does not know
        the evacuations in force. A node that stays without the others answers later, with null for these.
        """
        if not self.is_open():
            raise FleetError(ErrorCode.STATE_UNKNOWN, "the data folder is not open yet")
        answer = self.state()
        if answer.evacuated is None and self._loop.time() < self._starts_until:
            raise FleetError(ErrorCode.STATE_UNKNOWN, "the evacuations in force are not known yet")
        return answer

    def is_open(self) -> bool:
        """Return whether the logs in the data folder are open, so that there is any state to tell."""
        return self._driver.is_open and self._tallies.folder_id is not None

    def state(self) -> StatusAnswer:
        """Return the state of this node as far as it is known, also while it starts."""
        view = self._exchange.view
        committed = self._published.configuration.committed
        workers = self._published.workers
        membership = self._published.membership
        evacuated = self._evacuations.evacuated_zones()
        now = self._loop.time()
        return StatusAnswer(
            node_name=self.node_name,
            address=self._address,
            view=0 if view is None else view.number,
            voters=() if view is None else tuple(voter.address for voter in view.voters),
            chain=() if view is None else tuple(link.member.address for link in view.chain),
            generation=None if committed is None else committed.generation,
            sequence=None if committed is None else committed.sequence,
            edges=tuple(edge.node_name for edge in membership.members.edges),
            peers=membership.live_peers(now),
            workers=None if workers.current is None else len(workers.current.workers),
            workers_version=workers.version,
            holds_list_duty=self._lease.is_held(now),
            holds_majority=self.holds_majority(),
            evacuated=None if evacuated is None else sorted(evacuated),
        )

    def open_sessions(self) -> int:
        """Return the number of connections from data plane nodes."""
        return self._sessions.count

    def pending_calls(self) -> int:
        """Return the number of operators' calls that have no response yet."""
        return self._driver.pending_calls

    def disk_works(self) -> bool:
        """Return whether the data folder is open and its disk completes writes."""
        return self._driver.disk_works

    def tally_figures(self) -> dict[str, float]:
        """Return the metrics of this node's tallies by name."""
        return self._tallies.metric_values()
