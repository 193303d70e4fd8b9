"""Guard conditions of the recovery from a copy outside the chain, one test each."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from reedspoke.control_plane.replication.configuration_register import ConfigurationRegister
from reedspoke.control_plane.replication.copy_recovery import CopyRecovery
from reedspoke.control_plane.replication.effects import SendMessage
from reedspoke.control_plane.replication.log_records import ProbeRecord, RestoredState
from reedspoke.control_plane.replication.messages import ClosedTransfer, CopyStatus, CopyStatusRequest
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.pending_transfers import PendingTransfers
from reedspoke.control_plane.replication.settings import (
    COPY_RECOVERY_DELAY_S,
    COPY_STATUS_INTERVAL_S,
    COPY_STATUS_TTL_S,
    DISK_STALL_TIMEOUT_S,
)
from reedspoke.control_plane.replication.view import ChainLink, View
from reedspoke.control_plane.views.membership_snapshot import MembershipSnapshot
from tests.control_plane.chain_replica import entry, packed_history
from tests.control_plane.view_builders import chain_names, member_named, snapshot_of

START = 100.0
BEFORE = View(2, tuple(map(member_named, "abc")), tuple(ChainLink(member_named(name), 1) for name in "ab"))
VIEW = View(3, BEFORE.voters, (ChainLink(member_named("b"), 1), ChainLink(member_named("c"), 3)))
ASKER = "at-b"


class Recovery:
    """The recovery of `c`, which VIEW has appended to `b`; `a` has everything that was committed."""

    def __init__(self) -> None:
        own = member_named("c")
        self.outbox = Outbox(own.address, START, 0)
        self.register = ConfigurationRegister(self.outbox, RestoredState())
        self.stores: list[Callable[[bool], None]] = []
        self.transfers = PendingTransfers(
            own.folder_id, [], [], None, lambda _, on_stored: self.stores.append(on_stored)
        )
        self.transfers.enter_view(BEFORE)
        self.transfers.enter_view(VIEW)
        self.recovery = CopyRecovery(own, self.outbox, self.register, self.transfers)

    def sent(self) -> list[Struct]:
        """The messages since the last call."""
        return [each.message for each in self.outbox.take_effects() if isinstance(each, SendMessage)]

    def look(self, snapshot: MembershipSnapshot | None = None) -> View | None:
        """The view to propose now; `b` is out of reach unless a snapshot is given."""
        return self.recovery.next_view(VIEW, snapshot or snapshot_of("ac", incomplete="ac"))

    def wait_and_look(self, snapshot: MembershipSnapshot | None = None) -> View | None:
        """Let the answer of `a` arrive after the delay, and look."""
        self.look(snapshot)
        self.outbox.now += COPY_RECOVERY_DELAY_S
        self.recovery.receive(CopyStatus(member_named("a"), VIEW.number, 1, 5))
        return self.look(snapshot)


def test_the_transfer_is_closed_on_disk_before_the_view_is_proposed() -> None:
    play = Recovery()
    assert play.wait_and_look() is None
    (stored,) = play.stores
    assert play.look() is None
    stored(True)
    following = play.look()
    assert following is not None
    assert chain_names(following) == "ac"
    assert [link.joined_view for link in following.chain] == [1, 4]


def test_nothing_is_closed_while_a_complete_member_of_the_chain_is_in_reach() -> None:
    play = Recovery()
    assert play.wait_and_look(snapshot_of("abc", incomplete="ac")) is None
    assert play.stores == []


def test_nothing_is_closed_while_the_snapshot_is_being_stored() -> None:
    """It may complete, and the chain commit what the copy outside does not have."""
    play = Recovery()
    play.register.install_snapshot(entry(1), packed_history(entry(1)), VIEW.number, lambda _: None)
    assert play.wait_and_look() is None
    assert play.stores == []


def test_nothing_is_closed_before_the_delay() -> None:
    play = Recovery()
    play.recovery.receive(CopyStatus(member_named("a"), VIEW.number, 1, 5))
    play.look()
    play.outbox.now += COPY_RECOVERY_DELAY_S / 2
    play.look()
    assert play.stores == []


def test_nothing_is_closed_without_a_copy_or_on_an_old_answer() -> None:
    play = Recovery()
    play.look()
    play.outbox.now += COPY_RECOVERY_DELAY_S
    play.look()
    assert play.stores == []
    play.recovery.receive(CopyStatus(member_named("a"), VIEW.number, 1, 5))
    play.outbox.now += COPY_STATUS_TTL_S * 1.1
    play.look()
    assert play.stores == []


def test_requests_go_to_all_replicas_in_reach_at_an_interval() -> None:
    play = Recovery()
    play.look()
    play.outbox.now += COPY_RECOVERY_DELAY_S
    play.look()
    play.look()
    assert play.sent() == [CopyStatusRequest(VIEW.number)]
    play.outbox.now += COPY_STATUS_INTERVAL_S * 1.1
    play.look()
    assert play.sent() == [CopyStatusRequest(VIEW.number)]


def test_the_answer_tells_of_closed_transfers_only() -> None:
    play = Recovery()
    play.recovery.answer(ASKER, CopyStatusRequest(VIEW.number))
    assert play.sent() == [CopyStatus(member_named("c"), VIEW.number, 1, 0)]
    assert play.transfers.present is not None
    play.transfers.close(play.transfers.present)
    play.stores.pop()(True)
    play.recovery.answer(ASKER, CopyStatusRequest(VIEW.number))
    closed = (ClosedTransfer(VIEW.number, BEFORE.chain),)
    assert play.sent() == [CopyStatus(member_named("c"), VIEW.number, 1, 0, closed)]


def test_no_answer_while_the_disk_does_not_hold_what_is_in_memory() -> None:
    play = Recovery()
    play.register.install_snapshot(entry(1), packed_history(entry(1)), VIEW.number, lambda _: None)
    play.recovery.answer(ASKER, CopyStatusRequest(VIEW.number))
    assert play.sent() == []
    play = Recovery()
    play.outbox.store([ProbeRecord()], lambda _: None)
    play.outbox.now += DISK_STALL_TIMEOUT_S * 2
    play.recovery.answer(ASKER, CopyStatusRequest(VIEW.number))
    assert play.sent() == []
