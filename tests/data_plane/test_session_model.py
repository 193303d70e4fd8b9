"""Sessions, subscription and confirmation together against a control plane that is cut, stopped and changed.

What must hold: while there is no doubt (so that requests without a route are refused for good), whatever was
acknowledged longer than `APPLY_S` ago is in force; versions only rise; and who has a path to a control
scheduler with a majority is soon without doubt.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from reedspoke.common.messages import CONFIGURATION
from reedspoke.data_plane import control_session
from reedspoke.data_plane.session_choice import CONNECT_BURST, CONNECTS_PER_S, TARGET_SESSIONS
from tests.data_plane.fleet_model import APPLY_S, CATCH_UP_S, CONTACT_S, FleetModel

SOON_S = 0.2  # fetch and confirmation over a session that is in reach
Models = Callable[..., FleetModel]


def fresh_model(monkeypatch: pytest.MonkeyPatch, size: int = 5, seed: int = 1) -> FleetModel:
    model = FleetModel(size, seed)
    monkeypatch.setattr(control_session, "open_channel", model.open)
    return model


@pytest.fixture
def models(monkeypatch: pytest.MonkeyPatch) -> Iterator[Models]:
    made: list[FleetModel] = []

    def make(size: int = 5, seed: int = 1, calm_s: float = 3.0) -> FleetModel:
        made.append(fresh_model(monkeypatch, size, seed))
        if calm_s:
            made[-1].run_for(calm_s)
        return made[-1]

    yield make
    for model in made:
        model.close()


def followed(model: FleetModel) -> set[int]:
    """The control schedulers of the sessions that count."""
    addresses = {control.member.address: number for number, control in enumerate(model.controls)}
    return {addresses[address] for address in model.sessions._choice.confirmed_addresses(model.loop.time())}


def until_certain(model: FleetModel, most_s: float) -> float:
    began = model.loop.time()
    while model.in_doubt():
        model.run_for(0.02)
        assert model.loop.time() - began < most_s
    return model.loop.time() - began


SEEDS = range(8)


@pytest.mark.parametrize("seed", SEEDS)
def test_calm_times_know_no_doubt(models: Models, seed: int) -> None:
    model = models(seed=seed)
    dials = model.dials
    for _ in range(40):
        model.run_for(0.5)
        assert not model.in_doubt()
    assert model.dials == dials


@pytest.mark.parametrize("seed", SEEDS)
def test_a_change_is_in_force_at_once(models: Models, seed: int) -> None:
    model = models(seed=seed)
    model.commit()
    model.run_for(SOON_S)
    assert model.made.version(CONFIGURATION) == model.committed[-1][1]
    assert not model.in_doubt()


@pytest.mark.parametrize("seed", SEEDS)
def test_both_sessions_lead_to_a_minority_that_is_cut_off_for_twenty_seconds(
    models: Models, seed: int
) -> None:
    """The case that users met. A change comes at once behind the cut, and others later."""
    model = models(seed=seed)
    model.cut(followed(model))
    model.commit()
    committed_at = model.loop.time()
    while model.made.version(CONFIGURATION) < model.committed[-1][1]:
        model.run_for(0.02)
        assert model.loop.time() - committed_at < APPLY_S
    until_certain(model, SOON_S)
    for _ in range(20):
        model.run_for(1)
        model.commit()
        model.run_for(SOON_S)
        assert model.made.version(CONFIGURATION) == model.committed[-1][1]
        assert not model.in_doubt()
    model.cut(set())
    model.run_for(10)
    assert not model.in_doubt()
    assert len(followed(model)) == TARGET_SESSIONS


@pytest.mark.parametrize("seed", SEEDS)
def test_one_session_leads_to_one_that_is_cut_off(models: Models, seed: int) -> None:
    model = models(seed=seed)
    cut, _ = sorted(followed(model))
    model.cut({cut})
    model.commit()
    model.run_for(SOON_S)
    assert model.made.version(CONFIGURATION) == model.committed[-1][1]
    model.run_for(CONTACT_S + 0.5)
    assert cut not in followed(model)
    assert len(followed(model)) == TARGET_SESSIONS


@pytest.mark.parametrize("seed", SEEDS)
def test_who_has_a_path_to_the_minority_only_is_in_doubt_and_keeps_what_it_has(
    models: Models, seed: int
) -> None:
    model = models(seed=seed)
    held = model.made.version(CONFIGURATION)
    model.cut({0, 1})
    model.reach({0, 1})
    model.commit()
    model.run_for(APPLY_S)
    for _ in range(40):
        model.run_for(0.5)
        assert model.in_doubt()
    assert model.made.version(CONFIGURATION) == held
    model.reach(set(range(5)))
    assert until_certain(model, APPLY_S) < APPLY_S


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("lost", [{0, 1}, {0, 2}, {3, 4}, {0}])
def test_the_ways_to_some_are_dark(models: Models, lost: set[int], seed: int) -> None:
    model = models(seed=seed)
    model.reach(set(range(5)) - lost)
    model.commit()
    committed_at = model.loop.time()
    while model.made.version(CONFIGURATION) < model.committed[-1][1]:
        model.run_for(0.02)
        assert model.loop.time() - committed_at < APPLY_S - 0.5


@pytest.mark.parametrize("seed", SEEDS)
def test_a_stopped_process_is_in_doubt_until_it_is_told_anew(models: Models, seed: int) -> None:
    model = models(seed=seed)
    model.stop_process_for(5)
    assert model.in_doubt()
    until_certain(model, 1.0)
    assert model.made.version(CONFIGURATION) == model.committed[-1][1]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("lost", [{0, 1}, {2, 4}, {1, 3}])
def test_a_start_while_a_minority_of_the_seeds_is_cut_off(models: Models, lost: set[int], seed: int) -> None:
    model = models(seed=seed, calm_s=0.0)
    model.cut(lost)
    model.commit()
    model.run_for(CONTACT_S + 0.2)
    assert not model.in_doubt()
    assert model.made.version(CONFIGURATION) == model.committed[-1][1]
    assert not followed(model) & lost


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("reached", [0, 1, 2, 3, 4])
def test_a_start_with_a_path_to_one_seed_only(models: Models, reached: int, seed: int) -> None:
    """Connections to the others take their time to fail: they must not keep it from being tried."""
    model = models(seed=seed, calm_s=0.0)
    model.reach({reached})
    assert until_certain(model, APPLY_S) <= 1.0


@pytest.mark.parametrize("seed", SEEDS)
def test_majorities_that_come_and_go(models: Models, seed: int) -> None:
    model = models(seed=seed)
    dials, began = model.dials, model.loop.time()
    for turn in range(30):
        model.cut({turn % 5, (turn + 2) % 5})
        model.commit()
        model.run_for(0.7)
    passed = model.loop.time() - began
    assert model.dials - dials <= CONNECT_BURST + passed * CONNECTS_PER_S
    model.cut(set())
    until_certain(model, APPLY_S)


PARTS = st.sets(st.integers(0, 4))
Event = tuple[str, set[int]]
EVENTS: st.SearchStrategy[Event] = st.one_of(
    st.tuples(st.just("cut"), PARTS),
    st.tuples(st.just("reach"), PARTS),
    st.tuples(st.just("commit"), st.just(set())),
    st.tuples(st.just("stop"), PARTS),
)


def happen(model: FleetModel, event: Event) -> None:
    kind, numbers = event
    match kind:
        case "cut":
            model.cut(numbers)
        case "reach":
            model.reach(numbers)
        case "commit":
            model.commit()
        case "stop":
            model.stop_process_for(float(sum(numbers)))


@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(
    seed=st.integers(0, 1000),
    events=st.lists(st.tuples(EVENTS, st.floats(0.0, 3.0)), min_size=4, max_size=20),
)
def test_whatever_happens_it_is_never_wrong_without_doubt(
    monkeypatch: pytest.MonkeyPatch,
    seed: int,
    events: list[tuple[Event, float]],
) -> None:
    model = fresh_model(monkeypatch, 5, seed)
    try:
        for event, passed in events:
            happen(model, event)
            model.run_for(passed)
        versions = [version for _, version in model.heard.configurations]
        assert versions == sorted(set(versions))
        model.cut(set())
        model.reach(set(range(5)))
        model.run_for(CATCH_UP_S)
        until_certain(model, 1.25 * APPLY_S)
        model.run_for(APPLY_S)
        assert not model.in_doubt()
        assert model.made.version(CONFIGURATION) == model.committed[-1][1]
    finally:
        model.close()
