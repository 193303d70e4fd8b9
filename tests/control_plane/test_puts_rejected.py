"""A rejected change is never accepted later, and a change that may become valid is not rejected."""

from __future__ import annotations

import pytest

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.events import MessageReceived
from reedspoke.control_plane.replication.log_records import EntryRecord, decode_record
from reedspoke.control_plane.replication.messages import PutReply, PutRequest
from tests.control_plane.competing_changes import REJECTED
from tests.control_plane.direct_core import DirectCore
from tests.control_plane.schedule import Faults, check_end, come_back
from tests.control_plane.simulation import Simulation

FORWARDER = "forwarder:1"
STALE = ErrorCode.CONFIGURATION_STALE_MATCH
OLD = ErrorCode.CONFIGURATION_OLD_GENERATION
UNCLEAR = ErrorCode.WRITE_UNCLEAR


def _core(seed: int = 61) -> Simulation:
    simulation = Simulation(seed)
    simulation.settle()
    simulation.run(1.0)
    assert simulation.put_and_wait("m2", 0, 1, b"first") is None
    return simulation


def _error(simulation: Simulation, call: int) -> ErrorCode | None:
    return simulation.judge.put_answers[call].error


@pytest.mark.parametrize("order", ["forward", "backward", "mixed"])
def test_eight_changes_that_build_on_each_other_are_all_accepted(order: str) -> None:
    simulation = _core()
    generations = list(range(2, 10))
    if order == "backward":
        generations.reverse()
    elif order == "mixed":
        simulation.random.shuffle(generations)
    calls = []
    for generation in generations:
        address = simulation.random.choice(list(simulation.machines))
        calls.append(simulation.put(address, generation - 1, generation, b"%d" % generation))
    simulation.run(0.8)
    assert [_error(simulation, call) for call in calls] == [None] * 8


def test_a_change_on_a_generation_that_never_comes_gets_an_unclear_answer_in_time() -> None:
    simulation = _core()
    call = simulation.put("m3", 5, 6, b"sixth")
    simulation.run(1.0)
    assert _error(simulation, call) is UNCLEAR


def test_a_pending_change_does_not_delay_others() -> None:
    simulation = _core()
    simulation.put("m1", 5, 6, b"sixth")
    simulation.run(0.05)
    assert simulation.put_and_wait("m1", 1, 2, b"second") is None


@pytest.mark.parametrize("restart", [False, True])
def test_a_late_duplicate_of_an_early_change_contradicts_no_answer(restart: bool) -> None:
    """The late duplicate may be accepted, as the first request was not rejected."""
    core = DirectCore()
    assert core.put("m2", 0, 1, b"first") is None
    first_answer = core.put("m2", 2, 3, b"third")
    assert first_answer is UNCLEAR
    assert core.put("m2", 1, 2, b"second") is None
    if restart:
        core.restart()
    view = core.replicas[core.head()].view
    assert view is not None
    core.inject(core.head(), MessageReceived("m3", PutRequest(view.number, f"{FORWARDER}:1", 2, 3, b"third")))
    assert core.put("m3", 2, 3, b"third") is None


def test_no_duplicate_of_a_rejected_change_is_accepted_later() -> None:
    core = DirectCore()
    assert core.put("m2", 0, 10, b"tenth") is None
    rejected = {
        (0, 11, b"on nothing"): STALE,
        (9, 11, b"on what never was"): STALE,
        (10, 10, b"same number"): OLD,
        (10, 4, b"lower number"): OLD,
        (20, 15, b"below what it builds on"): OLD,
    }
    for (match, generation, document), error in rejected.items():
        assert core.put("m3", match, generation, document) is error
    for generation in range(11, 31):
        assert core.put("m1", generation - 1, generation, b"%d" % generation) is None
        for match, other, document in rejected:
            assert core.put("m3", match, other, document) in REJECTED
        if generation % 5 == 0:
            core.restart()
    stored = {record.entry.document for record in _stored_entries(core)}
    assert not stored & {document for _, _, document in rejected}


def _stored_entries(core: DirectCore) -> list[EntryRecord]:
    records = [decode_record(payload) for _, payload in core.stored]
    return [record for record in records if isinstance(record, EntryRecord)]


def test_the_same_document_with_another_match() -> None:
    """After a rejection it may be submitted with the newest match; it is then in the history."""
    core = DirectCore()
    assert core.put("m1", 0, 5, b"fifth") is None
    assert core.put("m2", 3, 7, b"seventh") is STALE
    assert core.put("m2", 5, 7, b"seventh") is None
    assert core.put("m3", 3, 7, b"seventh") is None
    assert core.put("m1", 7, 9, b"ninth") is None
    assert core.put("m3", 5, 7, b"seventh") is None
    assert core.put("m3", 9, 7, b"seventh") is None


def test_a_resubmitted_change_is_acknowledged_after_a_later_one() -> None:
    simulation = _core()
    assert simulation.put_and_wait("m1", 1, 2, b"second") is None
    assert simulation.put_and_wait("m3", 2, 4, b"fourth") is None
    simulation.kill(simulation.chain()[0], restart_after=None)
    simulation.run(2.0)
    for address in simulation.chain():
        assert simulation.put_and_wait(address, 1, 2, b"second") is None
        assert simulation.put_and_wait(address, 1, 2, b"a competing change") is STALE


def test_a_restarted_head_may_accept_a_duplicate_of_an_expired_change() -> None:
    """The first answer must not be a rejection, as the head does not know it after its restart."""
    core = DirectCore()
    head = core.head()
    assert core.put("m2", 0, 1, b"first") is None
    view = core.replicas[head].view
    assert view is not None
    request = PutRequest(view.number, f"{FORWARDER}:1", 2, 3, b"third")
    core.sent.clear()
    core.inject(head, MessageReceived("m9", request))
    core.run(1.0)
    (reply,) = _replies(core)
    core.start(head)
    core.run(0.5)
    assert core.put(head, 1, 2, b"second") is None
    core.inject(head, MessageReceived("m9", request))
    assert reply.error == UNCLEAR
    committed = core.replicas[head].committed
    assert committed is not None
    assert committed.document == b"third"


def test_a_duplicate_gets_the_same_answer_though_its_reply_is_not_cached_any_more() -> None:
    """There are more requests than cached replies; each duplicate still gets the same answer."""
    core = DirectCore()
    assert core.put("m2", 0, 1, b"first") is None
    head = core.head()
    view = core.replicas[head].view
    assert view is not None
    requests = [PutRequest(view.number, f"{FORWARDER}:{n}", n, n + 1, b"%d" % (n + 1)) for n in range(1, 701)]
    requests += [
        PutRequest(view.number, f"{FORWARDER}:{n + 700}", n, n + 1, b"competing") for n in range(1, 701)
    ]
    first = _answers_to(core, head, requests)
    again = _answers_to(core, head, requests)
    assert first == again
    assert list(first.values()).count(0) == 700
    assert list(first.values()).count(STALE) == 700


def _answers_to(core: DirectCore, head: str, requests: list[PutRequest]) -> dict[str, int]:
    core.sent.clear()
    for request in requests:
        core.inject(head, MessageReceived("m9", request))
    return {reply.request_id: reply.error for reply in _replies(core)}


def _replies(core: DirectCore) -> list[PutReply]:
    replies = [effect.message for effect in core.sent if effect.address == "m9"]
    return [reply for reply in replies if isinstance(reply, PutReply)]


@pytest.mark.parametrize("seed", range(6000, 6030))
def test_changes_that_build_on_each_other_in_any_order_despite_faults(seed: int) -> None:
    simulation = _core(seed)
    faults = Faults(simulation, tolerated=1)
    pending = [
        (match, match + 1, b"on %d, operator %d" % (match, n)) for match in range(1, 9) for n in (1, 2)
    ]
    for _ in range(12):
        for match, generation, document in simulation.random.sample(pending, 5):
            simulation.put(simulation.random.choice(list(simulation.machines)), match, generation, document)
        if simulation.random.random() < 0.5:
            faults.act()
        simulation.run(simulation.random.uniform(0.0, 0.6))
    come_back(simulation)
    check_end(simulation)
