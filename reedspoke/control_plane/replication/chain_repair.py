"""Repair of the chain: which member proposes which next view, and when.

A view is better than the present one if `choose_next_view` prefers it. Every member of the chain may propose
it once it has been possible for `PROPOSAL_DELAY_S`. To avoid competing proposals, members further back in the
chain wait longer. Safety does not depend on these delays: Paxos decides one of several proposals.
"""

from __future__ import annotations

import logging

from reedspoke.control_plane.replication.copy_recovery import CopyRecovery
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
from reedspoke.control_plane.views.membership_snapshot import MemberCondition, MembershipSnapshot
from reedspoke.control_plane.views.next_view import RepairBlock, choose_next_view, find_repair_block
from reedspoke.control_plane.views.quorum import majority_size

# A seed counts as lost if its heartbeats have arrived for longer than this without the mark `bootstrap_seed`:
# it has lost its disk and takes no part in the first start, which proceeds without it.
SEED_BOOTSTRAP_TIMEOUT_S = 1.0
# A seed counts as lost if this replica has been running for this long and the seed has not started. The first
# start proceeds without it.
MISSING_SEED_TIMEOUT_S = 2.4

# For this long after its own start a seed proposes no first view with fewer voters than
# `ReplicaSettings.voters_target`, as other replicas may still be starting.
FIRST_VIEW_GATHERING_S = 0.8


class ChainRepair:
    """Proposes views.

    Owns two times: since when a better view has been possible, and from when on the time-outs of other
    members are conclusive. Logs once what prevents a repair.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        outbox: Outbox,
        agreement: ViewAgreement,
        observer: MembershipObserver,
        recovery: CopyRecovery,
    ) -> None:
        self._own = settings.member
        self._voters_target = settings.voters_target
        self._outbox = outbox
        self._agreement = agreement
        self._observer = observer
        self._recovery = recovery
        self._started = outbox.now
        self._timeouts_valid_from = outbox.now + REACHABLE_TIMEOUT_S
        self._better_view_since: float | None = None
        self._logged_block: RepairBlock | None = None

    def process_resumed(self) -> None:
        """Suspend repairs for `REACHABLE_TIMEOUT_S` after this process was stopped and has resumed.

        It received nothing while it was stopped, so every other member seems to have timed out.
        """
        self._timeouts_valid_from = self._outbox.now + REACHABLE_TIMEOUT_S
        self._better_view_since = None

    def enter_view(self, view: View) -> None:
        """Restart the proposal delay, as it was that of a view better than the previous one."""
        self._better_view_since = None
        self._logged_block = None
        # Members of the first view may not have received each other's heartbeats yet.
        if view.number == FIRST_VIEW_NUMBER:
            self._timeouts_valid_from = max(self._timeouts_valid_from, self._outbox.now + REACHABLE_TIMEOUT_S)

    def majority_reached(self) -> bool:
        """Whether this replica and a majority of the voters receive each other's heartbeats."""
        view = self._agreement.view
        return view is not None and self._observer.reaches_majority_of(view)

    # ---- the first view ----

    def propose_first(self, seeds: tuple[str, ...]) -> None:
        """At the first start: propose a first view of all seeds, or of a majority if the others are lost."""
        heartbeats = self._observer.heartbeats_for_first_view(seeds)
        starting = {heartbeat.member.address for heartbeat in heartbeats if heartbeat.bootstrap_seed}
        others_lost = all(self._is_seed_lost(seed) for seed in set(seeds) - starting)
        seeds_needed = majority_size(len(set(seeds))) if others_lost else len(set(seeds))
        view = form_first_view(seeds, heartbeats, seeds_needed, self._voters_target)
        if view is not None and self._has_gathered(view):
            rank = sorted(seeds).index(self._own.address)
            self._propose_after_delay(view, rank)

    def _has_gathered(self, view: View) -> bool:
        """Whether the first view has enough voters, or `FIRST_VIEW_GATHERING_S` is over."""
        enough = len(view.voters) >= self._voters_target
        return enough or self._outbox.now - self._started >= FIRST_VIEW_GATHERING_S

    def _is_seed_lost(self, seed: str) -> bool:
        """Whether this seed has lost its disk, or has not started in time."""
        takes_no_part = self._observer.received_for_s(seed) >= SEED_BOOTSTRAP_TIMEOUT_S
        return takes_no_part or self._outbox.now - self._started >= MISSING_SEED_TIMEOUT_S

    # ---- the next view ----

    def propose_next(self, view: View) -> None:
        """Propose the next view if there is a better one."""
        now = self._outbox.now
        if now < self._timeouts_valid_from or not self.majority_reached():
            self._better_view_since = None
            return
        snapshot = self._observer.snapshot(view)
        rank = self._rank(view, snapshot.conditions)
        if rank is None:
            return
        desired = choose_next_view(view, snapshot)
        if desired == view:
            desired = self._recovery.next_view(view, snapshot) or view
        # Voters that have accepted another next view grant no leases. A view with the same members ends that
        # state, as its proposal decides either it or the view that they have accepted.
        if desired == view and self._is_unfinished(view, list(snapshot.conditions)):
            desired = View(view.number + 1, view.voters, view.chain)
        if desired == view:
            self._better_view_since = None
            self._log_block(view, snapshot)
            return
        self._propose_after_delay(desired, rank)

    def _log_block(self, view: View, snapshot: MembershipSnapshot) -> None:
        """Log why the chain cannot be repaired, whenever the reason has changed."""
        block = find_repair_block(view, snapshot)
        if block is self._logged_block:
            return
        self._logged_block = block
        if block is not None:
            members = {
                link.member.address: _describe(snapshot.conditions.get(link.member.folder_id))
                for link in view.chain
            }
            self._outbox.log(
                logging.WARNING,
                "chain cannot be repaired",
                view=view.number,
                reason=block.value,
                members=members,
            )

    def _is_unfinished(self, view: View, folder_ids: list[str]) -> bool:
        """Whether a reachable voter has accepted a next view that may never have been decided."""
        return self._agreement.has_undecided_view or self._observer.sees_undecided_view(view, folder_ids)

    def _rank(self, view: View, conditions: dict[str, MemberCondition]) -> int | None:
        """This replica's rank among the reachable and healthy members of the chain, from 0 at the head.

        Draining members rank last. None if this replica is not one of these members.
        """
        folder_ids = [link.member.folder_id for link in view.chain]
        usable = [each for each in folder_ids if each in conditions and conditions[each].healthy]
        usable.sort(key=self._observer.is_draining)
        own = self._own.folder_id
        return usable.index(own) if own in usable else None

    def _propose_after_delay(self, desired: View, rank: int) -> None:
        """Propose this view if a better one has been possible for the delay of this rank."""
        now = self._outbox.now
        if self._better_view_since is None:
            self._better_view_since = now
        if now - self._better_view_since < PROPOSAL_DELAY_S + rank * PROPOSAL_DELAY_PER_RANK_S:
            return
        if self._agreement.may_propose(self._observer.reachable):
            self._agreement.propose(desired)


def _describe(condition: MemberCondition | None) -> str:
    """The condition of a member of the chain, for the log."""
    if condition is None:
        return "unreachable"
    if not condition.healthy:
        return "disk failed"
    return "complete" if condition.complete else "incomplete"
