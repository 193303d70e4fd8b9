"""The bookings of one scheduler, joined to its part in the fleet: the record where it grants, the duty that
leads it, and the desk. Pure; `part.py` has the door, and the laboratory plays it as it is."""

from __future__ import annotations

from collections.abc import Callable

from reedspoke.booking.book import Calendar
from reedspoke.booking.desk import Desk, Terms
from reedspoke.booking.file import DUTY
from reedspoke.fleet.messages.fields import name_hash
from reedspoke.fleet.messages.frame import Message
from reedspoke.fleet.node import FleetExtension, FleetNode, MessageHandler
from reedspoke.fleet.replicated_log.log_state import LogChange
from reedspoke.fleet.replicated_log.messages import CommandReply, CommandRequest, LogEnvelope, Outbox
from reedspoke.fleet.replicated_log.replicated_log import ReplicatedLog
from reedspoke.fleet.roles.singleton_roles import SingletonRole

PACE = 4  # parts of a term that a lost word of the record is sent again after


class Agreed:
    """A `Work`: who holds the duty leads the record. `wall`: s of Unix time from our us."""

    def __init__(
        self, party: FleetNode, terms: Terms, term: int, life: int, wall: Callable[[int], int]
    ) -> None:
        assert party.roles is not None
        self.party, self.duties, me = party, party.roles, party.channel.node_id
        granters = self.duties.configuration.voters
        self.calendar = Calendar() if me in granters else None
        self.record: ReplicatedLog | None = None
        if self.calendar is not None:
            self.record = ReplicatedLog(me, granters, life, self.calendar, term // PACE)
        self.desk = Desk(
            me,
            self.record,
            self.calendar,
            terms,
            self._holder,
            wall,
            lambda out: party.enqueue(self._wrap(out)),
            life,
        )
        self.folder = False  # what changes has to be kept there before it is told
        self.duties.add(SingletonRole(DUTY, term, eligible=self.record is not None), self)
        handlers: dict[type, MessageHandler] = {
            LogEnvelope: self._hear_record,
            CommandRequest: self._hear_desk,
            CommandReply: self._hear_desk,
        }
        party.add_extension(FleetExtension(handlers, self._look, self._keep))

    def _holder(self, now: int) -> int:
        grip = self.duties.holder(DUTY, now)
        return grip.member if grip is not None else -1

    def _wrap(self, out: Outbox) -> list[tuple[int, Message]]:
        return [(to, LogEnvelope(name_hash(DUTY), word)) for to, word in out]

    def _keep(self) -> list[LogChange]:
        if self.record is None:
            return []
        changes = list(self.record.state.unsaved_changes)
        self.record.state.unsaved_changes.clear()
        return changes if self.folder else []

    def silence(self, now: int) -> None:
        """What would be confirmed cannot be kept. Guards the others against a leader whose disk is full: it
        would go on to hold the duty, and the record would rest with it."""
        assert self.record is not None
        self.record.fail_storage()
        self.party.enqueue(self.duties.disable(DUTY, now))

    # ---- the duty ----

    def lease_acquired(self, token: int, expires_at: int, now: int) -> list[object]:
        assert self.record is not None
        self.party.enqueue(self._wrap(self.record.become_leader(token, now)))
        return []

    def lease_renewed(self, expires_at: int, now: int) -> list[object]:
        return []

    def lease_ended(self, reason: str, now: int) -> list[object]:
        if self.record is not None:
            self.record.step_down()
        return []

    def tick(self, now: int) -> list[object]:
        return []

    # ---- words ----

    def _hear_record(self, sender: int, matter: LogEnvelope, now: int) -> list[tuple[int, Message]]:
        if matter.log_name_hash != name_hash(DUTY) or self.record is None:
            return []
        return [*self._wrap(self.record.receive(sender, matter.message, now)), *self.desk.tick(now)]

    def _hear_desk(
        self, sender: int, matter: CommandRequest | CommandReply, now: int
    ) -> list[tuple[int, Message]]:
        return [*self.desk.hear(sender, matter, now)]

    def _look(self, now: int) -> list[tuple[int, Message]]:
        words: Outbox = self.record.tick(now) if self.record is not None else []
        return [*self._wrap(words), *self.desk.tick(now)]
