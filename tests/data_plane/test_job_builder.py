"""Building jobs from header fields with arbitrary content."""

from __future__ import annotations

import math

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from reedspoke.common.messages import WatchRequest, encode
from reedspoke.data_plane.authorization import Authorization
from reedspoke.data_plane.job_builder import (
    build_job,
    parse_prompt_parts,
    parse_token_count,
    repeat_of,
    request_timeout_s,
)
from reedspoke.data_plane.route_table import CompiledRoute, SplitTarget
from reedspoke.decision.messages import Job, PromptPart, Repeat
from tests.data_plane.test_headers import request

VALUES = st.binary(max_size=40).filter(lambda raw: not any(byte < 32 or byte == 127 for byte in raw))
TOKEN_LIKE = st.text(alphabet="0123456789:,. -+e\xb2\xb9\xbcinfa", max_size=30).map(
    lambda text: text.encode("latin-1")
)


def route(**changes: object) -> CompiledRoute:
    fields: dict[str, object] = {
        "name": "r1",
        "path_prefix": "/",
        "streaming": False,
        "repeatable": False,
        "resumable": False,
        "timeout_s": 3.0,
        "latency_target_s": 0.5,
        "priority": 1,
        "max_attempts": 2,
        "session_affinity": False,
        "split_targets": (SplitTarget("u1", 1.0),),
    }
    return CompiledRoute(**(fields | changes))  # type: ignore[arg-type]


def job_of(*fields: bytes) -> Job:
    return build_job(7, request(*fields), route(), "u1", Authorization(100.0))


def test_a_job_contains_the_fields_of_the_request() -> None:
    job = job_of(
        b"Reedspoke-Model-Name: m",
        b"Reedspoke-Token-Count: 1460,80",
        b"Reedspoke-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410, e4402b7d:250",
        b"Reedspoke-Deadline-Ms: 1200",
    )
    assert job.model == "m"
    assert (job.prompt_tokens, job.output_tokens) == (1460, 80)
    assert job.parts == (
        PromptPart("5c1e07a2", 800),
        PromptPart("91bd3f06", 410),
        PromptPart("e4402b7d", 250),
    )
    assert job.subject == "91bd3f06"
    assert job.deadline == pytest.approx(101.2)
    assert (job.latency_target_s, job.arrived, job.max_attempts) == (0.5, 100.0, 2)


def test_a_request_without_fields_gets_the_routes_timeout() -> None:
    job = job_of()
    assert job.deadline == 103.0
    assert (job.parts, job.prompt_tokens, job.output_tokens, job.model) == ((), 0, 0, "")


def test_the_parts_of_a_prompt_give_its_size_without_a_token_count() -> None:
    assert job_of(b"Reedspoke-Prompt-Prefix: a:10,b:5").prompt_tokens == 15


@pytest.mark.parametrize(
    ("value", "seconds"),
    [(b"1000", 1.0), (b"9000", 3.0), (b"0", 0.0), (b"-4", 0.0), (b"1.5", 0.0015), (b"soon", 3.0), (b"", 3.0)],
)
def test_the_shorter_of_the_clients_and_the_routes_timeout_applies(value: bytes, seconds: float) -> None:
    head = request(b"Reedspoke-Deadline-Ms: " + value)
    assert request_timeout_s(head, route()) == pytest.approx(seconds)


@pytest.mark.parametrize("value", [b"nan", b"inf", b"-inf", b"1e400", b"-nan"])
def test_a_deadline_that_is_no_finite_number_still_gives_one(value: bytes) -> None:
    seconds = request_timeout_s(request(b"Reedspoke-Deadline-Ms: " + value), route())
    assert math.isfinite(seconds)
    assert 0 <= seconds <= 3.0


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("", ()),
        ("a:1", (PromptPart("a", 1),)),
        ("a:1,b", (PromptPart("a", 1),)),
        ("a:1,:2", (PromptPart("a", 1),)),
        ("a:1,b:-2,c:3", (PromptPart("a", 1),)),
        ("a:1,b:x", (PromptPart("a", 1),)),
        ("a:\xb2", ()),
        ("a:1,b:\xb9", (PromptPart("a", 1),)),
        ("a:1:2", ()),
    ],
)
def test_the_first_malformed_part_ends_the_list(text: str, parts: tuple[PromptPart, ...]) -> None:
    assert parse_prompt_parts(text) == parts


@pytest.mark.parametrize(
    ("text", "counts"),
    [
        ("", (0, 0)),
        ("5", (5, 0)),
        ("5,", (5, 0)),
        (" 5 , 6 ", (5, 6)),
        ("x,6", (0, 6)),
        ("\xb2,\xb9", (0, 0)),
    ],
)
def test_malformed_token_counts_are_unknown(text: str, counts: tuple[int, int]) -> None:
    assert parse_token_count(text) == counts


@pytest.mark.parametrize("count", [b"9" * 30, b"9" * 5000])
def test_an_excessive_count_neither_raises_nor_breaks_the_heartbeat(count: bytes) -> None:
    for field in (b"Reedspoke-Token-Count: " + count + b"," + count, b"Reedspoke-Prompt-Prefix: a:" + count):
        job = job_of(field)
        held = {"i-1": (1, job.prompt_tokens + job.output_tokens)}
        assert encode(WatchRequest(1, "edge-1", "ab", "za", {}, held))


@settings(max_examples=150, deadline=None)
@given(
    parts=st.one_of(VALUES, TOKEN_LIKE),
    counts=st.one_of(VALUES, TOKEN_LIKE),
    deadline=st.one_of(VALUES, TOKEN_LIKE),
    model=VALUES,
)
@example(parts=b"a:\xb2", counts=b"", deadline=b"", model=b"")
@example(parts=b"", counts=b"\xb2,1", deadline=b"", model=b"")
def test_no_field_makes_it_raise(parts: bytes, counts: bytes, deadline: bytes, model: bytes) -> None:
    job = job_of(
        b"Reedspoke-Prompt-Prefix: " + parts,
        b"Reedspoke-Token-Count: " + counts,
        b"Reedspoke-Deadline-Ms: " + deadline,
        b"Reedspoke-Model-Name: " + model,
    )
    assert job.prompt_tokens >= 0
    assert job.output_tokens >= 0
    assert 100.0 <= job.deadline <= 103.0


@pytest.mark.parametrize(
    ("repeatable", "resumable", "repeat"),
    [
        (False, False, Repeat.NEVER),
        (True, False, Repeat.IDEMPOTENT),
        (True, True, Repeat.RESUMABLE),
    ],
)
def test_what_may_be_repeated(repeatable: bool, resumable: bool, repeat: Repeat) -> None:
    assert repeat_of(route(repeatable=repeatable, resumable=resumable)) is repeat
