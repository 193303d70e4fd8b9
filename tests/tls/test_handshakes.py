"""The reducer's part for handshakes, without sockets."""

from __future__ import annotations

from reedspoke.net import effects as fx
from reedspoke.net.core import MS, SECOND, Budget, ExtensionLimits
from reedspoke.tls.handshakes import FRESH, Handshakes
from tests.test_reducer import ReducerHarness, arrived, listed

LIMIT = 1500 * MS


def play(most: int = 4, budget: Budget | None = None) -> ReducerHarness:
    made = ReducerHarness(budget or Budget(20, 24))
    core = made.reducer.core
    made.reducer.add(Handshakes(core, made.reducer.clients, LIMIT, most))
    made.tell(listed("a"), fx.ListenerOpened())
    return made


def dropped(effects: list[fx.Effect]) -> list[int]:
    return [effect.client for effect in effects if isinstance(effect, fx.CloseClient)]


def admits(effects: list[fx.Effect]) -> list[bool]:
    return [effect.on for effect in effects if isinstance(effect, fx.SetHandshaking)]


def test_a_handshake_that_stops_half_way_is_dropped_in_time() -> None:
    it = play()
    it.tell(fx.HandshakeStarted(1))
    assert dropped(it.advance(LIMIT - 5 * MS)) == []
    assert dropped(it.advance(15 * MS)) == [1]


def test_a_slow_handshake_leaves_time_to_ask_and_the_whole_stays_below_three_seconds() -> None:
    it = play()
    it.tell(fx.HandshakeStarted(1))
    it.advance(LIMIT - 10 * MS)
    it.tell(fx.HandshakeCompleted(1))
    assert dropped(it.advance(900 * MS)) == []
    assert dropped(it.advance(200 * MS)) == [1]
    it.tell(fx.ClientDisconnected(1))
    it.tell(fx.HandshakeStarted(2), fx.HandshakeCompleted(2), arrived(2))
    assert dropped(it.advance(SECOND)) == [], "who has asked is never dropped"


def test_the_oldest_goes_for_a_new_one_once_it_had_its_time() -> None:
    it = play(most=3)
    assert admits(it.tell(fx.HandshakeStarted(1), fx.HandshakeStarted(2), fx.HandshakeStarted(3))) == [False]
    waited = it.advance(FRESH + 10 * MS)
    assert dropped(waited) == [1]
    assert admits(waited) == [True]
    it.tell(fx.ClientDisconnected(1))
    assert dropped(it.tell(fx.HandshakeStarted(4))) == [2], "all of them have had their time by now"


def test_handshakes_count_in_the_budget_of_clients() -> None:
    """Guards the descriptors: nobody is taken in that has no place, whichever front it comes by."""
    it = play(most=10, budget=Budget(4, 6))
    effects = it.tell(
        fx.ClientConnected(1), fx.ClientConnected(2), fx.HandshakeStarted(3), fx.HandshakeStarted(4)
    )
    assert [effect.on for effect in effects if isinstance(effect, fx.SetAccepting)] == [False]
    assert 3 in dropped(it.advance(100 * MS)), "who has only shaken hands goes before who may be asking"


def test_late_words_about_one_that_is_gone_change_nothing() -> None:
    it = play()
    it.tell(fx.HandshakeStarted(1), fx.ClientDisconnected(1), fx.HandshakeCompleted(1))
    assert not it.reducer.state.clients
    assert it.advance(3 * SECOND) is not None
    assert not it.faults()


def test_what_further_parts_need_comes_off_the_clients() -> None:
    plain, more = Budget.of(400, 100), Budget.of(400, 100, 0, ExtensionLimits(48, 40, 60))
    assert more.clients < plain.clients
    assert more.clients >= (400 - 48) // 3
