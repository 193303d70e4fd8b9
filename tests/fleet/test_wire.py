"""Messages between schedulers on the simulator's wire."""

from __future__ import annotations

import copy
from typing import Any

import pytest

from reedspoke.fleet.frames import Held, as_text, frames, held_in, holdings, mark, of_text, read
from tests.test_adapter import INFO, accept, batch, members, replies, run


def hello(who: str, *, me: int, talk: bool) -> list[dict[str, Any]]:
    info = copy.deepcopy(INFO)
    info["me"], info["ceilings"]["peer_messages"] = me, talk
    return [{"HELLO": {"who": who, "nonce64": 77 + me, "info": info}}, members(who)]


def bodies(actions: list[dict[str, Any]]) -> list[str]:
    told = [action["NOTIFY"] for action in actions if "NOTIFY" in action]
    assert all(one["recipient"] == -1 for one in told)
    return [one["body"] for one in told]


def worker(actions: list[dict[str, Any]]) -> str:
    return str(next(action["DISPATCH"]["worker"] for action in actions if "DISPATCH" in action))


@pytest.mark.parametrize("hash_seed", ["0", "1"])
def test_what_one_holds_keeps_another_away(hash_seed: str) -> None:
    """Guards short jobs against queues of others' making; the order of hashes decides nothing."""
    start = batch(1_000_000, *hello("scheduler/1", me=1, talk=True))

    def choice(body: str) -> str:
        note = [{"NOTE_FROM": {"who": "scheduler/1", "from": 0, "body": body}}]
        ask = batch(1_010_000, accept("scheduler/1", 8))
        return worker(replies(run([*start, *batch(1_005_000, *note), *ask], hash_seed))[-1])

    first = choice("no word")
    (body,) = frames(0, 5, 1, holdings([Held(mark(first), 1, 400_000.0)]))
    assert choice(as_text(body)) != first


@pytest.mark.parametrize("talk", [True, False])
def test_what_is_sent_is_told_in_one_word_where_messages_are_allowed(talk: bool) -> None:
    start = batch(1_000_000, *hello("scheduler/0", me=0, talk=talk))
    _, sent = replies(run([*start, *batch(1_000_000, accept("scheduler/0", 7, work=60_000))]))
    matters = [one for body in bodies(sent) for one in read(of_text(body)).matters]
    told = [held_in(one) for one in matters if isinstance(one, bytes)]
    assert told == ([[Held(mark(worker(sent)), 1, 60_000.0)]] if talk else [])


def test_a_killed_scheduler_s_successor_begins_with_nothing_heard() -> None:
    start = batch(1_000_000, *hello("scheduler/0", me=0, talk=True))
    again = batch(1_100_000, {"KILLED": {"who": "scheduler/0"}}, *hello("scheduler/0", me=0, talk=True))
    out = run([*start, *batch(1_000_000, accept("scheduler/0", 7)), *again, *batch(1_200_000)])
    assert out.returncode == 0
    assert bodies(replies(out)[2]) == []
