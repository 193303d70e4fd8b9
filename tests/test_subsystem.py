"""Subsystems: their events, effects and calls of the operator API."""

from __future__ import annotations

import pytest

from reedspoke.net import effects as fx
from reedspoke.net.core import Component, Core, EventHandlers
from reedspoke.net.http import Head
from reedspoke.net.node import Node
from reedspoke.net.operators import NoSuchCallError, ParsedCall, parse_call
from reedspoke.net.subsystem import NAME, Call, Subsystem
from tests.test_reducer import ReducerHarness


class TextReceived(fx.ExtensionEvent):
    text: str


class SendText(fx.ExtensionEffect):
    text: str


class Echo(Component):
    def event_handlers(self) -> EventHandlers:
        return {TextReceived: lambda event: self.core.request_effect(SendText(event.text))}


def yes(event: fx.OperatorCall) -> fx.ReplyToOperator:
    return fx.ReplyToOperator(event.caller, fx.CallResult.YES)


SHOW, MAKE = Call(b"GET", (b"notes", NAME), yes), Call(b"POST", (b"notes", NAME), yes, 9000)
NESTED = Call(b"POST", (b"notes", NAME, b"again"), yes)


def parsed(method: bytes, target: bytes) -> ParsedCall:
    return parse_call(Head(1, method, memoryview(target)), (SHOW, MAKE, NESTED))


def test_calls_are_matched_by_method_and_path_and_carry_their_names() -> None:
    assert parsed(b"GET", b"/v1/notes/a%20b") == ParsedCall(
        fx.OperatorCommand.EXTENSION, "", SHOW.which, ("a b",)
    )
    assert parsed(b"POST", b"/v1/notes/a").max_body_bytes == 9000
    assert parsed(b"POST", b"/v1/notes/a/again").which == NESTED.which
    assert parsed(b"GET", b"/v1/readyz") == ParsedCall(fx.OperatorCommand.READY), (
        "built-in calls have priority"
    )


@pytest.mark.parametrize(
    ("method", "target", "status"),
    [
        (b"DELETE", b"/v1/notes/a", 405), (b"GET", b"/v1/notes/", 404), (b"GET", b"/v1/notes", 404),
        (b"GET", b"/v2/notes/a", 404), (b"GET", b"/v1/notes/a/b", 404),
    ],
)  # fmt: skip
def test_unknown_calls_are_refused(method: bytes, target: bytes, status: int) -> None:
    with pytest.raises(NoSuchCallError) as found:
        parsed(method, target)
    assert found.value.status == status


def test_events_and_effects_of_a_subsystem_pass_through_the_reducer() -> None:

    play = ReducerHarness()
    play.reducer.add(Echo(play.reducer.core))
    assert play.tell(TextReceived("word")) == [SendText("word")]


def test_two_subsystems_for_one_call_or_event_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:

    play = ReducerHarness()

    class Bare(Node):
        def __init__(self) -> None:
            self.runtime = type("Any", (), {"reducer": play.reducer})()
            self.operator_api = None

    node = Bare()
    node.add_subsystem(Subsystem("first", (Echo(play.reducer.core),), (), (SHOW,)))
    with pytest.raises(ValueError, match="two subsystems have the call GET /notes"):
        node.add_subsystem(Subsystem("second", (), (), (SHOW,)))
    with pytest.raises(ValueError, match="two components"):
        node.add_subsystem(Subsystem("third", (Echo(play.reducer.core),)))
    assert isinstance(play.reducer.core, Core)
