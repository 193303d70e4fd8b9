"""Chain, register and head queue of one replica; tests pass messages in and end its stores."""

from __future__ import annotations

from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.chain import Chain
from reedspoke.control_plane.replication.change_history import ChangeHistory
from reedspoke.control_plane.replication.configuration_register import ConfigurationRegister
from reedspoke.control_plane.replication.effects import SendMessage, StoreRecords
from reedspoke.control_plane.replication.entry import CommittedConfiguration, Entry, change_id_of
from reedspoke.control_plane.replication.events import StoreCompleted
from reedspoke.control_plane.replication.head_queue import HeadQueue
from reedspoke.control_plane.replication.log_records import RestoredState
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.pending_transfers import PendingTransfers
from reedspoke.control_plane.replication.settings import ReplicaSettings
from reedspoke.control_plane.replication.view import ChainLink, Member, View

START = 100.0
ANSWER_LIMIT_S = 1.0
VIEW_NUMBER = 3
HEAD, MIDDLE, TAIL = (Member(folder_id=name, address=f"at-{name}") for name in "abc")


def view_of(*links: tuple[Member, int], number: int = VIEW_NUMBER) -> View:
    """A view with this chain, each member with the view that appended it."""
    voters = (HEAD, MIDDLE, TAIL)
    return View(number, voters, tuple(ChainLink(member, joined) for member, joined in links))


FULL_CHAIN = view_of((HEAD, 1), (MIDDLE, 1), (TAIL, 1))


def entry(sequence: int, document: bytes = b"") -> Entry:
    """An entry whose generation is ten times its sequence."""
    return Entry(sequence, VIEW_NUMBER, 10 * sequence, document or b"document %d" % sequence)


def packed_history(*entries: Entry) -> bytes:
    """The history after these entries, as a snapshot carries it."""
    history = ChangeHistory()
    for each in entries:
        history.add(change_id_of(each))
    return history.packed()


class ChainReplica:
    """One member of the chain, with the entry that it holds when the view begins."""

    def __init__(
        self,
        own: Member,
        view: View = FULL_CHAIN,
        held: Entry | None = None,
        synced_since: int = 0,
        tolerated: int = 1,
    ) -> None:
        settings = ReplicaSettings(
            folder_id=own.folder_id,
            address=own.address,
            zone="",
            seeds=(),
            bootstrap=False,
            machines_tolerated=tolerated,
            answer_limit_s=ANSWER_LIMIT_S,
        )
        history = ChangeHistory(packed_history(held) if held else b"")
        self.outbox = Outbox(own.address, START, 0)
        self.register = ConfigurationRegister(
            self.outbox, RestoredState(entry=held, history=history, synced_since=synced_since)
        )
        self.delivered: list[CommittedConfiguration] = []
        self.transfers = PendingTransfers(own.folder_id, [], [], None, lambda joined_view, on_stored: None)
        self.chain = Chain(
            settings, self.outbox, self.register, self.transfers, self.delivered.append, self._advance_head
        )
        self.head = HeadQueue("own:1", self.outbox, self.chain, self.register, ANSWER_LIMIT_S)
        self.stores: list[StoreRecords] = []
        self.head.enter_view(view)
        self.chain.enter_view(view)
        self.sent()

    def _advance_head(self) -> None:
        self.head.advance()

    def sent(self) -> list[Struct]:
        """The messages since the last call, including those to itself; stores are added to `stores`."""
        messages = self.outbox.take_own_messages()
        for effect in self.outbox.take_effects():
            if isinstance(effect, SendMessage):
                messages.append(effect.message)
            elif isinstance(effect, StoreRecords):
                self.stores.append(effect)
        return messages

    def end_store(self, error: ErrorCode | None = None) -> None:
        """End the oldest store in progress."""
        self.sent()
        self.outbox.store_completed(StoreCompleted(self.stores.pop(0).token, error))
