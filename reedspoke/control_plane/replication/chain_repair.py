"""Repair of the chain: who proposes which next view, and when.

Every member of the chain may propose. To keep them from proposing against each other, a better view has to be
in sight for a while, and members further back wait longer. The agreement stays right without that: Paxos
decides one of several proposals.
"""

from __future__ import annotations

from reedspoke.control_plane.replication.membership_observer import MembershipObserver
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import (
    PROPOSAL_DELAY_PER_RANK_S,
    PROPOSAL_DELAY_S,
    REACHABLE_TIMEOUT_S,
    ReplicaSettings,
)
from reedspoke.control_plane.replication.view import View
from reedspoke.control_plane.views.agreement import ViewAgreement
from reedspoke.control_plane.views.first_view import FIRST_VIEW_NUMBER, form_first_view
from reedspoke.control_plane.views.next_view import MemberCondition, choose_next_view
from reedspoke.control_plane.views.quorum import majority_size

SEED_BOOTSTRAP_TIMEOUT_S = 1.0  # a seed that is heard for longer and has no part in the first start gets none
MISSING_SEED_TIMEOUT_S = 2.4  # a seed that is not heard by then is lost: the first start goes on without it

FIRST_VIEW_GATHERING_S = (
    0.8  # after its start a seed proposes no first view with fewer voters than there should be
)


class ChainRepair:
    """Owns since when a better view has been in sight, and from when on others may be judged by timeouts."""

    def __init__(
        self,
        settings: ReplicaSettings,
        outbox: Outbox,
        agreement: ViewAgreement,
        observer: MembershipObserver,
    ) -> None:
        self._own = settings.member
        self._voters_target = settings.voters_target
        self._outbox = outbox
        self._agreement = agreement
        self._observer = observer
        self._started = outbox.now
        self._judge_from = outbox.now + REACHABLE_TIMEOUT_S
        self._in_sight_since: float | None = None

    def process_resumed(self) -> None:
        """This process was stopped: nobody is judged for a while."""
        self._judge_from = self._outbox.now + REACHABLE_TIMEOUT_S
        self._in_sight_since = None

    def enter_view(self, view: View) -> None:
        """A newer view is in force: what is better than it has to be in sight anew."""
        self._in_sight_since = None
        if view.number == FIRST_VIEW_NUMBER:  # its members may not have heard of each other yet
            self._judge_from = max(self._judge_from, self._outbox.now + REACHABLE_TIMEOUT_S)

    def majority_reached(self) -> bool:
        """Whether this replica and a majority of the voters hear each other."""
        view = self._agreement.view
        return view is not None and self._observer.reaches_majority_of(view)

    # ---- the first view ----

    def propose_first(self, seeds: tuple[str, ...]) -> None:
        """At the first start: propose the first view, of all seeds or a majority where some are given up."""
        heartbeats = self._observer.heartbeats_for_first_view(seeds)
        starting = {heartbeat.member.address for heartbeat in heartbeats if heartbeat.bootstrap_seed}
        given_up = all(self._is_given_up(seed) for seed in set(seeds) - starting)
        seeds_needed = majority_size(len(set(seeds))) if given_up else len(set(seeds))
        view = form_first_view(seeds, heartbeats, seeds_needed, self._voters_target)
        if view is not None and self._has_gathered(view):
            rank = sorted(seeds).index(self._own.address)
            self._propose_in_time(view, rank)

    def _has_gathered(self, view: View) -> bool:
        """Whether the first view has the voters that it should have, or was held back for long enough."""
        enough = len(view.voters) >= self._voters_target
        return enough or self._outbox.now - self._started >= FIRST_VIEW_GATHERING_S

    def _is_given_up(self, seed: str) -> bool:
        """Whether this seed has no part in the first start, as its disk was lost, or has not come."""
        no_participant = self._observer.received_for_s(seed) >= SEED_BOOTSTRAP_TIMEOUT_S
        return no_participant or self._outbox.now - self._started >= MISSING_SEED_TIMEOUT_S

    # ---- the next view ----

    def propose_next(self, view: View) -> None:
        """Propose the next view, if there is a better one."""
        now = self._outbox.now
        if now < self._judge_from or not self.majority_reached():
            self._in_sight_since = None
            return
        snapshot = self._observer.snapshot(view)
        rank = self._rank(view, snapshot.conditions)
        if rank is None:
            return
        desired = choose_next_view(view, snapshot)
        if desired == view and self._is_unfinished(view, list(snapshot.conditions)):
            desired = View(view.number + 1, view.voters, view.chain)
        if desired == view:
            self._in_sight_since = None
            return
        self._propose_in_time(desired, rank)

    def _is_unfinished(self, view: View, folder_ids: list[str]) -> bool:
        """Whether someone in reach has accepted a next view; until it is decided that one grants no lease."""
        return self._agreement.has_undecided_view or self._observer.sees_undecided_view(view, folder_ids)

    def _rank(self, view: View, conditions: dict[str, MemberCondition]) -> int | None:
        """This replica's rank among the usable members of the chain, of which those that drain come last."""
        folder_ids = [link.member.folder_id for link in view.chain]
        usable = [each for each in folder_ids if each in conditions and conditions[each].healthy]
        usable.sort(key=self._observer.is_draining)
        own = self._own.folder_id
        return usable.index(own) if own in usable else None

    def _propose_in_time(self, desired: View, rank: int) -> None:
        now = self._outbox.now
        if self._in_sight_since is None:
            self._in_sight_since = now
        if now - self._in_sight_since < PROPOSAL_DELAY_S + rank * PROPOSAL_DELAY_PER_RANK_S:
            return
        if self._agreement.may_propose(self._observer.reachable):
            self._agreement.propose(desired)
