"""Event streams cut into pieces at any byte."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.data_plane.event_stream import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLargeError,
    last_event_id,
)

STREAM = b"id: 1\ndata: a\n\nid: 2\nversions: 7\ndata: b\n\ndata: without id\n\nid: 3\ndata: c\n\n"


def split(pieces: list[bytes]) -> tuple[bytes, int, str, EventSplitter]:
    """The output for these pieces: bytes, number of events, the last id, and the splitter."""
    splitter = EventSplitter()
    data, count, last = b"", 0, ""
    for piece in pieces:
        events = splitter.feed(piece)
        if events is not None:
            data += events.data
            count += events.count
            last = events.last_id or last
    return data, count, last, splitter


@pytest.mark.parametrize("cut", range(len(STREAM) + 1))
def test_two_pieces_cut_anywhere_give_the_same_events(cut: int) -> None:
    data, count, last, splitter = split([STREAM[:cut], STREAM[cut:]])
    assert (data, count, last) == (STREAM, 4, "3")
    assert splitter.pending_bytes() == 0
    assert splitter.remainder() == b""


@pytest.mark.parametrize("length", range(len(STREAM) + 1))
def test_a_stream_cut_anywhere_gives_complete_events_only(length: int) -> None:
    data, count, last, splitter = split([STREAM[:length]])
    assert data == STREAM[: STREAM.rfind(b"\n\n", 0, length) + 2 if b"\n\n" in STREAM[:length] else 0]
    assert count == data.count(b"\n\n")
    assert last == last_event_id(data)
    assert data + splitter.remainder() == STREAM[:length]
    assert splitter.pending_bytes() == length - len(data)


def test_bytes_one_by_one_give_each_event_when_it_is_complete() -> None:
    splitter = EventSplitter()
    outputs = [events for byte in STREAM if (events := splitter.feed(bytes([byte]))) is not None]
    assert [events.last_id for events in outputs] == ["1", "2", "", "3"]
    assert [events.count for events in outputs] == [1, 1, 1, 1]
    assert b"".join(events.data for events in outputs) == STREAM


@settings(max_examples=100, deadline=None)
@given(st.lists(st.text(alphabet="ab :é", max_size=8), max_size=6), st.data())
def test_any_events_in_any_pieces_are_unchanged(texts: list[str], data: st.DataObject) -> None:
    complete = b"".join(
        b"id: %d\ndata: %b\n\n" % (number, text.encode()) for number, text in enumerate(texts, 1)
    )
    cuts = sorted(data.draw(st.lists(st.integers(0, len(complete)), max_size=5)))
    pieces = [complete[start:end] for start, end in zip([0, *cuts], [*cuts, len(complete)], strict=True)]
    out, count, last, splitter = split(pieces)
    assert (out, count, last) == (complete, len(texts), str(len(texts)) if texts else "")
    assert splitter.pending_bytes() == 0


def test_an_event_without_end_is_rejected() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"x" * MAX_EVENT_BYTES) is None
    with pytest.raises(EventTooLargeError):
        splitter.feed(b"x")


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        (b"", ""),
        (b"data: a\n\n", ""),
        (b"id: 5\ndata: a\n\n", "5"),
        (b"id:5\n\n", "5"),
        (b"data: a\nid: 6\n\n", "6"),
        (b"id: 5\n\nid: 6\n\n", "6"),
        (b"id: 5\n\ndata: a\n\n", "5"),
        (b"data: id: 9\n\n", ""),
        (b"identity: 9\n\n", ""),
        (b"id: 12", "12"),
        (b"data: a\n\nid: 12", "12"),
    ],
)
def test_the_last_id_is_found(events: bytes, expected: str) -> None:
    assert last_event_id(events) == expected
