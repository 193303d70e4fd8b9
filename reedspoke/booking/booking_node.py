"""Connects the reservations of one scheduler to its fleet node. Performs no I/O.

`BookingNode` owns the replicated log if this scheduler is a voter, leads the log while the scheduler holds
the singleton role for that, and dispatches the messages of the log and of the booking service.
`component.py` connects it to the rest of the program; the test laboratory runs it directly in simulations.
"""

from __future__ import annotations

from collections.abc import Callable

from reedspoke.booking.booking_service import BookingService
from reedspoke.booking.leader_queue import LeaderQueue
from reedspoke.booking.limits import BookingLimits
from reedspoke.booking.reservation_table import ReservationTable
from reedspoke.booking.settings import LEADER_ROLE
from reedspoke.fleet.messages.fields import name_hash
from reedspoke.fleet.messages.frame import OutgoingMessage
from reedspoke.fleet.node import FleetExtension, FleetNode, MessageHandler
from reedspoke.fleet.replicated_log.log_state import LogChange
from reedspoke.fleet.replicated_log.messages import CommandReply, CommandRequest, LogEnvelope, Outbox
from reedspoke.fleet.replicated_log.replicated_log import ReplicatedLog
from reedspoke.fleet.roles.singleton_roles import SingletonRole
from reedspoke.net.effects import ExtensionEffect

RETRANSMITS_PER_LEASE_TTL = 4  # An unanswered message of the log is resent this often per leader lease.


class BookingNode:
    """Handler of the singleton role whose holder leads the replicated log."""

    def __init__(
        self,
        fleet_node: FleetNode,
        limits: BookingLimits,
        lease_ttl_us: int,
        incarnation: int,
        unix_time: Callable[[int], int],
    ) -> None:
        """Create the node and register it with the fleet node.

        `unix_time` converts this process's time in microseconds to Unix time in seconds. `incarnation` must
        differ at each start of the process.
        """
        assert fleet_node.roles is not None
        self.fleet_node, self.roles = fleet_node, fleet_node.roles
        member, self.voters = fleet_node.channel.node_id, fleet_node.roles.configuration.voters
        self.table: ReservationTable | None = None
        self.replicated_log: ReplicatedLog | None = None
        leader_queue: LeaderQueue | None = None
        if member in self.voters:
            self.table = ReservationTable()
            retransmit_interval_us = lease_ttl_us // RETRANSMITS_PER_LEASE_TTL
            self.replicated_log = ReplicatedLog(
                member, self.voters, incarnation, self.table, retransmit_interval_us
            )
            leader_queue = LeaderQueue(
                self.replicated_log, self.table, limits, unix_time, self._send_log_messages
            )
        self.service = BookingService(
            member, leader_queue, limits, self._leader_at, unix_time, first_number=incarnation
        )
        self.stores_changes = False  # Whether changes must be on disk before messages are sent.
        self._join_fleet(lease_ttl_us)

    def _join_fleet(self, lease_ttl_us: int) -> None:
        self.roles.add(
            SingletonRole(LEADER_ROLE, lease_ttl_us, eligible=self.replicated_log is not None), self
        )
        handlers: dict[type, MessageHandler] = {
            LogEnvelope: self._on_log_message,
            CommandRequest: self._on_command_request,
            CommandReply: self._on_command_reply,
        }
        self.fleet_node.add_extension(FleetExtension(handlers, self._tick, self._take_log_changes))

    def _leader_at(self, now: int) -> int | None:
        holder = self.roles.holder(LEADER_ROLE, now)
        return holder.member if holder is not None else None

    # ---- storage ----

    def _take_log_changes(self) -> list[LogChange]:
        if self.replicated_log is None:
            return []
        changes = self.replicated_log.state.take_unsaved_changes()
        return changes if self.stores_changes else []

    def fail_storage(self, now: int) -> None:
        """Stop sending messages of the log and give up the leader role, because changes cannot be stored.

        Otherwise a leader whose disk is full would keep renewing its lease although it cannot commit
        anything, and no other voter could take over.
        """
        assert self.replicated_log is not None
        self.replicated_log.fail_storage()
        self.fleet_node.enqueue(self.roles.disable(LEADER_ROLE, now))

    # ---- the role ----

    def lease_acquired(self, token: int, expires_at: int, now: int) -> list[ExtensionEffect]:
        """Start leading the log, with the lease's fencing token as the term."""
        assert self.replicated_log is not None
        self._send_log_messages(self.replicated_log.become_leader(token, now))
        return []

    def lease_renewed(self, expires_at: int, now: int) -> list[ExtensionEffect]:
        """Do nothing: the log's safety does not depend on lease times, even with several leaders."""
        return []

    def lease_ended(self, reason: str, now: int) -> list[ExtensionEffect]:
        """Stop leading the log."""
        if self.replicated_log is not None:
            self.replicated_log.step_down()
        return []

    def tick(self, now: int) -> list[ExtensionEffect]:
        """Do nothing: the fleet node's tick drives the log, on followers as well as on the leader."""
        return []

    # ---- messages ----

    def _send_log_messages(self, outbox: Outbox) -> None:
        self.fleet_node.enqueue(_in_envelopes(outbox))

    def _on_log_message(self, sender: int, envelope: LogEnvelope, now: int) -> list[OutgoingMessage]:
        if envelope.log_name_hash != name_hash(LEADER_ROLE) or self.replicated_log is None:
            return []
        replies = self.replicated_log.receive(sender, envelope.message, now)
        return [*_in_envelopes(replies), *self.service.tick(now)]

    def _on_command_request(self, sender: int, request: CommandRequest, now: int) -> list[OutgoingMessage]:
        return [*self.service.on_request(sender, request, now)]

    def _on_command_reply(self, sender: int, reply: CommandReply, now: int) -> list[OutgoingMessage]:
        self.service.on_reply(reply)
        return []

    def _tick(self, now: int) -> list[OutgoingMessage]:
        outbox = self.replicated_log.tick(now) if self.replicated_log is not None else []
        return [*_in_envelopes(outbox), *self.service.tick(now)]


def _in_envelopes(outbox: Outbox) -> list[OutgoingMessage]:
    """Wrap messages of the log in envelopes that name the log, for sending over the fleet's channel."""
    return [
        OutgoingMessage(outgoing.recipient, LogEnvelope(name_hash(LEADER_ROLE), outgoing.message))
        for outgoing in outbox
    ]
