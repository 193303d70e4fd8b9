"""The adapter: translation, isolation of schedulers, order of batches, and errors for malformed input."""

from __future__ import annotations

import copy
import json
import subprocess
import sys
from typing import Any

import pytest

INFO: dict[str, Any] = {
    "balancers": 2,
    "categories": [
        {
            "name": "read", "repeat": "pure", "group": "all", "hard_limit": 5_000_000, "aim": 200_000,
            "importance": 1.0, "late_share": 0.25, "window": 5_000_000, "streaming": False,
        },
        {
            "name": "order", "repeat": "token", "group": "cell", "hard_limit": 5_000_000, "aim": 200_000,
            "importance": 9.0, "late_share": 0.25, "window": 5_000_000, "streaming": False,
        },
    ],
    "ceilings": {
        "try_limit": 4, "cancelling": True, "probes": True, "parallel_tries": True,
        "connect_timeout": 200_000,
    },
    "discovery": "on_request",
    "family_info": {
        "class_kind": [-1, -1], "class_stretch": [2.0, 2.0], "tells_start": True, "progress": 1_000_000,
    },
    "flavors": ["big"],
    "me": 0,
    "report": {"how": "none", "names": []},
    "resolution": 4000,
    "safety": {
        "answer_slack": 16_000, "ask_within": 10_000_000, "cold_from": 0.2, "drain_grace": 500_000,
        "fall": 2_000_000, "tip_multiple": 3.0, "warm_up": 9_000_000,
    },
    "tenants": [{"name": "t", "portion": 1.0, "allowance_per_s": 5}],
    "worth_by": "work",
    "zone": "here",
    "something_new": {"is": "skipped"},
}  # fmt: skip


def members(who: str, kind: str = "warm_copy") -> dict[str, Any]:
    entries = [
        {"worker": f"w{i}", "az": "here", "sku": "big", "bay": 0, "condition": "IN", "power_hint": 1}
        for i in range(3)
    ]
    return {"ANNOUNCE": {"who": who, "rev": 1, "kind": kind, "members_list": entries}}


def hello(who: str, seed: int = 2**64 - 1) -> list[dict[str, Any]]:
    return [{"HELLO": {"who": who, "nonce64": seed, "info": INFO}}, members(who)]


def accept(who: str, handle: int, **more: Any) -> dict[str, Any]:
    fields = {"who": who, "handle": handle, "tier_class": "read", "work": 50_000, "valid_until": 6_000_000}
    return {"ACCEPT": {**fields, "needs": 1, "tenant": "t", **more}}


def batch(now: int, *events: dict[str, Any]) -> list[dict[str, Any]]:
    return [{"TURN": {"sim_time": now}}, *events, {"FLUSH": {}}]


def run(lines: list[Any], hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    text = "".join((line if isinstance(line, str) else json.dumps(line)) + "\n" for line in lines)
    return subprocess.run(
        [sys.executable, "-m", "reedspoke.adapter"],
        input=text, capture_output=True, text=True, timeout=60, check=False,
        env={"PYTHONHASHSEED": hash_seed},
    )  # fmt: skip


def replies(result: subprocess.CompletedProcess[str]) -> list[list[dict[str, Any]]]:
    """The actions of each reply to a batch."""
    out: list[list[dict[str, Any]]] = [[]]
    for line in result.stdout.splitlines():
        action = json.loads(line)
        if "READY" in action:
            out.append([])
        else:
            out[-1].append(action)
    assert out[-1] == [], "standard output ends with a complete reply"
    return out[:-1]


def test_a_request_is_dispatched_and_served() -> None:
    first = run(
        [
            *batch(1_000_000),
            *batch(1_000_000, *hello("scheduler/0")),
            *batch(1_000_000, accept("scheduler/0", 7)),
            *batch(1_050_000, {"ALARM": {"who": "scheduler/0", "key_back": "beat"}}),
        ]
    )
    assert first.returncode == 0
    assert first.stderr == ""
    empty, _, sent, timed = replies(first)
    assert empty == []
    assert {"STREAM_CHANGES": {"who": "scheduler/0", "want": True}} in timed
    dispatch = next(action["DISPATCH"] for action in sent if "DISPATCH" in action)
    assert dispatch["handle"] == 7
    assert dispatch["worker"] in {"w0", "w1", "w2"}


def test_every_event_is_accepted() -> None:
    who = "scheduler/0"
    named = {"who": who, "handle": 7, "copy": 0, "worker": "w0"}
    result = run(
        [
            *batch(1_000_000, *hello(who), accept(who, 7)),
            *batch(
                1_100_000,
                {"CHANGE": {**named, "what": 1}},
                {"CHANGE": {**named, "what": 2, "x": 0.5}},
                {"CHANGE": {**named, "what": 9}},
                {"ALARM": {"who": who, "key_back": "beat"}},
                {"CHECKED": {"who": who, "worker": "w0", "reason": "delivered", "cost_time": 5}},
                {"NOTE_FROM": {"who": who, "from": 1, "body": "hi"}},
                {"HEAD_RECEIVED": {**named, "cost_time": 5}},
                {"REPORT_BACK": {**named, "reason": "delivered", "cost_time": 9, "ended": True, "new": 1}},
                {"ABANDONED": {"who": who, "handle": 7}},
                {"SOMETHING_NEW": {"who": who}},
                members(who, "incr"),
                {"ANNOUNCE": {"who": who, "rev": 2, "kind": "lost"}},
                {"KILLED": {"who": who}},
            ),
            *batch(1_200_000, {"ALARM": {"who": who, "key_back": "beat"}}),
        ]
    )
    assert result.returncode == 0, result.stderr
    assert len(replies(result)) == 3
    assert replies(result)[2] == [], "nothing acts for an instance that was killed"


def script(whos: list[str]) -> list[Any]:
    lines: list[Any] = batch(1_000_000, *[event for i, who in enumerate(whos) for event in hello(who, 5 + i)])
    for turn in range(30):
        now = 1_000_000 + turn * 40_000
        events = [accept(who, turn * 100 + k, valid_until=now + 5_000_000) for who in whos for k in range(4)]
        alarms = [{"ALARM": {"who": who, "key_back": "beat"}} for who in whos]
        lines += batch(now, *events, *alarms)
    return lines


def test_instances_are_isolated_and_independent_of_hash_seeds() -> None:
    together = run(script(["scheduler/0", "scheduler/1"]), hash_seed="1")
    assert together.stdout == run(script(["scheduler/0", "scheduler/1"]), hash_seed="2").stdout
    alone = run([*script(["scheduler/0"])])
    own = [
        [a for a in reply if next(iter(a.values()))["who"] == "scheduler/0"] for reply in replies(together)
    ]
    assert own == replies(alone)


def without(path: list[Any]) -> dict[str, Any]:
    info = copy.deepcopy(INFO)
    place: Any = info
    for step in path[:-1]:
        place = place[step]
    del place[path[-1]]
    return {"HELLO": {"who": "scheduler/0", "nonce64": 1, "info": info}}


def with_value(path: list[Any], value: Any) -> dict[str, Any]:
    info = copy.deepcopy(INFO)
    place: Any = info
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = value
    return {"HELLO": {"who": "scheduler/0", "nonce64": 1, "info": info}}


@pytest.mark.parametrize(
    ("lines", "named"),
    [
        (["not json"], "line 1"),
        (["[1]"], "line 1"),
        (["{}"], "a message is an object with one key"),
        (['{"TURN":{"sim_time":1},"FLUSH":{}}'], "a message is an object with one key"),
        (['{"TURN":null}'], "line 1"),
        (['{"NEWS":3}'], "line 1"),
        ([{"FLUSH": {}}], "must begin with TURN"),
        ([{"TURN": {"sim_time": 1}}, {"TURN": {"sim_time": 2}}], "before the FLUSH"),
        ([*batch(5), *batch(4)], "`sim_time` went back"),
        ([{"TURN": {}}], "`sim_time`"),
        ([{"TURN": {"sim_time": "1"}}], "sim_time"),
        (batch(1, {"ACCEPT": {"who": "scheduler/0", "handle": 1, "tier_class": "read"}}), "`valid_until`"),
        (batch(1, {"ACCEPT": {**accept("scheduler/0", 1)["ACCEPT"], "work": "x"}}), "work"),
        (batch(1, without(["safety"])), "`safety`"),
        (batch(1, without(["categories", 0, "hard_limit"])), "`hard_limit`"),
        (batch(1, with_value(["discovery"], "sometimes")), "`discovery`"),
        (batch(1, with_value(["categories", 0, "repeat"], "often")), "`repeat`"),
        (batch(1, with_value(["categories"], [])), "`classes`"),
        (batch(1, *hello("scheduler/0"), accept("scheduler/0", 1, tier_class="none")), "`tier_class`"),
    ],
)
def test_malformed_input_ends_with_one_plain_message(lines: list[Any], named: str) -> None:
    result = run(lines)
    assert result.returncode == 1
    assert named in result.stderr
    assert len(result.stderr.splitlines()) == 1
    replies(result)


@pytest.mark.parametrize(
    "path", [["tenants"], ["flavors"], ["report"], ["worth_by"], ["family_info"], ["safety", "ask_within"]]
)
def test_optional_fields_may_be_absent(path: list[Any]) -> None:
    result = run([*batch(1, without(path), members("scheduler/0")), *batch(2, accept("scheduler/0", 1))])
    assert result.returncode == 0, result.stderr
    assert any("DISPATCH" in action for action in replies(result)[1])
