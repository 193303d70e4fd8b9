"""Repair of the chain: who proposes which next view, and when."""

from __future__ import annotations

from collections.abc import Callable

from reedspoke.control_plane.replication.failure_detector import FailureDetector
from reedspoke.control_plane.replication.messages import Heartbeat
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import (
    ESTABLISHED_AFTER_S,
    PROPOSE_AFTER_S,
    RANK_DELAY_S,
    REACHABLE_TIMEOUT_S,
    ReplicaSettings,
)
from reedspoke.control_plane.replication.view import View
from reedspoke.control_plane.views.agreement import ViewAgreement
from reedspoke.control_plane.views.first_view import FIRST_VIEW_NUMBER, form_first_view
from reedspoke.control_plane.views.next_view import MemberCondition, MembershipSnapshot, choose_next_view
from reedspoke.control_plane.views.quorum import majority_size

SEED_STARTS_WITHIN_S = 1.0  # a seed that is heard for longer and has no part in the first start gets none
SEED_COMES_WITHIN_S = 2.4  # a seed that is not heard by then is lost: the first start goes on without it

GATHER_S = 0.8  # after its start a seed proposes no first view with fewer voters than there should be

OwnHeartbeat = Callable[[], Heartbeat]


class ChainRepair:
    """Proposes a better view once one has been in sight for a while; members further back wait longer."""

    def __init__(
        self,
        settings: ReplicaSettings,
        outbox: Outbox,
        peers: FailureDetector,
        agreement: ViewAgreement,
        own_ping: OwnHeartbeat,
    ) -> None:
        self._settings = settings
        self._own = settings.member
        self._outbox = outbox
        self._peers = peers
        self._agreement = agreement
        self._own_ping = own_ping
        self._started = outbox.now
        self._judge_from = outbox.now + REACHABLE_TIMEOUT_S
        self._in_sight_since: float | None = None

    def woken(self) -> None:
        """This process was stopped: nobody is judged for a while."""
        self._judge_from = self._outbox.now + REACHABLE_TIMEOUT_S
        self._in_sight_since = None

    def entered(self, view: View) -> None:
        """A newer view is in force: what is better than it has to be in sight anew. Members of the first one
        may not have heard of each other yet."""
        self._in_sight_since = None
        if view.number == FIRST_VIEW_NUMBER:
            self._judge_from = max(self._judge_from, self._outbox.now + REACHABLE_TIMEOUT_S)

    def majority_reached(self) -> bool:
        """Whether this replica and a majority of the voters hear each other."""
        view = self._agreement.view
        if view is None:
            return False
        reached = sum(self.reachable(voter.folder_id) for voter in view.voters)
        return reached >= majority_size(len(view.voters))

    def reachable(self, folder_id: str) -> bool:
        """Whether this replica and that one hear each other."""
        return self._peers.mutual(folder_id, self._outbox.now)

    def has_staying_peer(self) -> bool:
        """Whether a replica in reach is not about to leave."""
        now = self._outbox.now
        reached = [member for member in self._peers.members(now) if self.reachable(member.folder_id)]
        return any(not self._leaving(member.folder_id) for member in reached)

    def propose_first(self, seeds: tuple[str, ...]) -> None:
        """At the first start: propose the first view, of all seeds or a majority where some are given up."""
        pings = self._pings_in_reach(seeds)
        starting = {ping.member.address for ping in pings if ping.bootstrap}
        missing = set(seeds) - starting
        given_up = all(self._given_up(seed) for seed in missing)
        least = majority_size(len(set(seeds))) if given_up else len(set(seeds))
        view = form_first_view(seeds, pings, least, self._settings.voters_target)
        if view is not None and self._has_gathered(view):
            rank = sorted(seeds).index(self._own.address)
            self._propose_in_time(view, rank)

    def _pings_in_reach(self, seeds: tuple[str, ...]) -> list[Heartbeat]:
        """Of this replica, of the seeds that were heard, and of whoever else hears this replica too."""
        members = [
            member
            for member in self._peers.members(self._outbox.now)
            if member.address in seeds or self.reachable(member.folder_id)
        ]
        pings = (self._ping_of(member.folder_id) for member in [self._own, *members])
        return [ping for ping in pings if ping is not None]

    def _has_gathered(self, view: View) -> bool:
        """Whether the first view has the voters that it should have, or was held back for long enough."""
        enough = len(view.voters) >= self._settings.voters_target
        return enough or self._outbox.now - self._started >= GATHER_S

    def _given_up(self, seed: str) -> bool:
        """Whether this seed has no part in the first start, as its disk was lost, or has not come."""
        now = self._outbox.now
        without_part = self._peers.heard_for(seed, now) >= SEED_STARTS_WITHIN_S
        return without_part or now - self._started >= SEED_COMES_WITHIN_S

    def propose_next(self, view: View) -> None:
        """Propose the next view, if there is a better one."""
        now = self._outbox.now
        if now < self._judge_from or not self.majority_reached():
            self._in_sight_since = None
            return
        conditions = self._conditions(view)
        rank = self._rank(view, conditions)
        if rank is None:
            return
        desired = choose_next_view(view, self._surroundings(conditions))
        if desired == view and self._unfinished(view, conditions):
            desired = View(view.number + 1, view.voters, view.chain)
        if desired == view:
            self._in_sight_since = None
            return
        self._propose_in_time(desired, rank)

    def _unfinished(self, view: View, conditions: dict[str, MemberCondition]) -> bool:
        """Whether someone in reach has accepted a next view; until it is decided that one grants no lease."""
        if self._agreement.has_undecided_view:
            return True
        pings = (self._peers.latest(folder_id) for folder_id in conditions)
        return any(ping.undecided and ping.view == view.number for ping in pings if ping is not None)

    def _propose_in_time(self, desired: View, rank: int) -> None:
        now = self._outbox.now
        if self._in_sight_since is None:
            self._in_sight_since = now
        if now - self._in_sight_since < PROPOSE_AFTER_S + rank * RANK_DELAY_S:
            return
        if self._agreement.may_propose(self.reachable):
            self._agreement.propose(desired)

    def _rank(self, view: View, conditions: dict[str, MemberCondition]) -> int | None:
        """This replica's place among the usable members of the chain, of which those that leave come last."""
        folders = [link.member.folder_id for link in view.chain]
        usable = [folder for folder in folders if folder in conditions and conditions[folder].healthy]
        usable.sort(key=self._leaving)
        own = self._own.folder_id
        return usable.index(own) if own in usable else None

    def _surroundings(self, conditions: dict[str, MemberCondition]) -> MembershipSnapshot:
        now = self._outbox.now
        return MembershipSnapshot(
            conditions=conditions,
            is_connected=self._connected,
            is_lost=lambda folder_id: self._peers.gone(folder_id, now),
            is_draining=self._leaving,
            chain_minimum=self._settings.chain_minimum,
            voters_target=self._settings.voters_target,
        )

    def _conditions(self, view: View) -> dict[str, MemberCondition]:
        now = self._outbox.now
        joined = {link.member.folder_id: link.joined for link in view.chain}
        own_established = now - self._started >= ESTABLISHED_AFTER_S
        conditions = {
            self._own.folder_id: _condition(self._own_ping(), joined, True, own_established),
        }
        for member in self._peers.members(now):
            ping = self._peers.latest(member.folder_id)
            if ping is not None and self.reachable(member.folder_id):
                steady = ping.view == view.number and self._peers.steady(member.folder_id, now)
                established = self._peers.established(member.folder_id, now)
                conditions[member.folder_id] = _condition(ping, joined, steady, established)
        return conditions

    def _connected(self, one: str, other: str) -> bool:
        own = self._own.folder_id
        if own in (one, other):
            return self.reachable(other if one == own else one)
        return self._peers.connected(one, other)

    def _leaving(self, folder_id: str) -> bool:
        ping = self._ping_of(folder_id)
        return ping is not None and ping.leaving

    def _ping_of(self, folder_id: str) -> Heartbeat | None:
        if folder_id == self._own.folder_id:
            return self._own_ping()
        return self._peers.latest(folder_id)


def _condition(ping: Heartbeat, joined: dict[str, int], steady: bool, established: bool) -> MemberCondition:
    """How a replica stands; `joined` has, for each member of the chain, the view that appended it."""
    return MemberCondition(
        member=ping.member,
        healthy=ping.disk_ok,
        complete=joined.get(ping.member.folder_id) in (FIRST_VIEW_NUMBER, ping.synced_since),
        steady=steady,
        established=established,
    )
