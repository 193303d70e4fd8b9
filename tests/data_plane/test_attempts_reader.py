"""The answer reader with generated sequences cut anywhere: an answer goes to its request or to none."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import Struct, field

from reedspoke.data_plane.answer_reader import (
    AnswerEnd,
    AnswerHead,
    AnswerReader,
    Effect,
    Reason,
    State,
    Unusable,
)
from tests.data_plane.wire import chunked

EXAMPLES = 120
GARBAGE = (b"\x00\xff", b"nonsense\r\n", b"HTTP/1.1 9x\r\n", b"\r\n", b"HTTP/2 200\r\n\r\n")
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
CODINGS = ("length", "chunks", "none")


class SeenByRequest(Struct):
    """What the reader returned for one request."""

    status: int = 0
    body: bytes = b""
    complete: bool = False
    framed: bool = True
    failed: Reason | None = None


class Observer(Struct):
    """Feeds a reader and collects its effects per request."""

    reader: AnswerReader = field(default_factory=AnswerReader)
    requests: list[SeenByRequest] = field(default_factory=list)
    stray: list[Effect] = field(default_factory=list)  # Effects while no request is in flight.
    unusable: bool = False

    def expect(self, name: str, *, head_only: bool = False) -> None:
        assert not self.unusable
        self.reader.expect_answer(name, head_only=head_only)
        self.requests.append(SeenByRequest())

    @property
    def waiting(self) -> bool:
        return bool(self.requests) and not (self.requests[-1].complete or self.requests[-1].failed)

    def receive(self, data: bytes) -> None:
        while data and not self.unusable:
            room = self.reader.room()
            count = min(len(room), len(data))
            room[:count] = data[:count]
            for effect in self.reader.received(count):
                self.take(effect)
            data = data[count:]

    def end(self, *, orderly: bool) -> None:
        effect = self.reader.ended(orderly=orderly)
        if effect is not None:
            self.take(effect)
        self.unusable = True

    def take(self, effect: Effect) -> None:
        assert not self.unusable, "an effect after the end"
        if isinstance(effect, Unusable):
            self.unusable = True
        elif isinstance(effect, AnswerEnd):
            self.unusable = not effect.reusable
        if not self.waiting:
            self.stray.append(effect)
            return
        request = self.requests[-1]
        if isinstance(effect, AnswerHead):
            assert request.status == 0, "a second head"
            request.status = effect.head.status
        elif isinstance(effect, memoryview):
            assert request.status, "a body before its head"
            request.body += effect
        elif isinstance(effect, AnswerEnd):
            request.complete, request.framed = True, effect.framed
        else:
            request.failed = effect.reason


def answer(name: str, body: bytes, coding: str, status: int = 200) -> bytes:
    """A worker's answer with this attempt id; an empty one is omitted."""
    id_field = f"Reedspoke-Attempt-Id: {name}\r\n".encode() if name else b""
    head = b"HTTP/1.1 %d X\r\n%b" % (status, id_field)
    if coding == "length":
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    if coding == "chunks":
        middle = len(body) // 2
        pieces = [piece for piece in (body[:middle], body[middle:]) if piece]
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(*pieces)
    return head + b"\r\n" + body


def body_of(name: str) -> bytes:
    return f"to {name}; ".encode() * 3


class Turn(Struct, frozen=True):
    """One request on the connection and what the worker sends afterwards."""

    before: tuple[bytes, ...]  # Interim and late answers before the answer.
    coding: str
    status: int
    head_only: bool
    after: bytes  # Bytes directly after the answer.


def late(number: int) -> st.SearchStrategy[bytes]:
    """Answers to earlier requests of the connection, and to one of another connection."""
    names = [f"a{earlier}" for earlier in range(number)] + ["elsewhere"]
    late_answers = st.builds(
        lambda name, coding, status: answer(name, b"late to " + name.encode(), coding, status),
        st.sampled_from(names),
        st.sampled_from(("length", "chunks")),
        st.sampled_from((200, 421, 503)),
    )
    return st.one_of(late_answers, st.just(INTERIM))


def turn(number: int) -> st.SearchStrategy[Turn]:
    return st.builds(
        Turn,
        st.lists(late(number), max_size=2).map(tuple),
        st.sampled_from(("length", "chunks")),
        st.sampled_from((200, 200, 201, 404, 500, 503)),
        st.booleans() if number % 3 == 2 else st.just(False),
        st.sampled_from((b"", b"", b"", b"x", b"\r\n", answer("a0", b"again", "length"))),
    )


@st.composite
def conversations(draw: st.DrawFn) -> list[Turn]:
    return [draw(turn(number)) for number in range(draw(st.integers(1, 4)))]


def pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[start:end] for start, end in zip(edges, edges[1:], strict=False)]


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
@given(conversations(), st.lists(st.integers(0, 10_000), max_size=12))
def test_every_answer_goes_to_its_request_or_to_none(turns: list[Turn], cuts: list[int]) -> None:
    observer = Observer()
    for number, item in enumerate(turns):
        if observer.unusable:
            break
        name = f"a{number}"
        observer.expect(name, head_only=item.head_only)
        raw = answer(name, body_of(name), item.coding, item.status)
        if item.head_only:
            raw = raw[: raw.index(b"\r\n\r\n") + 4]
            item = Turn((), item.coding, item.status, True, item.after)
        for piece in pieces(b"".join(item.before) + raw + item.after, cuts):
            observer.receive(piece)
        seen = observer.requests[number]
        expected = b"" if item.head_only else body_of(name)
        assert (seen.status, seen.body, seen.complete) == (item.status, expected, True)
        foreign = any(earlier != INTERIM for earlier in item.before)
        if foreign or item.after:
            assert observer.unusable, "further bytes may belong to another request"
        else:
            assert not observer.unusable
    assert all(isinstance(effect, Unusable) for effect in observer.stray)


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
@given(
    st.sampled_from(CODINGS),
    st.integers(0, 400),
    st.sampled_from(("reset", "orderly")),
    st.lists(st.integers(0, 10_000), max_size=4),
)
def test_a_connection_that_ends_at_any_byte(coding: str, length: int, ending: str, cuts: list[int]) -> None:
    raw = answer("a0", body_of("a0"), coding)
    length = min(length, len(raw))
    observer = Observer()
    observer.expect("a0")
    for piece in pieces(raw[:length], cuts):
        observer.receive(piece)
    observer.end(orderly=ending == "orderly")
    seen = observer.requests[0]
    head_is_complete = length >= raw.index(b"\r\n\r\n") + 4
    by_end = coding == "none" and ending == "orderly" and head_is_complete
    assert seen.complete == (by_end or (coding != "none" and length == len(raw)))
    assert seen.framed == (not by_end)
    assert body_of("a0").startswith(seen.body)
    assert (seen.failed is Reason.CONNECTION_ENDED) == (not seen.complete)


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
@given(
    st.sampled_from(CODINGS),
    st.integers(0, 400),
    st.sampled_from(GARBAGE),
    st.lists(st.integers(0, 10_000), max_size=4),
)
def test_garbage_at_any_byte_is_never_a_second_answer(
    coding: str, at: int, garbage: bytes, cuts: list[int]
) -> None:
    raw = answer("a0", body_of("a0"), coding)
    at = min(at, len(raw))
    observer = Observer()
    observer.expect("a0")
    for piece in pieces(raw[:at] + garbage + raw[at:], cuts):
        observer.receive(piece)
    seen = observer.requests[0]
    if at == 0:
        assert seen.failed is Reason.MALFORMED
    if at == len(raw) and coding != "none":
        assert (seen.body, seen.complete, observer.unusable) == (body_of("a0"), True, True)
    assert len(observer.stray) <= 1
    assert seen.status in (0, 200)


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
@given(st.binary(min_size=1, max_size=200), st.lists(st.integers(0, 200), max_size=4), st.booleans())
def test_any_bytes_end_in_some_state(data: bytes, cuts: list[int], expected_answer: bool) -> None:
    observer = Observer()
    if expected_answer:
        observer.expect("a0")
    for piece in pieces(data, cuts):
        observer.receive(piece)
    if not expected_answer:
        assert observer.stray == [Unusable(Reason.UNSOLICITED)]
        assert observer.reader.state is State.UNUSABLE
    observer.end(orderly=True)
    assert expected_answer is False or observer.requests[0].complete is False


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
@given(st.integers(0, 300), st.sampled_from((400, 421, 429, 500, 503)), st.booleans())
def test_an_error_without_an_id_is_accepted_only_on_the_first_request(
    cut: int, status: int, first: bool
) -> None:
    observer = Observer()
    if not first:
        observer.expect("a0")
        observer.receive(answer("a0", b"", "length"))
    observer.expect("a1")
    raw = answer("", b"why", "length", status)
    observer.receive(raw[:cut])
    observer.receive(raw[cut:])
    seen = observer.requests[-1]
    if first:
        assert (seen.status, seen.body, seen.complete) == (status, b"why", True)
    else:
        assert (seen.status, seen.failed, observer.unusable) == (0, Reason.UNIDENTIFIED, True)


def test_a_success_without_an_id_is_discarded() -> None:
    observer = Observer()
    observer.expect("a0")
    observer.receive(answer("", b"whose?", "length"))
    assert observer.requests[0] == SeenByRequest()
    observer.receive(answer("a0", b"mine", "length"))
    assert observer.requests[0].body == b"mine"
    assert observer.unusable


@pytest.mark.parametrize("garbage", [*GARBAGE, b"HTTP/1.1 200 OK\n", b"HTTP/1.1 20 OK\r\nX: y\r\n"])
def test_bytes_that_start_no_answer_are_detected_before_the_head_ends(garbage: bytes) -> None:
    observer = Observer()
    observer.expect("a0")
    observer.receive(garbage)
    assert observer.requests[0].failed is Reason.MALFORMED


@pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
def test_a_connection_that_its_worker_closes_is_not_reused(version: bytes) -> None:
    observer = Observer()
    observer.expect("a0")
    raw = answer("a0", b"mine", "length").replace(b"HTTP/1.1", version)
    observer.receive(
        raw if version == b"HTTP/1.0" else raw.replace(b" X\r\n", b" X\r\nConnection: close\r\n")
    )
    assert observer.requests[0].complete
    assert observer.unusable
