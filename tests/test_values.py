"""JSON objects in a stream with arbitrary slices, and the list of hosts in them."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest

from reedspoke import interface as api
from reedspoke.net.directory import parse_list
from reedspoke.net.http import MalformedError
from reedspoke.net.values import MAX_STRING_BYTES, JsonObjectSplitter

TARGET = {"uid": "s-0", "endpoint": "127.0.0.1:80", "az": 'a{"]\\', "state": "Ready", "boot_ms": 0}
ODD = {"rev": 3, "all": False, "targets": [{**TARGET, "uid": '{[\\"}'}], "more": [[], {}, "é\n", None, 1e3]}


def split(data: bytes, cuts: list[int], max_bytes: int = 1 << 22) -> list[Any]:
    """The results: the objects, and None for each heartbeat."""
    values, out = JsonObjectSplitter(max_bytes), list[Any]()
    for begin, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
        out += [
            raw if raw is None else json.loads(bytes(raw)) for raw in values.feed(memoryview(data)[begin:end])
        ]
    return out


def host_list(count: int, indent: int | None) -> bytes:
    targets = [{**TARGET, "uid": f"s-{number}"} for number in range(count)]
    return json.dumps({"rev": 7, "all": True, "targets": targets}, indent=indent).encode()


@pytest.mark.parametrize("indent", [None, 0, 1, 4])
@pytest.mark.parametrize("between", [b"\n", b"", b"\r\n", b"\n\n"], ids=["line", "none", "crlf", "blank"])
def test_objects_are_complete_with_any_formatting_and_slices(indent: int | None, between: bytes) -> None:
    """Guards against indented lists: read line by line they were always malformed, so that draining hosts
    still received jobs."""
    texts = [host_list(2, indent), json.dumps(ODD, indent=indent).encode(), host_list(0, indent)]
    data = b"".join(text + between for text in texts)
    expected = [json.loads(text) for text in texts]
    for cut in range(len(data)):
        assert [value for value in split(data, [cut]) if value is not None] == expected
    assert [value for value in split(data, list(range(1, len(data)))) if value is not None] == expected


def test_a_large_list_in_many_slices_between_heartbeats() -> None:
    data = b"\n\n" + host_list(1000, 2) + b"\n" + host_list(1, None) + b"\n\r\n"
    rng = random.Random(3)
    cuts = sorted({rng.randrange(len(data)) for _ in range(150)})
    out = [value for value in split(data, cuts) if value is not None]
    assert [len(value["targets"]) for value in out] == [1000, 1]
    assert split(data, cuts)[0] is None, "a heartbeat before it"


def test_line_ends_inside_a_value_are_no_heartbeat() -> None:
    out = split(host_list(1, None)[:-1] + b"\n\n" + b"}", [])
    assert len(out) == 1
    assert out[0]["rev"] == 7


@pytest.mark.parametrize(
    "bad", [b"nonsense\n", b"17\n", b'"text"\n', b"[1]\n", b"}\n", host_list(1, 1) + b"\n,"], ids=repr
)
def test_anything_but_an_object_is_malformed(bad: bytes) -> None:
    with pytest.raises(MalformedError, match="no JSON object"):
        split(bad, [])


@pytest.mark.parametrize("bad", [b'{"rev": x}', b"{]", b'{"rev": 1 "all": true}'], ids=repr)
def test_a_malformed_object_is_an_error_of_the_decoder(bad: bytes) -> None:
    (raw,) = [raw for raw in JsonObjectSplitter(1000).feed(memoryview(bad + b"\n")) if raw is not None]
    with pytest.raises(ValueError, match="JSON"):
        parse_list(raw)


def test_incomplete_values_are_limited() -> None:
    with pytest.raises(MalformedError, match="too long"):
        split(b'{"rev": [[[[ ' * 100, list(range(10, 1000, 10)), 1000)
    with pytest.raises(MalformedError, match="too long"):
        split(b'{"' + b"x" * (MAX_STRING_BYTES + 9), [10])


@pytest.mark.parametrize("indent", [None, 1, 4])
def test_a_bad_entry_is_skipped_in_an_indented_list(indent: int | None) -> None:
    raw = json.dumps({"rev": 1, "all": True, "targets": [{"uid": 7}, TARGET]}, indent=indent).encode()
    found = parse_list(raw, api.ListKind.STALE)  # parsed like the list in the configuration
    assert [target.entry.worker for target in found.targets] == ["s-0"]
