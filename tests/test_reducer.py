"""The reducer without sockets: events in, effects out."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net.attempts import ACKNOWLEDGE_TIMEOUT
from reedspoke.net.clients import NEW_CLIENT_GRACE
from reedspoke.net.core import SECOND, Budget
from reedspoke.net.reducer import Reducer
from reedspoke.net.timer_wheel import TimerWheel
from reedspoke.net.workers import (
    AGENT_START_TIMEOUT,
    ANSWER_TIMEOUT,
    MOVE_DEADLINE,
    OUTDATED_LIMIT,
    UPDATE_DEADLINE,
    WATCH_TIMEOUT,
)
from tests.world import MS, settings

NOW = 1_700_000_000 * SECOND


def listed(*uids: str, state: api.WorkerState = api.WorkerState.UP, full: bool = True) -> fx.WorkersListed:
    kind = api.ListKind.FULL if full else api.ListKind.CHANGES
    entries = [api.WorkerEntry(uid, "here", "big", 0, state, 1.0, 0) for uid in uids]
    return fx.WorkersListed(kind, 7, [fx.ListedWorker(entry, ("127.0.0.1", 80)) for entry in entries])


def arrived(client: int, cls: str = "read", name: str = "") -> fx.RequestReceived:
    return fx.RequestReceived(
        client, name or f"n{client}", "message", cls, 2 * SECOND, 50 * MS, 1, 0.0, "", ""
    )


class ReducerHarness:
    """A reducer with a timer wheel; records the requested effects."""

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
                if isinstance(effect, fx.SetTimer):
                    self.wheel.set(effect.key, effect.at)
                elif isinstance(effect, fx.CancelTimer):
                    self.wheel.stop(effect.key)
        return self.asked[begun:]

    def advance(self, span: int) -> list[fx.Effect]:
        begun, end = len(self.asked), self.now + span
        while self.now < end:
            self.now += 5 * MS
            self.tell(*[fx.TimerFired(key) for key in self.wheel.advance(self.now)])  # type: ignore[arg-type]
        return self.asked[begun:]

    def answers(self) -> list[fx.Outcome]:
        return [effect.outcome for effect in self.asked if isinstance(effect, fx.SendResponse)]

    def faults(self) -> list[str]:
        return [effect.text for effect in self.asked if isinstance(effect, fx.WriteLog) and effect.fault]


def conn_of(effects: list[fx.Effect]) -> int:
    return next(effect.conn for effect in effects if isinstance(effect, fx.ConnectWorker))


def test_request_that_the_module_never_answers_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    play = ReducerHarness()
    monkeypatch.setattr(play.reducer.module, "handle", lambda now, event: [])
    play.tell(listed("a"), fx.ClientConnected(1), arrived(1))
    play.advance(2 * SECOND - 5 * MS)
    assert play.answers() == []
    play.advance(20 * MS)  # the answer slack is 16 ms
    assert play.answers() == [fx.Outcome.TIMED_OUT]
    assert len(play.faults()) == 1


def test_exception_in_the_module_fails_one_request(monkeypatch: pytest.MonkeyPatch) -> None:
    play, handle = ReducerHarness(), Reducer(settings(), 1, Budget(10, 12)).module.handle
    play.tell(listed("a"), fx.ClientConnected(1), fx.ClientConnected(2))

    def fails(now: int, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request) and event.class_name == "pay":
            raise RuntimeError("out of order")
        return handle(now, event)

    monkeypatch.setattr(play.reducer.module, "handle", fails)
    play.tell(arrived(1, "pay"))
    assert play.answers() == [fx.Outcome.FAILED]
    assert "out of order" in play.faults()[0]
    play.tell(arrived(2))
    play.advance(3 * SECOND)
    assert len(play.answers()) == 2


@pytest.mark.parametrize("written", [False, True])
@pytest.mark.parametrize("cls", ["read", "pay"])
def test_disconnect_after_the_last_byte_counts_as_run(cls: str, written: bool) -> None:
    """Unsafe jobs must not run twice, and jobs that never ran may be retried."""
    play = ReducerHarness()
    play.tell(listed("a", "b"), fx.ClientConnected(1))
    conn = conn_of(play.tell(arrived(1, cls)))
    assert any(isinstance(effect, fx.SendAttempt) for effect in play.tell(fx.WorkerConnected(conn)))
    effects = play.tell(*([fx.AttemptWritten(conn)] if written else []), fx.WorkerDisconnected(conn))
    again = any(isinstance(effect, fx.ConnectWorker) for effect in effects)
    assert again == (cls == "read" or not written)
    assert play.answers() == ([] if again else [fx.Outcome.FAILED])


def test_events_of_a_removed_connection_have_no_effect() -> None:
    play = ReducerHarness()
    play.tell(listed("a"), fx.ClientConnected(1))
    conn = conn_of(play.tell(arrived(1)))
    play.tell(fx.WorkerConnected(conn), fx.AttemptWritten(conn), fx.ClientDisconnected(1))
    late: list[fx.Event] = [
        fx.OutcomeReceived(conn, api.Reason.OK, (), b"late"),
        fx.ResponseCompleted(conn),
        fx.WorkerDisconnected(conn),
        fx.AttemptWritten(conn),
    ]
    assert not [effect for effect in play.tell(*late) if not isinstance(effect, fx.CancelTimer)]
    assert play.answers() == []
    state = play.reducer.state
    assert not [*state.requests, *state.connections, *state.open_request_ids, *state.clients]


def test_removed_workers_leave_the_table() -> None:
    """Otherwise the table grows with every deployment."""
    play = ReducerHarness()
    for deploy in range(50):
        play.tell(listed(f"s-{deploy}", full=False))
        play.tell(listed(f"s-{deploy}", state=api.WorkerState.GONE, full=False))
    assert not play.reducer.state.workers


def test_idle_connection_is_closed_for_an_attempt_at_another_worker(monkeypatch: pytest.MonkeyPatch) -> None:
    """At the descriptor limit the longest idle connection is closed; without one, no connection is opened."""
    play, hosts = ReducerHarness(Budget(10, 1)), iter("abc")
    play.tell(listed("a", "b", "c"), *[fx.ClientConnected(n) for n in range(1, 4)])
    monkeypatch.setattr(
        play.reducer.module,
        "handle",
        lambda now, event: [api.Send(event.id, next(hosts))] if isinstance(event, api.Request) else [],
    )
    first = conn_of(play.tell(arrived(1)))
    play.tell(
        fx.WorkerConnected(first),
        fx.AttemptWritten(first),
        fx.OutcomeReceived(first, api.Reason.OK),
        fx.ResponseCompleted(first),
    )
    effects = play.tell(arrived(2))
    assert fx.DisconnectWorker(first) in effects
    assert conn_of(effects) != first
    assert not any(isinstance(effect, fx.ConnectWorker) for effect in play.tell(arrived(3)))
    assert play.faults() == ["no descriptor is left for an attempt"]


def test_unknown_tenants_share_one_flow() -> None:
    """Otherwise a new tenant name in each request would grow the module's tables."""
    reducer = Reducer(settings(tenants={"acme": 1.0}), 1, Budget(40, 44))
    reducer.handle(listed("a"), NOW)
    for number, tenant in enumerate(["acme", *(f"made-up-{n}" for n in range(30))]):
        event = arrived(number)
        event.tenant = tenant
        reducer.handle(fx.ClientConnected(number), NOW)
        reducer.handle(event, NOW)
    assert set(reducer.module.flows) == {"acme", ""}


@pytest.mark.parametrize(("memory", "clients"), [(192, 116), (32, 102), (20, 85)])
def test_budget_keeps_the_largest_bodies_within_the_memory(memory: int, clients: int) -> None:
    assert Budget.of(256, memory).clients == clients


@pytest.mark.parametrize("sockets", [32, 64, 1024])
def test_budget_allows_an_attempt_for_each_client(sockets: int) -> None:
    budget = Budget.of(sockets)
    assert budget.attempts > budget.clients >= 4
    assert budget.attempts + budget.clients <= sockets - 20


def test_wheel_fires_in_order_and_never_early() -> None:
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


def test_deadline_timer_fires_after_the_deadline_if_the_slack_is_short() -> None:
    """With a slack of 8 ms the timer fell into the tick of the deadline and fired first, as it had been set
    first: 1,325 jobs per day were answered as timed out that the module would have rejected."""
    config = settings()
    play = ReducerHarness(config=replace(config, rules=replace(config.rules, answer_slack=8 * MS)))
    play.tell(listed("a"))
    for client in range(1, 5):
        play.tell(fx.ClientConnected(client))
        play.now += MS
        conn = conn_of(play.tell(arrived(client, "pay")))
        play.tell(fx.WorkerConnected(conn), fx.AttemptWritten(conn))
        play.now += 4 * MS
        play.advance(3 * SECOND)
        play.tell(fx.ClientDisconnected(client))
    assert play.answers() == [fx.Outcome.FAILED] * 4
    assert not play.faults()


def test_eviction_order_at_the_connection_limit() -> None:
    """Clients that were served or have just connected are evicted last."""
    play = ReducerHarness(Budget(5, 8))
    play.tell(
        listed("a"),
        fx.ClientConnected(1),
        fx.ClientConnected(2),
        fx.ClientConnected(3),
        fx.ClientConnected(4),
    )
    conn = conn_of(play.tell(arrived(1)))
    play.tell(
        fx.WorkerConnected(conn),
        fx.AttemptWritten(conn),
        fx.OutcomeReceived(conn, api.Reason.OK),
        fx.ResponseSent(1),
    )
    play.tell(fx.ResponseSent(2), fx.ClientClosing(3))
    play.advance(NEW_CLIENT_GRACE)
    play.tell(*[fx.ClientConnected(number) for number in (5, 6, 7)])
    assert [drop.client for drop in play.asked if isinstance(drop, fx.CloseClient)] == [3, 2, 4]
    play.tell(fx.ClientConnected(8))
    drops = [drop.client for drop in play.asked if isinstance(drop, fx.CloseClient)]
    assert drops[3:] == [1], "served clients are evicted before new ones"
    play.tell(*[fx.ClientDisconnected(number) for number in drops], fx.ClientConnected(9))
    assert fx.SetAccepting(False) in play.asked
    assert not any(isinstance(effect, fx.CloseClient) for effect in play.advance(NEW_CLIENT_GRACE - 5 * MS))
    assert fx.SetAccepting(True) in play.advance(10 * MS), "clients without a request are no longer new"


def test_log_lines_that_clients_cause_are_rate_limited() -> None:
    play = ReducerHarness()
    play.tell(*[fx.RequestMalformed(400, "why")] * 50, fx.RequestMalformed(413, "large"))
    assert len([effect for effect in play.asked if isinstance(effect, fx.WriteLog)]) == 2
    assert play.reducer.state.log_counters["malformed 400"] == 50


def idle_connection(play: ReducerHarness) -> int:
    """Return a connection that has completed an attempt and is idle."""
    play.tell(listed("a"), fx.ClientConnected(1))
    conn = conn_of(play.tell(arrived(1, "pay")))
    play.tell(
        fx.WorkerConnected(conn),
        fx.AttemptWritten(conn),
        fx.ResponseStarted(conn),
        fx.OutcomeReceived(conn, api.Reason.OK),
    )
    play.tell(fx.ResponseCompleted(conn), fx.ResponseSent(1))
    return conn


def test_attempt_on_a_closed_idle_connection_moves_to_another() -> None:
    """A closed idle connection must not be reported to the module as a failure of the worker."""
    play = ReducerHarness()
    conn = idle_connection(play)
    assert fx.SendAttempt(conn, 1, "message", 2 * SECOND) in play.tell(arrived(1, "pay", "2b"))
    other = conn_of(play.tell(fx.WorkerDisconnected(conn)))
    assert not any(key.startswith("leg connect") for key in play.reducer.state.log_counters)
    assert any(isinstance(effect, fx.SendAttempt) for effect in play.tell(fx.WorkerConnected(other)))


@pytest.mark.parametrize(("acknowledged", "reported"), [(False, True), (True, False)])
def test_unacknowledged_attempt_is_reported(
    monkeypatch: pytest.MonkeyPatch, acknowledged: bool, reported: bool
) -> None:
    play = ReducerHarness()
    events = list[api.Event]()

    def handle(now: int, event: api.Event) -> list[api.Action]:
        events.append(event)
        return [api.Send(event.id, "a")] if isinstance(event, api.Request) else []

    monkeypatch.setattr(play.reducer.module, "handle", handle)
    play.tell(listed("a"), fx.ClientConnected(1))
    conn = conn_of(play.tell(arrived(1)))
    play.tell(
        fx.WorkerConnected(conn),
        fx.AttemptWritten(conn),
        *([fx.ResponseStarted(conn)] if acknowledged else []),
    )
    play.advance(ACKNOWLEDGE_TIMEOUT + 5 * MS)
    notes = [event.kind for event in events if isinstance(event, api.AttemptUpdate)]
    assert notes == ([api.UpdateKind.UNACKNOWLEDGED] if reported else [])


def test_revocation_only_rejects_requests_without_attempts() -> None:
    play = ReducerHarness()
    play.tell(fx.ClientConnected(1), arrived(1))
    play.tell(fx.CredentialRevoked(1))
    assert play.answers() == [fx.Outcome.REVOKED]
    play.tell(fx.ResponseSent(1), listed("a"))
    connecting = conn_of(play.tell(arrived(1, name="again")) + play.advance(100 * MS))
    play.tell(
        fx.WorkerConnected(connecting),
        fx.AttemptWritten(connecting),
        fx.CredentialRevoked(1),
        fx.CredentialRevoked(9),
    )
    assert play.answers() == [fx.Outcome.REVOKED], "a request with an attempt is not rejected"
    assert not play.faults()


# ---- lists pushed by an agent ----


KNOWN = fx.WorkersListed(api.ListKind.STALE, 7, listed("a", "b").targets)


def pushed(*events: fx.Event) -> ReducerHarness:
    """Return a harness whose agent has sent its first message."""
    play = ReducerHarness(config=settings(list_on_request=False))
    play.tell(KNOWN, fx.ListenerOpened(), fx.DirectoryHeartbeat(), *events)
    return play


def watch_requests(effects: list[fx.Effect]) -> list[fx.StartWatch]:
    return [effect for effect in effects if isinstance(effect, fx.StartWatch)]


def test_pushed_lists_are_watched_from_the_start() -> None:
    """The module requests no pushed list, so the agent was never watched and the scheduler kept its
    configured list, missing all drains."""
    assert [follow.revision for follow in watch_requests(pushed().asked)] == [7]


@pytest.mark.parametrize("how", ["silent", "gone"])
def test_agent_without_messages_for_a_minute_is_watched_again(how: str) -> None:
    play = pushed()
    begun = len(play.asked)
    for _ in range(60):
        for _ in watch_requests(play.asked[begun:]) if how == "gone" else ():
            play.tell(fx.WatchLost("connection refused"))
        begun = len(play.asked)
        play.advance(SECOND)
    again = watch_requests(play.asked)
    assert 12 <= len(again) <= 70, "at most once per second, and without end"
    assert {follow.revision for follow in again} == {7}
    assert not [text for text in play.faults() if text]
    play.tell(listed("a", full=False))
    assert play.reducer.state.watch_losses == 0
    begun = len(play.asked)
    play.tell(fx.WatchLost("it ended"))
    assert watch_requests(play.advance(60 * MS)), "the first retry is immediate"


def test_module_only_receives_pushed_lists(monkeypatch: pytest.MonkeyPatch) -> None:
    play, received = pushed(), list[api.Event]()
    handle = play.reducer.module.handle

    def record(now: int, event: api.Event) -> list[api.Action]:
        received.append(event)
        return handle(now, event)

    monkeypatch.setattr(play.reducer.module, "handle", record)
    play.tell(fx.WatchLost("it ended"), listed("a", "b"), fx.WatchLost("it ended"))
    play.advance(SECOND)
    kinds = [event.kind for event in received if isinstance(event, api.WorkerListUpdate)]
    assert kinds == [api.ListKind.FULL]


def test_lost_watch_on_pushed_lists_moves_on_reload() -> None:
    play = pushed(fx.WatchLost("it ended"))
    moved = watch_requests(play.tell(fx.ConfigurationReloaded(("127.0.0.1", 9))))
    assert [(follow.endpoint[1], follow.revision) for follow in moved] == [(9, 0)]


def test_no_watch_is_opened_after_the_end() -> None:
    play = pushed(fx.WatchLost("it ended"), fx.ShutdownRequested())
    play.advance(10 * SECOND)
    end = next(i for i, effect in enumerate(play.asked) if isinstance(effect, fx.Exit))
    assert not watch_requests(play.asked[end:])


def test_outdated_list_returns_no_worker() -> None:
    """Drained workers must not return by the list of an agent that lags; departures in it still apply."""
    play = pushed(
        fx.WorkersListed(api.ListKind.CHANGES, 50, listed("a", state=api.WorkerState.DRAINING).targets)
    )
    hosts = play.reducer.state.workers
    old = fx.WorkersListed(api.ListKind.FULL, 45, listed("a", "b", "c").targets)
    play.tell(
        old, fx.WorkersListed(api.ListKind.CHANGES, 46, listed("b", state=api.WorkerState.GONE).targets)
    )
    assert {uid: host.state for uid, host in hosts.items()} == {"a": api.WorkerState.DRAINING}
    assert play.reducer.module.workers["a"].state is api.WorkerState.DRAINING
    assert play.reducer.module.workers["b"].state is api.WorkerState.GONE
    play.advance(OUTDATED_LIMIT)
    play.tell(old)
    assert sorted(hosts) == ["a", "b", "c"], "it has restarted its versions"
    assert play.reducer.state.revision == 45


def record_lists(play: ReducerHarness, monkeypatch: pytest.MonkeyPatch) -> list[api.WorkerListUpdate]:
    """Record the lists that the module receives from now on."""
    received, handle = list[api.WorkerListUpdate](), play.reducer.module.handle

    def record(now: int, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.WorkerListUpdate):
            received.append(event)
        return handle(now, event)

    monkeypatch.setattr(play.reducer.module, "handle", record)
    return received


@pytest.mark.parametrize(
    ("word", "sent"),
    [
        (listed("a", state=api.WorkerState.DRAINING, full=False), "b"),
        (listed("b", full=True), "b"),
        (fx.WorkersListed(api.ListKind.CHANGES, 5, listed("a", state=api.WorkerState.GONE).targets), "b"),
        (fx.DirectoryHeartbeat(), "ab"),
        (None, "ab"),
    ],
    ids=["changes", "whole list", "older list", "beat", "nothing"],
)
def test_new_process_waits_for_its_agent_before_the_first_attempt(
    word: fx.Event | None, sent: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The agent's updates count as delivered at once, and the configured list may name a draining worker. An
    agent without messages delays the start by 2 s."""
    play = ReducerHarness(config=settings(list_on_request=False))
    received = record_lists(play, monkeypatch)
    play.tell(KNOWN, fx.ListenerOpened(), fx.ClientConnected(1), arrived(1))
    assert not [effect for effect in play.asked if isinstance(effect, fx.ConnectWorker)]
    assert not play.reducer.state.ready()
    if word is None:
        play.advance(AGENT_START_TIMEOUT - 10 * MS)
        assert not received
        play.advance(20 * MS)
        play.tell(fx.ClientConnected(2), arrived(2))
    else:
        play.tell(word)
    assert play.reducer.state.ready()
    assert [event.kind for event in received] == [api.ListKind.FULL], (
        "one merged list, never the outdated one first"
    )
    connects = [effect for effect in play.asked if isinstance(effect, fx.ConnectWorker)]
    assert len(connects) == 1
    assert play.reducer.state.connections[connects[0].conn].worker_id in sent


FLEETS = pytest.mark.parametrize("schedulers", [1, 5, 40, 200])


def watch_times(play: ReducerHarness, span: int) -> list[int]:
    """Return the times of the watch requests within the span."""
    begun, at = play.now, list[int]()
    while play.now < begun + span:
        at += [play.now - begun for _ in watch_requests(play.advance(5 * MS))]
    return at


def fleet(schedulers: int) -> list[ReducerHarness]:
    """Return schedulers whose watch has just received a message."""
    plays = []
    for me in range(schedulers):
        config = replace(settings(list_on_request=True, scheduler_count=schedulers), scheduler_index=me)
        plays.append(ReducerHarness(config=config))
        plays[-1].tell(fx.WorkersListed(api.ListKind.STALE, 7, listed("a", "b").targets), fx.ListenerOpened())
        plays[-1].tell(listed("a", "b"))
        plays[-1].reducer.state.watching = plays[-1].reducer.module.list_requested = True
    return plays


def crowd(times: list[int], span: int) -> int:
    """Return the highest number of times within any such span."""
    return max(sum(at <= other < at + span for other in times) for at in times)


@FLEETS
def test_timed_out_watch_is_reopened_before_missed_updates_count_as_delivered(schedulers: int) -> None:
    """With 200 schedulers the call after a time-out came 11.5 to 21.8 s late, and a worker that drained
    meanwhile still got jobs. The calls must also be spread over time."""
    calls = [watch_times(play, UPDATE_DEADLINE) for play in fleet(schedulers)]
    first = [at[0] for at in calls]
    assert max(first) <= UPDATE_DEADLINE - ANSWER_TIMEOUT, "a response may take 2 s"
    assert min(first) >= WATCH_TIMEOUT
    assert crowd(first, 10 * MS) <= 3, "all schedulers share one directory"


@FLEETS
def test_schedulers_call_a_new_address_spread_and_in_time(schedulers: int) -> None:
    """After SIGHUP all 200 schedulers called at once: most calls failed, and the retries were too late."""
    calls = []
    for play in fleet(schedulers):
        play.tell(fx.ConfigurationReloaded(("127.0.0.1", 9)))
        calls.append(watch_times(play, MOVE_DEADLINE)[0])
    assert max(calls) <= MOVE_DEADLINE - ANSWER_TIMEOUT
    assert crowd(calls, 10 * MS) <= 3


OUTAGE = 8 * SECOND
FAILS = {  # when a call fails while discovery is down; None: never
    "refused": 0,
    "cut in the middle of a list": 100 * MS,
    "503": 2 * SECOND,
    "accepted, then silent": None,
}


def calls_in_an_outage(play: ReducerHarness, fails: int | None, reload_at: int) -> list[int]:
    """Return the times of the calls from a lost watch to the first call after `OUTAGE`.

    At `reload_at` the directory moves to a new address; 0: it does not."""
    begun, at, ends = play.now, list[int](), list[int]()
    play.tell(fx.WatchLost("reset"))
    while not at or at[-1] < OUTAGE:
        assert play.now < begun + OUTAGE + UPDATE_DEADLINE, "it has stopped calling"
        effects = play.advance(5 * MS)
        past = play.now - begun
        if past == reload_at:
            ends.clear()
            effects += play.tell(fx.ConfigurationReloaded(("127.0.0.1", 9)))
        if any(isinstance(effect, fx.StopWatch) for effect in effects):
            ends.clear()  # the call was abandoned
        for _ in watch_requests(effects):
            at.append(past)
            if fails is not None:
                ends.append(past + fails)
        if ends and past >= ends[0]:
            ends.clear()
            play.tell(fx.WatchLost("it failed"))
    return at


@pytest.mark.parametrize("reload_at", [0, 3 * SECOND], ids=["", "a new address meanwhile"])
@pytest.mark.parametrize("how", FAILS)
@FLEETS
def test_discovery_is_called_after_an_outage_before_updates_count_as_delivered(
    schedulers: int, how: str, reload_at: int
) -> None:
    """Updates count as delivered 6 s after discovery is reachable, whatever failed before, and a response may
    take 2 s of these. The module's backoff reached 19 s at 200 schedulers, doubled call delays 14 s. The
    call rate must also stay within what one directory can answer."""
    plays = fleet(schedulers)[:: max(1, schedulers // 20)]
    calls = [calls_in_an_outage(play, FAILS[how], reload_at) for play in plays]
    back = [at[-1] - OUTAGE for at in calls]
    assert max(back) <= UPDATE_DEADLINE - ANSWER_TIMEOUT
    every = sorted(at for times in calls for at in times if at >= SECOND)
    rate = crowd(every, SECOND) * schedulers / len(plays)
    assert rate <= max(3 * schedulers, 40) if schedulers <= 40 else rate <= 1.2 * schedulers
    assert max(len(times) for times in calls) <= 25, "the backoff grows"
    play = plays[0]
    play.tell(listed("a"))
    assert play.reducer.state.watch_losses == 0, "the backoff is reset"


def test_lost_watch_is_not_requested_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    """The module may request a watch while the next call is already scheduled."""
    (play,) = fleet(1)
    monkeypatch.setattr(play.reducer.module, "handle", lambda now, event: [api.Watch()])
    play.tell(fx.WatchLost("reset"))
    assert not watch_requests(play.tell(fx.ClientConnected(1), arrived(1)))
    assert len(watch_requests(play.advance(SECOND))) == 1


@pytest.mark.parametrize(("grace", "most"), [(250 * MS, 100 * MS), (3 * SECOND, SECOND)])
def test_restarted_agent_is_watched_within_the_drain_grace_period(grace: int, most: int) -> None:
    """After an outage the agent's updates count as delivered at once, but the backoff had grown to 1 s."""
    config = settings(list_on_request=False)
    play = ReducerHarness(config=replace(config, rules=replace(config.rules, drain_grace=grace)))
    play.tell(KNOWN, fx.ListenerOpened(), fx.DirectoryHeartbeat())
    times = []
    for _ in range(200):
        play.tell(fx.WatchLost("connection refused"))
        times.append(watch_times(play, 2 * SECOND)[0])
    assert max(times) <= most
    assert min(times[3:]) >= 40 * MS, "no busy loop"


def test_heartbeats_that_stop_time_the_watch_out() -> None:
    play = pushed()
    begun = len(play.asked)
    play.advance(WATCH_TIMEOUT + 200 * MS)
    assert any(isinstance(effect, fx.StopWatch) for effect in play.asked[begun:])
    assert len(watch_requests(play.asked[begun:])) == 1, "it is reopened"
    play.tell(fx.DirectoryHeartbeat())
    assert not play.reducer.state.watch_losses


def test_outdated_complete_list_removes_workers_that_it_omits() -> None:
    """After a directory restart, workers missing from its list have left and must get no jobs."""
    play = pushed(fx.WorkersListed(api.ListKind.CHANGES, 50, listed("c").targets))
    assert set(play.reducer.state.workers) == {"a", "b", "c"}
    play.tell(fx.WorkersListed(api.ListKind.FULL, 45, listed("a", "b", "d").targets))
    assert set(play.reducer.state.workers) == {"a", "b"}


def test_connection_with_an_unfinished_response_is_closed_for_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The rest of a response whose result is known must not hold the last descriptor for attempts."""
    play, hosts = ReducerHarness(Budget(10, 1)), iter("ab")
    play.tell(listed("a", "b"), fx.ClientConnected(1), fx.ClientConnected(2))
    monkeypatch.setattr(
        play.reducer.module,
        "handle",
        lambda now, event: [api.Send(event.id, next(hosts))] if isinstance(event, api.Request) else [],
    )
    first = conn_of(play.tell(arrived(1)))
    play.tell(fx.WorkerConnected(first), fx.AttemptWritten(first), fx.OutcomeReceived(first, api.Reason.OK))
    assert conn_of(play.tell(arrived(2))) != first
    assert not play.faults()
