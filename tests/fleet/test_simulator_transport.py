"""Load reports between schedulers on the simulator."""

from __future__ import annotations

import copy
from typing import Any

import pytest

from reedspoke.fleet.messages.fields import name_hash
from reedspoke.fleet.messages.frame import decode_frame, encode_frames, frame_from_text, frame_to_text
from reedspoke.fleet.messages.worker_load import WorkerLoad, decode_loads, encode_loads
from tests.test_adapter import INFO, accept, batch, members, replies, run


def hello(who: str, *, me: int, peer_messages_allowed: bool) -> list[dict[str, Any]]:
    info = copy.deepcopy(INFO)
    info["me"], info["ceilings"]["peer_messages"] = me, peer_messages_allowed
    return [{"HELLO": {"who": who, "nonce64": 77 + me, "info": info}}, members(who)]


def bodies(actions: list[dict[str, Any]]) -> list[str]:
    notes = [action["NOTIFY"] for action in actions if "NOTIFY" in action]
    assert all(one["recipient"] == -1 for one in notes)
    return [one["body"] for one in notes]


def worker(actions: list[dict[str, Any]]) -> str:
    return str(next(action["DISPATCH"]["worker"] for action in actions if "DISPATCH" in action))


@pytest.mark.parametrize("hash_seed", ["0", "1"])
def test_a_job_avoids_a_worker_that_another_scheduler_has_reserved(hash_seed: str) -> None:
    """Otherwise short jobs wait in queues of other schedulers. The order of hashes has no effect."""
    start = batch(1_000_000, *hello("scheduler/1", me=1, peer_messages_allowed=True))

    def choice(body: str) -> str:
        note = [{"NOTE_FROM": {"who": "scheduler/1", "from": 0, "body": body}}]
        ask = batch(1_010_000, accept("scheduler/1", 8))
        return worker(replies(run([*start, *batch(1_005_000, *note), *ask], hash_seed))[-1])

    first = choice("no word")
    (body,) = encode_frames(0, 5, 1, encode_loads([WorkerLoad(name_hash(first), 1, 400_000.0)]))
    assert choice(frame_to_text(body)) != first


@pytest.mark.parametrize("peer_messages_allowed", [True, False])
def test_an_attempt_is_reported_in_one_message_where_messages_are_allowed(
    peer_messages_allowed: bool,
) -> None:
    start = batch(1_000_000, *hello("scheduler/0", me=0, peer_messages_allowed=peer_messages_allowed))
    _, sent = replies(run([*start, *batch(1_000_000, accept("scheduler/0", 7, work=60_000))]))
    messages = [one for body in bodies(sent) for one in decode_frame(frame_from_text(body)).messages]
    reported = [decode_loads(one) for one in messages if isinstance(one, bytes)]
    assert reported == ([[WorkerLoad(name_hash(worker(sent)), 1, 60_000.0)]] if peer_messages_allowed else [])


def test_a_restarted_scheduler_reports_no_earlier_attempts() -> None:
    start = batch(1_000_000, *hello("scheduler/0", me=0, peer_messages_allowed=True))
    restart = batch(
        1_100_000, {"KILLED": {"who": "scheduler/0"}}, *hello("scheduler/0", me=0, peer_messages_allowed=True)
    )
    out = run([*start, *batch(1_000_000, accept("scheduler/0", 7)), *restart, *batch(1_200_000)])
    assert out.returncode == 0
    assert bodies(replies(out)[2]) == []
