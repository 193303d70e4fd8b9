"""JSON objects out of a stream, and the list of hosts in them, cut anywhere."""

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


def fed(data: bytes, cuts: list[int], most: int = 1 << 22) -> list[Any]:
    """What comes out: the objects, and None for each beat."""
    values, out = JsonObjectSplitter(most), list[Any]()
    for begin, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
        out += [
            raw if raw is None else json.loads(bytes(raw)) for raw in values.feed(memoryview(data)[begin:end])
        ]
    return out


def told(count: int, indent: int | None) -> bytes:
    targets = [{**TARGET, "uid": f"s-{number}"} for number in range(count)]
    return json.dumps({"rev": 7, "all": True, "targets": targets}, indent=indent).encode()


@pytest.mark.parametrize("indent", [None, 0, 1, 4])
@pytest.mark.parametrize("between", [b"\n", b"", b"\r\n", b"\n\n"], ids=["line", "none", "crlf", "beat"])
def test_objects_come_whole_however_they_are_written_and_cut(indent: int | None, between: bytes) -> None:
    """Guards drains against an indented list: read by lines it was malformed, for ever, and none was
    heeded."""
    texts = [told(2, indent), json.dumps(ODD, indent=indent).encode(), told(0, indent)]
    data = b"".join(text + between for text in texts)
    expected = [json.loads(text) for text in texts]
    for cut in range(len(data)):
        assert [value for value in fed(data, [cut]) if value is not None] == expected
    assert [value for value in fed(data, list(range(1, len(data)))) if value is not None] == expected


def test_a_large_list_comes_in_many_slices_with_beats_around_it() -> None:
    data = b"\n\n" + told(1000, 2) + b"\n" + told(1, None) + b"\n\r\n"
    lot = random.Random(3)
    cuts = sorted({lot.randrange(len(data)) for _ in range(150)})
    out = [value for value in fed(data, cuts) if value is not None]
    assert [len(value["targets"]) for value in out] == [1000, 1]
    assert fed(data, cuts)[0] is None, "a beat before it"


def test_a_beat_inside_a_value_is_none() -> None:
    out = fed(told(1, None)[:-1] + b"\n\n" + b"}", [])
    assert len(out) == 1
    assert out[0]["rev"] == 7


@pytest.mark.parametrize(
    "bad", [b"nonsense\n", b"17\n", b'"text"\n', b"[1]\n", b"}\n", told(1, 1) + b"\n,"], ids=repr
)
def test_what_is_no_object_ends_the_watch(bad: bytes) -> None:
    with pytest.raises(MalformedError, match="no JSON object"):
        fed(bad, [])


@pytest.mark.parametrize("bad", [b'{"rev": x}', b"{]", b'{"rev": 1 "all": true}'], ids=repr)
def test_an_object_that_is_malformed_is_told_as_before(bad: bytes) -> None:
    (raw,) = [raw for raw in JsonObjectSplitter(1000).feed(memoryview(bad + b"\n")) if raw is not None]
    with pytest.raises(ValueError, match="JSON"):
        parse_list(raw)


def test_what_never_ends_is_bounded() -> None:
    with pytest.raises(MalformedError, match="too long"):
        fed(b'{"rev": [[[[ ' * 100, list(range(10, 1000, 10)), 1000)
    with pytest.raises(MalformedError, match="too long"):
        fed(b'{"' + b"x" * (MAX_STRING_BYTES + 9), [10])


@pytest.mark.parametrize("indent", [None, 1, 4])
def test_a_bad_entry_is_skipped_in_an_indented_list(indent: int | None) -> None:
    raw = json.dumps({"rev": 1, "all": True, "targets": [{"uid": 7}, TARGET]}, indent=indent).encode()
    found = parse_list(raw, api.ListKind.STALE)  # as the list in the configuration
    assert [target.entry.worker for target in found.targets] == ["s-0"]
