"""The reducer without sockets: events go in, effects come out."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net.clients import CLIENT_FRESH
from reedspoke.net.core import SECOND, Budget
from reedspoke.net.hosts import ANSWER, MISSED, MOVED, OLDER, SILENCE, UNHEARD
from reedspoke.net.legs import MUTE
from reedspoke.net.reducer import Reducer
from reedspoke.net.timer_wheel import TimerWheel
from tests.world import MS, settings

NOW = 1_700_000_000 * SECOND


def listed(*uids: str, state: api.WorkerState = api.WorkerState.UP, full: bool = True) -> fx.Listed:
    kind = api.ListKind.FULL if full else api.ListKind.CHANGES
    entries = [api.WorkerEntry(uid, "here", "big", 0, state, 1.0, 0) for uid in uids]
    return fx.Listed(kind, 7, [fx.Target(entry, ("127.0.0.1", 80)) for entry in entries])


def arrived(client: int, cls: str = "read", name: str = "") -> fx.Arrived:
    return fx.Arrived(client, name or f"n{client}", "message", cls, 2 * SECOND, 50 * MS, 1, 0.0, "", "")


class Play:
    """A reducer whose timers ring; keeps what it asked for."""

    def __init__(self, budget: Budget | None = None, config: api.Settings | None = None) -> None:
        config = config or settings(list_on_request=True)
        self.reducer = Reducer(config, 1, budget or Budget(10, 12), 60 * SECOND, ("127.0.0.1", 8500))
        self.now, self.wheel, self.asked = NOW, TimerWheel(5 * MS, NOW), list[fx.Effect]()

    def tell(self, *events: fx.Event) -> list[fx.Effect]:
        begun = len(self.asked)
        for event in events:
            effects = self.reducer.handle(event, self.now)
            self.asked += effects
            for effect in effects:
                if isinstance(effect, fx.Ring):
                    self.wheel.set(effect.key, effect.at)
                elif isinstance(effect, fx.Quiet):
                    self.wheel.stop(effect.key)
        return self.asked[begun:]

    def advance(self, span: int) -> list[fx.Effect]:
        begun, end = len(self.asked), self.now + span
        while self.now < end:
            self.now += 5 * MS
            self.tell(*[fx.Rung(key) for key in self.wheel.advance(self.now)])  # type: ignore[arg-type]
        return self.asked[begun:]

    def answers(self) -> list[fx.Verdict]:
        return [effect.verdict for effect in self.asked if isinstance(effect, fx.Answer)]

    def faults(self) -> list[str]:
        return [effect.text for effect in self.asked if isinstance(effect, fx.Say) and effect.fault]


def conn_of(effects: list[fx.Effect]) -> int:
    return next(effect.conn for effect in effects if isinstance(effect, fx.Dial))


def test_module_that_never_answers_is_covered_by_the_last_guard(monkeypatch: pytest.MonkeyPatch) -> None:
    play = Play()
    monkeypatch.setattr(play.reducer.module, "handle", lambda now, event: [])
    play.tell(listed("a"), fx.Joined(1), arrived(1))
    play.advance(2 * SECOND - 5 * MS)
    assert play.answers() == []
    play.advance(20 * MS)  # the answer slack is 16 ms
    assert play.answers() == [fx.Verdict.LATE]
    assert len(play.faults()) == 1


def test_module_that_fails_costs_one_authorisation(monkeypatch: pytest.MonkeyPatch) -> None:
    play, handle = Play(), Reducer(settings(), 1, Budget(10, 12)).module.handle
    play.tell(listed("a"), fx.Joined(1), fx.Joined(2))

    def fails(now: int, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request) and event.class_name == "pay":
            raise RuntimeError("out of order")
        return handle(now, event)

    monkeypatch.setattr(play.reducer.module, "handle", fails)
    play.tell(arrived(1, "pay"))
    assert play.answers() == [fx.Verdict.FAILED]
    assert "out of order" in play.faults()[0]
    play.tell(arrived(2))
    play.advance(3 * SECOND)
    assert len(play.answers()) == 2


@pytest.mark.parametrize("written", [False, True])
@pytest.mark.parametrize("cls", ["read", "pay"])
def test_break_counts_as_run_from_the_last_byte_on(cls: str, written: bool) -> None:
    """Guards jobs that must never run twice, and those that may go out again because they never ran."""
    play = Play()
    play.tell(listed("a", "b"), fx.Joined(1))
    conn = conn_of(play.tell(arrived(1, cls)))
    assert any(isinstance(effect, fx.Transmit) for effect in play.tell(fx.Opened(conn)))
    effects = play.tell(*([fx.Written(conn)] if written else []), fx.Broken(conn))
    again = any(isinstance(effect, fx.Dial) for effect in effects)
    assert again == (cls == "read" or not written)
    assert play.answers() == ([] if again else [fx.Verdict.FAILED])


def test_events_of_a_connection_that_was_given_up_change_nothing() -> None:
    play = Play()
    play.tell(listed("a"), fx.Joined(1))
    conn = conn_of(play.tell(arrived(1)))
    play.tell(fx.Opened(conn), fx.Written(conn), fx.Parted(1))
    late: list[fx.Event] = [
        fx.Concluded(conn, api.Reason.OK, (), b"late"),
        fx.Freed(conn),
        fx.Broken(conn),
        fx.Written(conn),
    ]
    assert not [effect for effect in play.tell(*late) if not isinstance(effect, fx.Quiet)]
    assert play.answers() == []
    state = play.reducer.state
    assert not [*state.authorisations, *state.conns, *state.names, *state.clients]


def test_hosts_that_are_gone_are_forgotten() -> None:
    """Guards against a table that grows with every deploy."""
    play = Play()
    for deploy in range(50):
        play.tell(listed(f"s-{deploy}", full=False))
        play.tell(listed(f"s-{deploy}", state=api.WorkerState.GONE, full=False))
    assert not play.reducer.state.hosts


def test_idle_connection_makes_room_for_a_leg_elsewhere(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards the budget of descriptors: the longest idle goes; where none is idle, nobody is dialled."""
    play, hosts = Play(Budget(10, 1)), iter("abc")
    play.tell(listed("a", "b", "c"), *[fx.Joined(n) for n in range(1, 4)])
    monkeypatch.setattr(
        play.reducer.module,
        "handle",
        lambda now, event: [api.Send(event.id, next(hosts))] if isinstance(event, api.Request) else [],
    )
    first = conn_of(play.tell(arrived(1)))
    play.tell(fx.Opened(first), fx.Written(first), fx.Concluded(first, api.Reason.OK), fx.Freed(first))
    effects = play.tell(arrived(2))
    assert fx.Hangup(first) in effects
    assert conn_of(effects) != first
    assert not any(isinstance(effect, fx.Dial) for effect in play.tell(arrived(3)))
    assert play.faults() == ["no descriptor is left for a leg"]


def test_tenants_that_nobody_knows_are_one() -> None:
    """Guards the module's tables against a name made up for each authorisation."""
    reducer = Reducer(settings(tenants={"acme": 1.0}), 1, Budget(40, 44))
    reducer.handle(listed("a"), NOW)
    for number, tenant in enumerate(["acme", *(f"made-up-{n}" for n in range(30))]):
        event = arrived(number)
        event.tenant = tenant
        reducer.handle(fx.Joined(number), NOW)
        reducer.handle(event, NOW)
    assert set(reducer.module.flows) == {"acme", ""}


@pytest.mark.parametrize(("memory", "clients"), [(192, 116), (32, 102), (20, 85)])
def test_budget_keeps_the_largest_bodies_within_the_memory(memory: int, clients: int) -> None:
    assert Budget.of(256, memory).clients == clients


@pytest.mark.parametrize("sockets", [32, 64, 1024])
def test_budget_leaves_a_leg_for_each_client(sockets: int) -> None:
    budget = Budget.of(sockets)
    assert budget.legs > budget.clients >= 4
    assert budget.legs + budget.clients <= sockets - 20


def test_wheel_rings_in_order_and_never_early() -> None:
    wheel = TimerWheel(5, 1000)
    for key, at in (
        ("far", 9000),
        ("b", 1012),
        ("a", 1003),
        ("past", 500),
        ("stopped", 1003),
        ("moved", 1003),
    ):
        wheel.set(key, at)
    wheel.stop("stopped")
    wheel.set("moved", 1030)
    assert wheel.advance(1004) == []
    assert wheel.advance(1005) == ["past", "a"]
    assert wheel.advance(1014) == []
    assert wheel.advance(1030) == ["b", "moved"]
    assert wheel.advance(8999) == []
    assert wheel.advance(50_000) == ["far"]
    assert len(wheel) == 0
    wheel.set("guard", 60_004)
    wheel.set("deadline", 60_001)
    assert wheel.advance(60_005) == ["deadline", "guard"], "within a tick as well"


def test_last_guard_stands_behind_the_deadline_where_the_slack_is_short() -> None:
    """Guards the answer: with a slack of 8 ms the guard fell into the tick of the deadline and rang first, as
    it had been set first; 1,325 jobs of a day were answered as late that the module would have refused."""
    config = settings()
    play = Play(config=replace(config, rules=replace(config.rules, answer_slack=8 * MS)))
    play.tell(listed("a"))
    for client in range(1, 5):
        play.tell(fx.Joined(client))
        play.now += MS
        conn = conn_of(play.tell(arrived(client, "pay")))
        play.tell(fx.Opened(conn), fx.Written(conn))
        play.now += 4 * MS
        play.advance(3 * SECOND)
        play.tell(fx.Parted(client))
    assert play.answers() == [fx.Verdict.FAILED] * 4
    assert not play.faults()


def test_full_budget_parts_with_the_least_missed_client_first() -> None:
    """Guards who was served, and who has only just connected: the others go before them."""
    play = Play(Budget(5, 8))
    play.tell(listed("a"), fx.Joined(1), fx.Joined(2), fx.Joined(3), fx.Joined(4))
    conn = conn_of(play.tell(arrived(1)))
    play.tell(fx.Opened(conn), fx.Written(conn), fx.Concluded(conn, api.Reason.OK), fx.Answered(1))
    play.tell(fx.Answered(2), fx.Ending(3))
    play.advance(CLIENT_FRESH)
    play.tell(*[fx.Joined(number) for number in (5, 6, 7)])
    assert [drop.client for drop in play.asked if isinstance(drop, fx.Drop)] == [3, 2, 4]
    play.tell(fx.Joined(8))
    drops = [drop.client for drop in play.asked if isinstance(drop, fx.Drop)]
    assert drops[3:] == [1], "even the one that was served before those that are fresh"
    play.tell(*[fx.Parted(number) for number in drops], fx.Joined(9))
    assert fx.Accept(False) in play.asked
    assert not any(isinstance(effect, fx.Drop) for effect in play.advance(CLIENT_FRESH - 5 * MS))
    assert fx.Accept(True) in play.advance(10 * MS), "those who said nothing are fresh no longer"


def test_lines_that_clients_cause_are_few() -> None:
    play = Play()
    play.tell(*[fx.Refused(400, "why")] * 50, fx.Refused(413, "large"))
    assert len([effect for effect in play.asked if isinstance(effect, fx.Say)]) == 2
    assert play.reducer.state.figures["malformed 400"] == 50


def kept(play: Play) -> int:
    """A connection that has carried a leg and is idle."""
    play.tell(listed("a"), fx.Joined(1))
    conn = conn_of(play.tell(arrived(1, "pay")))
    play.tell(fx.Opened(conn), fx.Written(conn), fx.Heard(conn), fx.Concluded(conn, api.Reason.OK))
    play.tell(fx.Freed(conn), fx.Answered(1))
    return conn


def test_leg_that_a_kept_connection_could_not_carry_goes_on_another() -> None:
    """Guards the module's belief: a kept connection that ended says nothing of its host."""
    play = Play()
    conn = kept(play)
    assert fx.Transmit(conn, 1, "message", 2 * SECOND) in play.tell(arrived(1, "pay", "2b"))
    other = conn_of(play.tell(fx.Broken(conn)))
    assert not any(key.startswith("leg connect") for key in play.reducer.state.figures)
    assert any(isinstance(effect, fx.Transmit) for effect in play.tell(fx.Opened(other)))


@pytest.mark.parametrize(("heard", "told"), [(False, True), (True, False)])
def test_leg_that_its_host_does_not_acknowledge_is_told(
    monkeypatch: pytest.MonkeyPatch, heard: bool, told: bool
) -> None:
    play = Play()
    events = list[api.Event]()

    def handle(now: int, event: api.Event) -> list[api.Action]:
        events.append(event)
        return [api.Send(event.id, "a")] if isinstance(event, api.Request) else []

    monkeypatch.setattr(play.reducer.module, "handle", handle)
    play.tell(listed("a"), fx.Joined(1))
    conn = conn_of(play.tell(arrived(1)))
    play.tell(fx.Opened(conn), fx.Written(conn), *([fx.Heard(conn)] if heard else []))
    play.advance(MUTE + 5 * MS)
    notes = [event.kind for event in events if isinstance(event, api.AttemptUpdate)]
    assert notes == ([api.UpdateKind.UNACKNOWLEDGED] if told else [])


def test_withdrawn_is_what_has_no_leg_and_nothing_else() -> None:
    play = Play()
    play.tell(fx.Joined(1), arrived(1))
    play.tell(fx.Withdrawn(1))
    assert play.answers() == [fx.Verdict.WITHDRAWN]
    play.tell(fx.Answered(1), listed("a"))
    dialled = conn_of(play.tell(arrived(1, name="again")) + play.advance(100 * MS))
    play.tell(fx.Opened(dialled), fx.Written(dialled), fx.Withdrawn(1), fx.Withdrawn(9))
    assert play.answers() == [fx.Verdict.WITHDRAWN], "taken is taken"
    assert not play.faults()


# ---- pushed lists: an agent has them and nobody is asked ----


KNOWN = fx.Listed(api.ListKind.STALE, 7, listed("a", "b").targets)


def pushed(*events: fx.Event) -> Play:
    """At an agent that has said something already."""
    play = Play(config=settings(list_on_request=False))
    play.tell(KNOWN, fx.Listening(), fx.Beaten(), *events)
    return play


def follows(effects: list[fx.Effect]) -> list[fx.Follow]:
    return [effect for effect in effects if isinstance(effect, fx.Follow)]


def test_pushed_lists_are_followed_from_the_start() -> None:
    """Guards drains: the module asks for no list that is pushed, so nobody followed the agent, and the
    scheduler lived on the list of its configuration."""
    assert [follow.rev for follow in follows(pushed().asked)] == [7]


@pytest.mark.parametrize("how", ["silent", "gone"])
def test_agent_that_says_nothing_for_a_minute_is_followed_anew(how: str) -> None:
    play = pushed()
    begun = len(play.asked)
    for _ in range(60):
        for _ in follows(play.asked[begun:]) if how == "gone" else ():
            play.tell(fx.Unlisted("connection refused"))
        begun = len(play.asked)
        play.advance(SECOND)
    again = follows(play.asked)
    assert 12 <= len(again) <= 70, "each second at the most, and not given up"
    assert {follow.rev for follow in again} == {7}
    assert not [text for text in play.faults() if text]
    play.tell(listed("a", full=False))
    assert play.reducer.state.watch_losses == 0
    begun = len(play.asked)
    play.tell(fx.Unlisted("it ended"))
    assert follows(play.advance(60 * MS)), "the first time at once"


def test_module_hears_of_pushed_lists_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    play, told = pushed(), list[api.Event]()
    handle = play.reducer.module.handle

    def hear(now: int, event: api.Event) -> list[api.Action]:
        told.append(event)
        return handle(now, event)

    monkeypatch.setattr(play.reducer.module, "handle", hear)
    play.tell(fx.Unlisted("it ended"), listed("a", "b"), fx.Unlisted("it ended"))
    play.advance(SECOND)
    kinds = [event.kind for event in told if isinstance(event, api.WorkerListUpdate)]
    assert kinds == [api.ListKind.FULL]


def test_lost_watch_on_pushed_lists_moves_with_the_configuration() -> None:
    play = pushed(fx.Unlisted("it ended"))
    moved = follows(play.tell(fx.Reloaded(("127.0.0.1", 9))))
    assert [(follow.endpoint[1], follow.rev) for follow in moved] == [(9, 0)]


def test_nothing_is_followed_behind_the_end() -> None:
    play = pushed(fx.Unlisted("it ended"), fx.Stop())
    play.advance(10 * SECOND)
    end = next(i for i, effect in enumerate(play.asked) if isinstance(effect, fx.Exit))
    assert not follows(play.asked[end:])


def test_older_list_brings_nobody_back() -> None:
    """Guards drains against an agent that has fallen behind; who leaves by its list is heeded still."""
    play = pushed(fx.Listed(api.ListKind.CHANGES, 50, listed("a", state=api.WorkerState.DRAINING).targets))
    hosts = play.reducer.state.hosts
    old = fx.Listed(api.ListKind.FULL, 45, listed("a", "b", "c").targets)
    play.tell(old, fx.Listed(api.ListKind.CHANGES, 46, listed("b", state=api.WorkerState.GONE).targets))
    assert {uid: host.state for uid, host in hosts.items()} == {"a": api.WorkerState.DRAINING}
    assert play.reducer.module.workers["a"].state is api.WorkerState.DRAINING
    assert play.reducer.module.workers["b"].state is api.WorkerState.GONE
    play.advance(OLDER)
    play.tell(old)
    assert sorted(hosts) == ["a", "b", "c"], "it has begun its versions anew"
    assert play.reducer.state.rev == 45


def heard(play: Play, monkeypatch: pytest.MonkeyPatch) -> list[api.WorkerListUpdate]:
    """What its module is told of lists from now on."""
    told, handle = list[api.WorkerListUpdate](), play.reducer.module.handle

    def hear(now: int, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.WorkerListUpdate):
            told.append(event)
        return handle(now, event)

    monkeypatch.setattr(play.reducer.module, "handle", hear)
    return told


@pytest.mark.parametrize(
    ("word", "sent"),
    [
        (listed("a", state=api.WorkerState.DRAINING, full=False), "b"),
        (listed("b", full=True), "b"),
        (fx.Listed(api.ListKind.CHANGES, 5, listed("a", state=api.WorkerState.GONE).targets), "b"),
        (fx.Beaten(), "ab"),
        (None, "ab"),
    ],
    ids=["changes", "whole list", "older list", "beat", "nothing"],
)
def test_a_new_process_hears_its_agent_before_a_job_goes_out(
    word: fx.Event | None, sent: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards drains at a restart: what the agent holds is told from the first moment, and the list in the
    configuration may name a host that drains. A silent agent holds the start up for 2 s."""
    play = Play(config=settings(list_on_request=False))
    told = heard(play, monkeypatch)
    play.tell(KNOWN, fx.Listening(), fx.Joined(1), arrived(1))
    assert not [effect for effect in play.asked if isinstance(effect, fx.Dial)]
    assert not play.reducer.state.ready()
    if word is None:
        play.advance(UNHEARD - 10 * MS)
        assert not told
        play.advance(20 * MS)
        play.tell(fx.Joined(2), arrived(2))
    else:
        play.tell(word)
    assert play.reducer.state.ready()
    assert [event.kind for event in told] == [api.ListKind.FULL], "one list, never the old one before the new"
    dials = [effect for effect in play.asked if isinstance(effect, fx.Dial)]
    assert len(dials) == 1
    assert play.reducer.state.conns[dials[0].conn].host in sent


FLEETS = pytest.mark.parametrize("schedulers", [1, 5, 40, 200])


def called(play: Play, span: int) -> list[int]:
    """When it asks for a watch within that time, from now on."""
    begun, at = play.now, list[int]()
    while play.now < begun + span:
        at += [play.now - begun for _ in follows(play.advance(5 * MS))]
    return at


def fleet(schedulers: int) -> list[Play]:
    """Each with a watch that has just said something."""
    plays = []
    for me in range(schedulers):
        config = replace(settings(list_on_request=True, scheduler_count=schedulers), scheduler_index=me)
        plays.append(Play(config=config))
        plays[-1].tell(fx.Listed(api.ListKind.STALE, 7, listed("a", "b").targets), fx.Listening())
        plays[-1].tell(listed("a", "b"))
        plays[-1].reducer.state.watching = plays[-1].reducer.module.list_requested = True
    return plays


def crowd(times: list[int], span: int) -> int:
    """Most of them within any such span."""
    return max(sum(at <= other < at + span for other in times) for at in times)


@FLEETS
def test_a_silent_watch_is_opened_anew_before_what_it_missed_counts_as_told(schedulers: int) -> None:
    """Guards drains: silence was noticed in time, and the call that followed came 11.5 to 21.8 s later where
    200 schedulers ask, so a host that drained meanwhile still got jobs. Nor do all call at one moment."""
    calls = [called(play, MISSED) for play in fleet(schedulers)]
    first = [at[0] for at in calls]
    assert max(first) <= MISSED - ANSWER, "an answer may take 2 s"
    assert min(first) >= SILENCE
    assert crowd(first, 10 * MS) <= 3, "they share one directory"


@FLEETS
def test_schedulers_call_a_new_address_by_lot_and_in_time(schedulers: int) -> None:
    """Guards drains after SIGHUP, when all of 200 called at once: most calls failed and came again too
    late."""
    calls = []
    for play in fleet(schedulers):
        play.tell(fx.Reloaded(("127.0.0.1", 9)))
        calls.append(called(play, MOVED)[0])
    assert max(calls) <= MOVED - ANSWER
    assert crowd(calls, 10 * MS) <= 3


OUTAGE = 8 * SECOND
FAILS = {  # how a call ends while discovery is down: when, or never
    "refused": 0,
    "cut in the middle of a list": 100 * MS,
    "503": 2 * SECOND,
    "accepted, then silent": None,
}


def calls_in_an_outage(play: Play, fails: int | None, reload_at: int) -> list[int]:
    """Its watch is lost now, discovery is back after `OUTAGE`: when it calls, up to the first call that can
    be answered. At `reload_at` a new address is told, 0: none is."""
    begun, at, ends = play.now, list[int](), list[int]()
    play.tell(fx.Unlisted("reset"))
    while not at or at[-1] < OUTAGE:
        assert play.now < begun + OUTAGE + MISSED, "it calls no more"
        effects = play.advance(5 * MS)
        past = play.now - begun
        if past == reload_at:
            ends.clear()
            effects += play.tell(fx.Reloaded(("127.0.0.1", 9)))
        if any(isinstance(effect, fx.Unfollow) for effect in effects):
            ends.clear()  # it gave the call up itself
        for _ in follows(effects):
            at.append(past)
            if fails is not None:
                ends.append(past + fails)
        if ends and past >= ends[0]:
            ends.clear()
            play.tell(fx.Unlisted("it failed"))
    return at


@pytest.mark.parametrize("reload_at", [0, 3 * SECOND], ids=["", "a new address meanwhile"])
@pytest.mark.parametrize("how", FAILS)
@FLEETS
def test_after_an_outage_discovery_is_called_before_what_it_has_counts_as_told(
    schedulers: int, how: str, reload_at: int
) -> None:
    """Guards drains: what discovery has counts as told 6 s after it can be reached, whatever failed before,
    and an answer may take 2 s of these. The module's pauses came to 19 s at 200 schedulers, doubled lots to
    14 s. Nor do so many call at once that one directory could not answer them."""
    plays = fleet(schedulers)[:: max(1, schedulers // 20)]
    calls = [calls_in_an_outage(play, FAILS[how], reload_at) for play in plays]
    back = [at[-1] - OUTAGE for at in calls]
    assert max(back) <= MISSED - ANSWER
    every = sorted(at for times in calls for at in times if at >= SECOND)
    rate = crowd(every, SECOND) * schedulers / len(plays)
    assert rate <= max(3 * schedulers, 40) if schedulers <= 40 else rate <= 1.2 * schedulers
    assert max(len(times) for times in calls) <= 25, "each calls ever more seldom"
    play = plays[0]
    play.tell(listed("a"))
    assert play.reducer.state.watch_losses == 0, "the next time it begins anew"


def test_a_watch_that_is_lost_is_not_asked_for_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards discovery: the module may ask while the next call is planned here."""
    (play,) = fleet(1)
    monkeypatch.setattr(play.reducer.module, "handle", lambda now, event: [api.Watch()])
    play.tell(fx.Unlisted("reset"))
    assert not follows(play.tell(fx.Joined(1), arrived(1)))
    assert len(follows(play.advance(SECOND))) == 1


@pytest.mark.parametrize(("grace", "most"), [(250 * MS, 100 * MS), (3 * SECOND, SECOND)])
def test_an_agent_that_is_back_is_heard_within_the_window_of_a_drain(grace: int, most: int) -> None:
    """Guards drains after an outage: what the agent holds is told at once, and the pauses had grown to 1
    s."""
    config = settings(list_on_request=False)
    play = Play(config=replace(config, rules=replace(config.rules, drain_grace=grace)))
    play.tell(KNOWN, fx.Listening(), fx.Beaten())
    times = []
    for _ in range(200):
        play.tell(fx.Unlisted("connection refused"))
        times.append(called(play, 2 * SECOND)[0])
    assert max(times) <= most
    assert min(times[3:]) >= 40 * MS, "no busy loop"


def test_a_beat_that_never_completes_a_list_is_a_silence() -> None:
    play = pushed()
    begun = len(play.asked)
    play.advance(SILENCE + 200 * MS)
    assert any(isinstance(effect, fx.Unfollow) for effect in play.asked[begun:])
    assert len(follows(play.asked[begun:])) == 1, "it is opened anew"
    play.tell(fx.Beaten())
    assert not play.reducer.state.watch_losses


def test_older_whole_list_takes_out_whom_it_does_not_name() -> None:
    """Guards drains where the directory has begun anew: who is missing from its list has left."""
    play = pushed(fx.Listed(api.ListKind.CHANGES, 50, listed("c").targets))
    assert set(play.reducer.state.hosts) == {"a", "b", "c"}
    play.tell(fx.Listed(api.ListKind.FULL, 45, listed("a", "b", "d").targets))
    assert set(play.reducer.state.hosts) == {"a", "b"}


def test_connection_whose_answer_never_ends_makes_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards legs: a result is known, and the rest of its answer held the last place for a leg."""
    play, hosts = Play(Budget(10, 1)), iter("ab")
    play.tell(listed("a", "b"), fx.Joined(1), fx.Joined(2))
    monkeypatch.setattr(
        play.reducer.module,
        "handle",
        lambda now, event: [api.Send(event.id, next(hosts))] if isinstance(event, api.Request) else [],
    )
    first = conn_of(play.tell(arrived(1)))
    play.tell(fx.Opened(first), fx.Written(first), fx.Concluded(first, api.Reason.OK))
    assert conn_of(play.tell(arrived(2))) != first
    assert not play.faults()
