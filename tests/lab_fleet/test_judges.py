"""What judges a run is judged first: the verification of answers, the ledger, the tally, the workload."""

from __future__ import annotations

import pytest
from msgspec import structs

from reedspoke.common.configuration_parsing import parse_configuration
from reedspoke.lab.fleet_emulator import http_messages as http
from reedspoke.lab.fleet_emulator.answer_check import (
    EventReader,
    MixedAnswerError,
    StreamState,
    check_body,
    check_head,
    follow_event,
)
from reedspoke.lab.fleet_emulator.answers import event_count, make_body, make_event, make_seal
from reedspoke.lab.fleet_emulator.client import may_retry, retry_wait
from reedspoke.lab.fleet_emulator.exchange import RequestState, TryResult
from reedspoke.lab.fleet_emulator.faults import AnswerFault, FaultShares, FaultSource
from reedspoke.lab.fleet_emulator.http_messages import AnswerHead
from reedspoke.lab.fleet_emulator.layout import configuration, encode_configuration, request_kinds
from reedspoke.lab.fleet_emulator.ledger import Ledger, Run, SentRequest
from reedspoke.lab.fleet_emulator.model_worker import parse_job
from reedspoke.lab.fleet_emulator.tally import percentile
from reedspoke.lab.fleet_emulator.workload import PlannedRequest, Workload

ATTEMPT = "9c41d07be2a35f68"
RUN = "i1w0-1"
CHAT, REVIEW, LOOKUP, BOOKING = request_kinds(10.0)


def head(**fields: str) -> AnswerHead:
    texts = {
        "reedspoke-attempt-id": ATTEMPT,
        **{name.replace("_", "-"): text for name, text in fields.items()},
    }
    return AnswerHead(200, texts, True)


# ---- answers ----


def test_a_body_fits_its_seal() -> None:
    body = make_body(ATTEMPT, RUN, 300)
    sealed = head(reedspoke_response_seal=make_seal(RUN, body))
    assert check_head(sealed, ATTEMPT) == RUN
    check_body(sealed, ATTEMPT, body)


@pytest.mark.parametrize("change", [lambda body: body[:-1], lambda body: body[:-1] + b"X", lambda body: b""])
def test_another_body_is_found(change: object) -> None:
    assert callable(change)
    body = make_body(ATTEMPT, RUN, 300)
    with pytest.raises(MixedAnswerError):
        check_body(head(reedspoke_response_seal=make_seal(RUN, body)), ATTEMPT, change(body))


def test_the_whole_answer_to_another_request_is_found() -> None:
    body = make_body("another", RUN, 300)
    with pytest.raises(MixedAnswerError, match="another request"):
        check_body(head(reedspoke_response_seal=make_seal(RUN, body)), ATTEMPT, body)


def test_a_head_without_seal_or_with_another_id_is_found() -> None:
    with pytest.raises(MixedAnswerError, match="without a seal"):
        check_head(head(), ATTEMPT)
    with pytest.raises(MixedAnswerError, match="given to"):
        check_head(head(reedspoke_response_seal="x.0.0"), "other")


def stream(attempt: str = ATTEMPT) -> StreamState:
    return StreamState(attempts={attempt})


def test_events_are_read_however_they_are_cut() -> None:
    events = [make_event(number, RUN, 3, ATTEMPT) for number in (1, 2, 3)]
    data = b"".join(event.render() for event in events)
    for size in (1, 7, len(data)):
        reader, read = EventReader(), []
        for at in range(0, len(data), size):
            read += reader.feed(data[at : at + size])
        assert read == events
        assert not reader.pending


def test_a_stream_in_order_is_complete_at_its_last_event() -> None:
    state = stream()
    for number in (1, 2, 3):
        assert not state.complete
        follow_event(state, make_event(number, RUN, 3, ATTEMPT), False, 0.0)
    assert state.complete


@pytest.mark.parametrize("number", [1, 3])
def test_a_doubled_or_missing_event_is_found(number: int) -> None:
    state = stream()
    follow_event(state, make_event(1, RUN, 3, ATTEMPT), True, 0.0)
    with pytest.raises(MixedAnswerError, match=f"event {number} after 1"):
        follow_event(state, make_event(number, RUN, 3, ATTEMPT), True, 0.0)


def test_events_of_two_runs_are_joined_only_where_a_stream_may_be_resumed() -> None:
    resumed, strict = stream(), stream()
    for state in (resumed, strict):
        follow_event(state, make_event(1, RUN, 3, ATTEMPT), True, 0.0)
    follow_event(resumed, make_event(2, "i1w1-1", 3, ATTEMPT), True, 0.0)
    with pytest.raises(MixedAnswerError, match="joined"):
        follow_event(strict, make_event(2, "i1w1-1", 3, ATTEMPT), False, 0.0)


def test_an_event_of_another_request_is_found() -> None:
    with pytest.raises(MixedAnswerError, match="another request"):
        follow_event(stream(), make_event(1, RUN, 3, "another"), True, 0.0)


def test_bytes_that_are_no_event_are_found() -> None:
    with pytest.raises(MixedAnswerError, match="malformed"):
        EventReader().feed(b"no event\n\n")


# ---- ledger ----


def ledger_with(repeatable: bool, *runs: Run) -> Ledger:
    ledger = Ledger()
    ledger.record_sent(SentRequest(ATTEMPT, frozenset(("pool",)), repeatable, 7))
    for run in runs:
        ledger.record_run(run)
    return ledger


RUN_ONE = Run(ATTEMPT, "pool", "i1", 7)


def test_one_run_is_sound() -> None:
    ledger = ledger_with(False, RUN_ONE)
    ledger.record_success(ATTEMPT, "seal")
    assert not ledger.findings().any()


def test_a_second_run_is_found_where_it_is_not_allowed() -> None:
    again = structs.replace(RUN_ONE, instance_id="i2")
    assert ledger_with(False, RUN_ONE, again).findings().doubled == [ATTEMPT]
    assert not ledger_with(True, RUN_ONE, again).findings().any()


def test_other_broken_rules_are_found() -> None:
    assert ledger_with(True, structs.replace(RUN_ONE, attempt_id="x")).findings().unasked == ["x"]
    assert ledger_with(True, structs.replace(RUN_ONE, digest=8)).findings().changed == [ATTEMPT]
    assert ledger_with(True, structs.replace(RUN_ONE, upstream="y")).findings().misrouted == [ATTEMPT]


def test_a_broken_promise_is_found() -> None:
    ledger = ledger_with(False, RUN_ONE)
    ledger.record_promise(ATTEMPT)
    assert ledger.findings().refused_but_ran == [ATTEMPT]


def test_a_success_without_a_run_is_found() -> None:
    ledger = ledger_with(True)
    ledger.record_success(ATTEMPT, "seal")
    assert ledger.findings().invented == [ATTEMPT]


def test_repeats_are_arrivals_beyond_the_first() -> None:
    ledger = ledger_with(True)
    for attempt in (ATTEMPT, ATTEMPT, "y"):
        ledger.record_arrival(attempt, "pool")
    assert ledger.repeats() == 1


# ---- clients ----


@pytest.mark.parametrize(
    ("kind", "result", "again"),
    [
        (LOOKUP, TryResult(cause="closed"), True),
        (BOOKING, TryResult(cause="closed"), False),
        (BOOKING, TryResult(AnswerHead(503, {}, True)), True),
        (BOOKING, TryResult(AnswerHead(502, {}, True)), False),
        (BOOKING, TryResult(nothing_sent=True), True),
        (LOOKUP, TryResult(AnswerHead(404, {}, True)), False),
        (LOOKUP, TryResult(AnswerHead(200, {}, True)), False),
        (CHAT, TryResult(cause="closed"), True),
        (REVIEW, TryResult(cause="closed"), False),
    ],
)
def test_which_results_allow_another_try(kind: object, result: TryResult, again: bool) -> None:
    assert may_retry(PlannedRequest(kind, 0.0), result) is again  # type: ignore[arg-type]


def test_retry_after_is_obeyed_up_to_a_third_of_the_time_left() -> None:
    state = RequestState(PlannedRequest(LOOKUP, 0.0), 0.0, float("inf"))
    told = TryResult(AnswerHead(503, {"retry-after": "0.7"}, True))
    assert retry_wait(state, told) == 0.7
    state.deadline = 0.0
    assert retry_wait(state, told) < 0.001


def test_percentiles_are_the_nearest_rank() -> None:
    values = [float(value) for value in range(1, 101)]
    assert (percentile(values, 50), percentile(values, 95), percentile([], 50)) == (50.0, 95.0, 0.0)


# ---- workload, faults, configuration ----


def test_the_same_seed_gives_the_same_requests() -> None:
    runs = [list(Workload(request_kinds(50.0), seed).arrivals(4.0)) for seed in (1, 1, 2)]
    assert runs[0] == runs[1] != runs[2]
    assert 120 < len(runs[0]) < 280
    times = [planned.at_s for planned in runs[0]]
    assert times == sorted(times)


def test_sessions_share_the_first_part_of_their_prompts() -> None:
    planned = [request for request in Workload((CHAT,), 1).arrivals(60.0) if request.chain]
    first = {request.chain[0].part_id for request in planned}
    own = [request.chain[1].part_id for request in planned]
    assert CHAT.stream is not None
    assert len(first) == CHAT.stream.shared_parts
    assert len(set(own)) == len(own)


def test_faults_come_as_often_as_their_shares_say() -> None:
    source = FaultSource(FaultShares(garbled=0.1, surplus=0.2, lost=0.3), 1)
    drawn = [source.draw() for _ in range(4000)]
    shares = {fault: drawn.count(fault) / len(drawn) for fault in AnswerFault}
    assert shares[AnswerFault.GARBLED] == pytest.approx(0.1, abs=0.03)
    assert shares[AnswerFault.SURPLUS] == pytest.approx(0.2, abs=0.03)
    assert shares[AnswerFault.LOST] == pytest.approx(0.3, abs=0.03)


def test_the_first_configuration_is_valid() -> None:
    parsed = parse_configuration(encode_configuration(configuration(request_kinds(10.0))))
    assert set(parsed.routes) == {"route-chat", "route-review", "route-lookup", "route-booking"}


def test_a_job_out_of_a_request() -> None:
    fields = {
        "reedspoke-token-count": "1460,80",
        "reedspoke-prompt-prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
        "last-event-id": "12",
    }
    job = parse_job(http.Request("POST", "/", fields, b""), stride=4)
    assert job is not None
    assert (job.prompt_tokens, job.output_tokens, job.produced) == (1460, 80, 48)
    assert [part.tokens for part in job.chain] == [800, 410, 250]
    assert parse_job(http.Request("POST", "/", {}, b""), stride=4) is None


def test_a_stream_has_an_event_for_each_begun_stride() -> None:
    assert [event_count(tokens, 4) for tokens in (1, 4, 5)] == [1, 1, 2]
