"""One replica of the tallies, step by step: acknowledgements, rejections, pulls and transfers."""

from __future__ import annotations

import pytest

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.tallies import replica as replica_module
from reedspoke.control_plane.tallies.counts import START
from reedspoke.control_plane.tallies.messages import (
    TallyAdd,
    TallyCursor,
    TallyDigest,
    TallyEntries,
    TallyItems,
    TallyPull,
    TallyStateChunk,
    TallyStateRequest,
)
from reedspoke.control_plane.tallies.packed_items import pack_amounts, pack_ids
from reedspoke.control_plane.tallies.records import entries_record
from reedspoke.control_plane.tallies.settings import (
    CALL_TIMEOUT_S,
    CONTACT_TIMEOUT_S,
    DISK_PROBE_S,
    DISK_STALL_S,
    EMPTY_FOLDER_WAIT_S,
    FRESH_ROUND_TRIP_S,
    PULL_TIMEOUT_S,
    max_ids,
)
from tests.control_plane.tallies.replica_steps import OWN, PEERS, Steps

WAITING = "waiting"


@pytest.fixture
def steps() -> Steps:
    """A replica in contact with all its peers."""
    made = Steps()
    made.in_contact(*PEERS)
    return made


def answer(steps: Steps, call: int) -> object:
    """The outcome of a call: None for an acknowledgement."""
    return steps.answers.get(call, WAITING)


# ---- when an add is acknowledged ----


def test_an_add_is_acknowledged_once_it_is_on_three_disks(steps: Steps) -> None:
    call = steps.add(1, 4)
    assert not steps.sent_to("p1", TallyEntries)  # not sent before it is synced here
    steps.stored()
    assert steps.sent_to("p1", TallyEntries) == [TallyEntries(OWN, 1, (TallyAdd("t", 1, 4),))]
    assert answer(steps, call) == WAITING
    steps.digest("p1", {OWN: 1})
    assert answer(steps, call) == WAITING
    steps.digest("p1", {OWN: 1})  # the same disk again
    assert answer(steps, call) == WAITING
    steps.digest("p2", {OWN: 1})
    assert answer(steps, call) is None
    assert steps.replica.total("t", steps.now) == 4


def test_adds_that_arrive_during_a_sync_share_the_next_one(steps: Steps) -> None:
    steps.add(1)
    steps.add(2)
    steps.add(3)
    assert len(steps.stores) == 1
    steps.stored()
    assert len(steps.stores) == 2
    steps.stored()
    assert steps.sent_to("p1", TallyEntries)[-1] == TallyEntries(
        OWN, 2, (TallyAdd("t", 2, 1), TallyAdd("t", 3, 1))
    )


def test_a_repeated_id_waits_for_the_same_disks_as_the_first_add(steps: Steps) -> None:
    first = steps.add(1, 4)
    repeated = steps.add(1, 4)
    steps.stored()
    later = steps.add(1, 4)
    assert [answer(steps, call) for call in (first, repeated, later)] == [WAITING] * 3
    steps.in_contact("p1", "p2", vector={OWN: 1})
    assert [answer(steps, call) for call in (first, repeated, later)] == [None] * 3
    assert steps.replica.total("t", steps.now) == 4
    assert len(steps.stores) == 1


def test_an_id_that_a_peer_has_counted_is_not_counted_again(steps: Steps) -> None:
    steps.receive("p1", TallyEntries("f-p1", 1, (TallyAdd("t", 1, 4),)))
    steps.stored()
    call = steps.add(1, 4)
    assert answer(steps, call) == WAITING
    steps.in_contact("p1", "p2", vector={"f-p1": 1})
    assert answer(steps, call) is None
    assert steps.replica.total("t", steps.now) == 4


def test_the_smaller_side_of_a_partition_acknowledges_with_fewer_disks(steps: Steps) -> None:
    steps.add(1)
    steps.stored()
    call = steps.add(2)
    steps.stored()
    steps.digest("p1", {OWN: 2})
    for _ in range(int(CONTACT_TIMEOUT_S / 0.2) + 1):
        assert answer(steps, call) == WAITING
        steps.tick(0.2)
        steps.digest("p1", {OWN: 2})
    assert answer(steps, call) is None


def test_adds_do_not_wait_for_a_peer_that_sends_digests_without_echoes(steps: Steps) -> None:
    call = steps.add(1)
    steps.stored()
    for _ in range(int(CONTACT_TIMEOUT_S / 0.2) + 2):
        steps.tick(0.2)
        for peer in PEERS:
            steps.digest(peer, {}, echoes=False)
    assert answer(steps, call) is None


def test_adds_wait_for_a_peer_with_a_failed_disk_except_during_a_partition(steps: Steps) -> None:
    call = steps.add(1)
    steps.stored()
    for _ in range(int(CONTACT_TIMEOUT_S / 0.2) + 2):
        steps.tick(0.2)
        for peer in PEERS:
            steps.digest(peer, {}, writable=False)
    assert answer(steps, call) == WAITING
    later = steps.add(2)
    steps.stored()
    for _ in range(int(CONTACT_TIMEOUT_S / 0.2) + 2):
        steps.tick(0.2)
        for peer in PEERS[1:]:
            steps.digest(peer, {}, writable=False)
    assert answer(steps, later) is None


def test_adds_wait_for_peers_after_a_pause_of_the_process(steps: Steps) -> None:
    call = steps.add(1)
    steps.now += 60.0
    steps.stored()  # before the first tick
    assert answer(steps, call) == WAITING
    steps.tick()
    assert answer(steps, call) == WAITING


def test_digests_are_not_answered_by_digests(steps: Steps) -> None:
    steps.tick(FRESH_ROUND_TRIP_S + 0.1)  # no recent round trip
    before = len(steps.sent)
    for _ in range(50):
        steps.digest("p1", {}, echoes=False)
    assert len(steps.sent) == before


def test_a_late_echo_dates_the_round_trip_to_the_echoed_digest(steps: Steps) -> None:
    late = steps.last_digest("p1").sequence
    steps.tick(0.9)  # many digests later
    steps.receive("p1", TallyDigest("f-p1", 1, 10**12, 7, late, True, True, {}))
    assert steps.replica._contacts.peer("p1").last_round_trip_at == pytest.approx(steps.now - 0.9, abs=0.01)


def test_copies_on_a_lost_disk_do_not_count(steps: Steps) -> None:
    call = steps.add(1)
    steps.stored()
    steps.digest("p1", {OWN: 1})
    steps.digest("p1", {}, incarnation=2)
    steps.digest("p2", {OWN: 1})
    assert answer(steps, call) == WAITING


def test_adds_wait_no_longer_than_callers(steps: Steps) -> None:
    call = steps.add(1)
    steps.stored()
    for _ in range(int(CALL_TIMEOUT_S / 0.2) + 1):
        steps.tick(0.2)
        steps.in_contact(*PEERS)
    assert steps.replica.metric_values(steps.now)["waiting_adds"] == 0
    assert answer(steps, call) == WAITING
    assert steps.replica.total("t", steps.now) == 1  # it is counted nevertheless


# ---- rejected adds and reads ----


def test_an_add_whose_store_failed_is_unclear_and_its_number_is_reused(steps: Steps) -> None:
    call = steps.add(1)
    waiting = steps.add(2)
    steps.stored(ErrorCode.STORAGE_FULL)
    assert answer(steps, call) is ErrorCode.TALLY_UNCLEAR
    assert answer(steps, waiting) is ErrorCode.TALLY_UNCLEAR
    assert steps.replica.total("t", steps.now) == 0
    assert answer(steps, steps.add(3)) is ErrorCode.STORAGE_FAILED
    steps.tick(DISK_PROBE_S + 0.1)
    steps.stored()
    steps.add(4)
    steps.stored()
    assert steps.sent_to("p1", TallyEntries) == [TallyEntries(OWN, 1, (TallyAdd("t", 4, 1),))]


def test_adds_and_reads_are_rejected_while_the_disk_stalls(steps: Steps) -> None:
    steps.add(1)
    steps.tick(DISK_STALL_S + 0.1)
    assert answer(steps, steps.add(2)) is ErrorCode.STORAGE_FAILED
    assert not steps.last_digest("p1").writable
    with pytest.raises(FleetError) as raised:
        steps.replica.total("t", steps.now)
    assert raised.value.code is ErrorCode.TALLIES_BEHIND


def test_adds_beyond_the_limit_of_ids_are_rejected() -> None:
    steps = Steps(max_ids=2)
    steps.in_contact(*PEERS)
    steps.add(1)
    steps.add(2)
    steps.stored()
    steps.stored()
    assert answer(steps, steps.add(3)) is ErrorCode.TALLIES_FULL
    steps.in_contact("p1", "p2", vector={OWN: 2})
    assert answer(steps, steps.add(1)) is None  # a known id


def test_adds_beyond_the_limit_of_tallies_are_rejected(steps: Steps, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(replica_module, "MAX_TALLIES", 1)
    steps.add(1)
    steps.stored()
    assert answer(steps, steps.add(2, tally="u")) is ErrorCode.TALLIES_FULL
    assert answer(steps, steps.add(2)) == WAITING


def test_the_limit_of_ids_depends_on_memory_and_disk() -> None:
    assert max_ids(256, 128) < max_ids(256, 1024) == max_ids(256, 0)
    assert max_ids(256, 128) > 1_000_000
    assert max_ids(0, 0) > 0


# ---- reads after a start ----


def test_reads_and_adds_wait_until_the_node_has_caught_up() -> None:
    steps = Steps()
    assert answer(steps, steps.add(1)) is ErrorCode.TALLIES_BEHIND
    steps.in_contact("p1", "p2", "p3")
    with pytest.raises(FleetError):
        steps.replica.total("t", steps.now)
    steps.digest("p4", {"f-p4": 1})  # has an add that this node lacks
    with pytest.raises(FleetError):
        steps.replica.total("t", steps.now)
    steps.receive("p4", TallyEntries("f-p4", 1, (TallyAdd("t", 1, 4),)))
    steps.stored()
    steps.tick()
    assert steps.replica.total("t", steps.now) == 4


def test_a_node_without_reachable_peers_answers_reads_after_the_contact_timeout() -> None:
    steps = Steps(records=(entries_record(TallyEntries(OWN, 1, (TallyAdd("t", 1, 4),))),))
    steps.tick(CONTACT_TIMEOUT_S - 0.2)
    with pytest.raises(FleetError):
        steps.replica.total("t", steps.now)
    steps.tick(0.3)
    assert steps.replica.total("t", steps.now) == 4


def test_a_node_with_an_empty_folder_waits_longer_for_a_peer() -> None:
    steps = Steps(created=True)
    steps.tick(CONTACT_TIMEOUT_S + 0.3)
    with pytest.raises(FleetError):
        steps.replica.total("t", steps.now)
    steps.tick(EMPTY_FOLDER_WAIT_S)
    assert steps.replica.total("t", steps.now) == 0


# ---- exchange of entries ----


def test_adds_that_a_digest_shows_to_be_missing_are_pulled(steps: Steps) -> None:
    steps.digest("p1", {"f-p1": 2})
    assert not steps.sent_to("p1", TallyPull)  # the adds are usually already in flight
    steps.tick(0.2)
    assert steps.sent_to("p1", TallyPull) == [TallyPull({})]
    steps.tick(0.2)
    assert len(steps.sent_to("p1", TallyPull)) == 1


def test_a_pull_without_an_answer_goes_to_another_peer(steps: Steps) -> None:
    for peer in ("p1", "p2"):
        steps.digest(peer, {"f-p1": 2})
    for _ in range(6):
        steps.tick(0.2)
        for peer in ("p1", "p2"):
            steps.digest(peer, {"f-p1": 2})
    assert steps.sent_to("p1", TallyPull)
    assert steps.sent_to("p2", TallyPull)


def test_a_gap_is_pulled_immediately(steps: Steps) -> None:
    steps.receive("p1", TallyEntries("f-p1", 3, (TallyAdd("t", 3, 1),)))
    assert steps.sent_to("p1", TallyPull) == [TallyPull({})]
    assert not steps.stores


def test_a_pull_is_answered_with_the_missing_entries(steps: Steps) -> None:
    for number in (1, 2, 3):
        steps.add(number)
        steps.stored()
    steps.sent.clear()
    steps.receive("p1", TallyPull({OWN: 1}))
    assert steps.sent_to("p1", TallyEntries) == [
        TallyEntries(OWN, 2, (TallyAdd("t", 2, 1), TallyAdd("t", 3, 1)))
    ]


def test_entries_that_all_peers_have_are_dropped_and_the_state_is_sent_instead(steps: Steps) -> None:
    steps.add(1, 4)
    steps.stored()
    steps.in_contact(*PEERS, vector={OWN: 1})
    steps.tick(0.3)
    assert steps.replica.metric_values(steps.now)["entries_retained"] == 0
    steps.receive("p1", TallyPull({}))
    (chunk,) = steps.sent_to("p1", TallyStateChunk)
    assert chunk == TallyStateChunk(
        7, START, None, {OWN: 1}, (TallyItems("t", pack_ids([1]), pack_amounts([4])),)
    )


def test_entries_are_retained_while_one_peer_lacks_them(steps: Steps) -> None:
    steps.add(1)
    steps.stored()
    steps.in_contact("p1", "p2", "p3", vector={OWN: 1})
    steps.tick(0.3)
    assert steps.replica.metric_values(steps.now)["entries_retained"] == 1


# ---- the whole state ----

NEXT = TallyCursor("t", 1)


def chunk(
    after: TallyCursor, ids: list[int], to: TallyCursor | None, number: int, incarnation: int = 1
) -> TallyStateChunk:
    """A chunk of p1's state, as of its add `number`."""
    items = TallyItems("t", pack_ids(ids), pack_amounts([1] * len(ids)))
    return TallyStateChunk(incarnation, after, to, {"f-p1": number}, (items,))


def test_the_vector_of_the_first_chunk_is_adopted_with_the_last_chunk(steps: Steps) -> None:
    steps.receive("p1", chunk(START, [1], NEXT, 2))
    steps.stored()
    assert steps.sent_to("p1", TallyStateRequest) == [TallyStateRequest(NEXT)]
    assert steps.replica.total("t", steps.now) == 1
    steps.tick(0.3)
    assert steps.last_digest("p1").vector == {}
    steps.receive("p1", chunk(NEXT, [2], None, 9))
    steps.stored()
    steps.tick(0.3)
    assert steps.last_digest("p1").vector == {"f-p1": 2}
    assert steps.replica.total("t", steps.now) == 2


def test_pushed_entries_do_not_restart_a_transfer(steps: Steps) -> None:
    steps.digest("p1", {"f-p1": 9})
    steps.tick(0.2)
    steps.receive("p1", chunk(START, [1], NEXT, 2))
    steps.stored()
    for number in range(20, 24):
        steps.receive("p1", TallyEntries("f-p1", number, (TallyAdd("t", number, 1),)))
        steps.tick(0.1)
    assert len(steps.sent_to("p1", TallyPull)) == 1
    steps.receive("p1", chunk(START, [1], NEXT, 5))
    assert len(steps.stores) == 1
    steps.receive("p1", chunk(NEXT, [2], None, 9))
    steps.stored()
    assert steps.replica.total("t", steps.now) == 2


def test_a_stalled_transfer_is_restarted(steps: Steps) -> None:
    steps.receive("p1", chunk(START, [1], NEXT, 2))
    steps.stored()
    steps.tick(PULL_TIMEOUT_S + 0.1)
    steps.receive("p2", chunk(START, [1], None, 2))
    steps.stored()
    steps.tick(0.3)
    assert steps.last_digest("p1").vector == {"f-p1": 2}


def test_chunks_of_a_restarted_source_are_rejected(steps: Steps) -> None:
    steps.receive("p1", chunk(START, [1], NEXT, 2))
    steps.stored()
    steps.receive("p1", chunk(NEXT, [], None, 0, incarnation=2))
    assert len(steps.stores) == 1


def test_a_chunk_of_an_earlier_transfer_does_not_advance_a_later_one(steps: Steps) -> None:
    far = TallyCursor("t", 50)
    steps.receive("p1", chunk(START, [1, 50], far, 2))
    steps.tick(PULL_TIMEOUT_S + 0.1)
    steps.receive("p1", chunk(START, [1, 30], TallyCursor("t", 30), 3))  # id 30 was added since
    steps.stored()
    steps.stored()
    assert steps.sent_to("p1", TallyStateRequest) == [TallyStateRequest(TallyCursor("t", 30))]


def test_a_chunk_that_could_not_be_stored_ends_the_transfer(steps: Steps) -> None:
    steps.receive("p1", chunk(START, [1], NEXT, 2))
    steps.stored(ErrorCode.STORAGE_FULL)
    steps.receive("p1", chunk(NEXT, [2], None, 2))
    assert len(steps.stores) == 1


# ---- the log and the end of the process ----


def test_all_adds_are_present_after_a_restart(steps: Steps) -> None:
    steps.add(1, 4)
    steps.stored()
    steps.receive("p1", TallyEntries("f-p1", 1, (TallyAdd("u", 9, 5),)))
    steps.stored()
    restored = Steps(records=tuple(steps.records))
    restored.in_contact(*PEERS)
    assert (restored.replica.total("t", restored.now), restored.replica.total("u", restored.now)) == (4, 5)
    restored.add(2)
    restored.stored()
    assert restored.sent_to("p1", TallyEntries) == [TallyEntries(OWN, 2, (TallyAdd("t", 2, 1),))]


def test_a_long_log_is_rewritten(steps: Steps, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(replica_module, "MIN_REWRITE_BYTES", 300)
    for number in range(1, 20):
        steps.add(number)
        steps.stored()
    assert any(store.replace for store in steps.stores)
    restored = Steps(records=tuple(steps.records))
    restored.in_contact(*PEERS)
    assert restored.replica.total("t", restored.now) == 19


def test_is_replicated_only_after_all_peers_have_all_adds(steps: Steps) -> None:
    assert steps.replica.is_replicated(steps.now)
    steps.add(1)
    assert not steps.replica.is_replicated(steps.now)
    steps.stored()
    steps.in_contact("p1", "p2", "p3", vector={OWN: 1})
    assert not steps.replica.is_replicated(steps.now)
    steps.digest("p4", {OWN: 1})
    assert steps.replica.is_replicated(steps.now)


def test_a_late_digest_of_the_previous_process_is_ignored(steps: Steps) -> None:
    steps.digest("p1", {OWN: 5}, incarnation=2)
    late = TallyDigest("f-old", 1, 99, 7, 0, True, True, {OWN: 9})
    steps.receive("p1", late)
    assert steps.replica._contacts.peer("p1").vector == {OWN: 5}
