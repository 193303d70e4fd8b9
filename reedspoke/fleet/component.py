"""The fleet's component of the reducer.

It passes the reducer's events to the node (`node`), the loads of other schedulers to the decision module and
the node's log lines to the log, and answers the operators' calls. While this process drains, it releases its
roles, each to another live member. The component owns the candidacy of this member for each role; all other
state belongs to the node.
"""

from __future__ import annotations

from http import HTTPStatus
from zlib import crc32

from reedspoke import interface as api
from reedspoke.fleet.events import (
    DatagramReceived,
    LogChangesStored,
    RoleCallFinished,
    SendDatagrams,
    SocketOpened,
    StoreLogChanges,
)
from reedspoke.fleet.failure_detector import MemberState, MemberStateChange
from reedspoke.fleet.load_sharing import LoadSharing, reserved_by
from reedspoke.fleet.messages.errors import FrameError
from reedspoke.fleet.messages.fields import NO_MEMBER
from reedspoke.fleet.messages.frame import EVERY_PEER
from reedspoke.fleet.messages.worker_load import LoadReport
from reedspoke.fleet.node import FleetNode, NodePhase
from reedspoke.fleet.roles.periodic_call import PeriodicCall
from reedspoke.fleet.roles.singleton_roles import SingletonRoles
from reedspoke.fleet.status import status_json
from reedspoke.net import effects as fx
from reedspoke.net.core import MS, Component, Core, EventHandlers, TimerHandlers
from reedspoke.net.state import ProcessPhase

MAX_TICK_INTERVAL_US = 250 * MS  # applies if only load reports are exchanged
TICKS_PER_PERIOD = 8
TICKS_PER_TTL = 40
RELEASE_COOLDOWN_TTLS = 2  # times to live without candidacy here after an operator has released a role
MAX_MEMBER_DIGITS = 5


class FleetComponent(Component):
    """Connects a fleet node to the reducer. `load_sharing` is None if no load reports are exchanged."""

    def __init__(self, core: Core, node: FleetNode, load_sharing: LoadSharing | None) -> None:
        """The first tick is triggered by `SocketOpened`."""
        super().__init__(core)
        self.node, self.load_sharing = node, load_sharing
        self.roles, self.failure_detector = node.roles, node.failure_detector
        self.tick_interval_us = self._tick_interval()
        self._is_candidate = False
        self._released_until: dict[str, int] = {}  # by role, for the roles that an operator has released here
        self._had_majority = True

    def _tick_interval(self) -> int:
        intervals = [MAX_TICK_INTERVAL_US]
        if self.failure_detector is not None:
            intervals.append(self.failure_detector.period_us // TICKS_PER_PERIOD)
        if self.roles is not None:
            intervals += [lease.ttl_us // TICKS_PER_TTL for lease in self.roles.leases.values()]
        return min(intervals)

    def event_handlers(self) -> EventHandlers:
        """Returns the handlers of the events, by event type."""
        return {
            DatagramReceived: self._on_datagram,
            SocketOpened: lambda _: self._on_tick(0),
            RoleCallFinished: self._on_role_call_finished,
            LogChangesStored: self._on_log_changes_stored,
        }

    def timer_handlers(self) -> TimerHandlers:
        """Returns the handlers of the timers, by timer name."""
        return {"peers": self._on_tick}

    # ---- events ----

    def _on_datagram(self, event: DatagramReceived) -> None:
        now = self.core.now
        frame = self.node.receive(event.body, now, event.sender)
        if frame is None or self.load_sharing is None:
            return
        changed = False
        for message in frame.messages:
            if isinstance(message, LoadReport):
                try:
                    changed |= self.load_sharing.receive(now, frame, message)
                except FrameError:
                    self.node.channel.counters["malformed"] += 1
        if changed:
            self._publish_loads(self.load_sharing)

    def _on_tick(self, _: int) -> None:
        now = self.core.now
        if self.load_sharing is not None and self.load_sharing.expire(now):
            self._publish_loads(self.load_sharing)
        self._expire_releases(now)
        self.node.tick(now)
        if self.roles is not None:
            self._check_majority()
        if self.state.phase is not ProcessPhase.ENDED:
            self.core.set_timer(("peers", 0), now + self.tick_interval_us)

    def _expire_releases(self, now: int) -> None:
        for name in [name for name, until in self._released_until.items() if now >= until]:
            del self._released_until[name]
            if self._is_candidate:
                self.node.set_candidacy(True, NO_MEMBER, now, [name])

    def _check_majority(self) -> None:
        has_majority = self.node.has_majority()
        if has_majority != self._had_majority:
            self._had_majority = has_majority
            if has_majority:
                text = "fleet: a majority of the lease voters is reachable again"
            else:
                text = "fleet: no majority of the lease voters is reachable: singleton roles are suspended"
            self.core.request_effect(fx.WriteLog(text))

    def _on_log_changes_stored(self, event: LogChangesStored) -> None:
        self.node.pending_writes -= 1
        for send in event.deferred_sends:
            self.core.request_effect(send)

    def _on_role_call_finished(self, event: RoleCallFinished) -> None:
        assert self.roles is not None
        if isinstance(handler := self.roles.handlers.get(event.role), PeriodicCall):
            handler.call_finished(event.status)
        if event.status == HTTPStatus.CONFLICT and event.later_token:
            self.node.enqueue(self.roles.call_rejected(event.role, event.later_token, self.core.now))

    # ---- operators ----

    def on_status(self, event: fx.OperatorCall) -> fx.ReplyToOperator:
        """Answers `GET /v1/fleet`."""
        return fx.ReplyToOperator(event.caller, fx.CallResult.YES, text=status_json(self.node, self.core.now))

    def on_release(self, event: fx.OperatorCall) -> fx.ReplyToOperator:
        """Answers `POST /v1/fleet/ROLE/release` with an optional successor.

        Only the holder can release a role. It is no candidate for it again for RELEASE_COOLDOWN_TTLS.
        """
        roles, now = self.roles, self.core.now
        name, successor_text = event.names[0], event.names[1] if len(event.names) > 1 else ""
        if roles is None or name not in roles.leases:
            return fx.ReplyToOperator(event.caller, fx.CallResult.NOT_FOUND, text="no such duty\n")
        successor = self._parse_member(successor_text)
        if successor_text and successor is None:
            return fx.ReplyToOperator(
                event.caller,
                fx.CallResult.NOT_FOUND,
                text=f"no other scheduler has the number {successor_text}\n",
            )
        if not roles.holds(name, now):
            holder = roles.holder(name, now)
            held = f"held by scheduler {holder.member}" if holder else "no holder is known here"
            return fx.ReplyToOperator(event.caller, fx.CallResult.NO, text=f"{held}\n")
        if successor is None:
            successor = self._choose_successor(name)
        self._released_until[name] = now + RELEASE_COOLDOWN_TTLS * roles.leases[name].ttl_us
        self.node.set_candidacy(False, successor, now, [name])
        return fx.ReplyToOperator(event.caller, fx.CallResult.YES)

    def _parse_member(self, text: str) -> int | None:
        """Parses the number of another member. Returns None if there is no such member."""
        if not (text.isascii() and text.isdigit() and len(text) <= MAX_MEMBER_DIGITS):
            return None
        member = int(text)
        is_known = self.failure_detector is not None and member in self.failure_detector.members
        return member if is_known else None

    def _choose_successor(self, name: str) -> int:
        """Chooses a live member by rendezvous hashing, or NO_MEMBER if none is known to be alive."""
        if self.failure_detector is None:
            return NO_MEMBER
        members = self.failure_detector.members.items()
        alive = [member for member, record in members if record.state is MemberState.ALIVE]
        return max(alive, key=lambda member: crc32(f"{name}/{member}".encode()), default=NO_MEMBER)

    # ---- effects ----

    def _publish_loads(self, load_sharing: LoadSharing) -> None:
        self.core.notify_module(api.PeerLoads(load_sharing.loads_of_others(self.state.workers)))

    def after_event(self) -> None:
        """Turns the output of the node into effects; called after each event of the reducer."""
        if self.roles is not None:
            self._update_candidacy(self.roles)
            for effect in self.roles.effects:
                self.core.request_effect(effect)
            self.roles.effects.clear()
            self._log_changes(self.roles)
        if self.load_sharing is not None:
            attempts = self.state.metric_counters["forwards", ""]
            reports = self.load_sharing.due_reports(self.core.now, reserved_by(self.core.module), attempts)
            self.node.enqueue((EVERY_PEER, report) for report in reports)
        self._send()

    def _send(self) -> None:
        """Sends the queued messages, after the log changes that they may depend on have been stored."""
        sends = [
            SendDatagrams(tuple(bodies), recipient) for recipient, bodies in self.node.flush(self.core.now)
        ]
        if changes := self.node.take_log_changes():
            self.node.pending_writes += 1
            self.core.request_effect(StoreLogChanges(tuple(changes), tuple(sends)))
            return
        for send in sends:
            self.core.request_effect(send)

    def _update_candidacy(self, roles: SingletonRoles) -> None:
        """Releases the roles of a draining process, which spares successors the wait for expiry."""
        candidate = self.state.phase is ProcessPhase.SERVING and not self.state.leaving()
        if candidate:
            self.node.phase = NodePhase.SERVING
        else:
            self.node.phase = NodePhase.DRAINED if self.state.drained else NodePhase.DRAINING
        if candidate == self._is_candidate:
            return
        self._is_candidate = candidate
        for name in roles.leases:
            if name not in self._released_until:
                successor = NO_MEMBER if candidate else self._choose_successor(name)
                self.node.set_candidacy(candidate, successor, self.core.now, [name])

    def _log_changes(self, roles: SingletonRoles) -> None:
        for line in roles.log_lines:
            self.core.request_effect(fx.WriteLog(line))
        roles.log_lines.clear()
        if self.failure_detector is not None:
            for change in self.failure_detector.changes:
                self._log_member_change(change)
            self.failure_detector.changes.clear()

    def _log_member_change(self, change: MemberStateChange) -> None:
        before, after = change.before.name.lower(), change.after.name.lower()
        self.core.count(f"members {after}")
        self.core.request_effect(fx.WriteLog(f"fleet: scheduler {change.member} is {after}, was {before}"))
