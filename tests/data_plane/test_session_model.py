"""Sessions, subscription and confirmation with a model control plane: partitions, suspensions and changes.

The properties: while the configuration is not in doubt (so that a request without a route gets 404), every
change acknowledged longer than `APPLY_S` ago is in force; versions only rise; and with a path to a control
plane node that has a majority, the configuration is soon not in doubt.
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

SOON_S = 0.2  # for a fetch and a confirmation on an open session
Models = Callable[..., FleetModel]


def fresh_model(monkeypatch: pytest.MonkeyPatch, size: int = 5, seed: int = 1) -> FleetModel:
    model = FleetModel(size, seed)
    monkeypatch.setattr(control_session, "open_channel", model.open)
    return model


@pytest.fixture
def models(monkeypatch: pytest.MonkeyPatch) -> Iterator[Models]:
    created: list[FleetModel] = []

    def make(size: int = 5, seed: int = 1, warm_up_s: float = 3.0) -> FleetModel:
        created.append(fresh_model(monkeypatch, size, seed))
        if warm_up_s:
            created[-1].run_for(warm_up_s)
        return created[-1]

    yield make
    for model in created:
        model.close()


def confirmed_nodes(model: FleetModel) -> set[int]:
    """The numbers of the control plane nodes with a confirmed session."""
    addresses = {control.member.address: number for number, control in enumerate(model.controls)}
    return {addresses[address] for address in model.sessions._choice.confirmed_addresses(model.loop.time())}


def run_until_not_in_doubt(model: FleetModel, timeout_s: float) -> float:
    began = model.loop.time()
    while model.in_doubt():
        model.run_for(0.02)
        assert model.loop.time() - began < timeout_s
    return model.loop.time() - began


SEEDS = range(8)


@pytest.mark.parametrize("seed", SEEDS)
def test_never_in_doubt_without_failures(models: Models, seed: int) -> None:
    model = models(seed=seed)
    connects = model.connect_count
    for _ in range(40):
        model.run_for(0.5)
        assert not model.in_doubt()
    assert model.connect_count == connects


@pytest.mark.parametrize("seed", SEEDS)
def test_change_is_in_force_at_once(models: Models, seed: int) -> None:
    model = models(seed=seed)
    model.commit()
    model.run_for(SOON_S)
    assert model.subscription.version(CONFIGURATION) == model.committed[-1][1]
    assert not model.in_doubt()


@pytest.mark.parametrize("seed", SEEDS)
def test_both_sessions_lead_to_a_minority_partitioned_for_twenty_seconds(models: Models, seed: int) -> None:
    """A reported fault: changes acknowledged by the majority, at once and later, did not arrive."""
    model = models(seed=seed)
    model.partition(confirmed_nodes(model))
    model.commit()
    committed_at = model.loop.time()
    while model.subscription.version(CONFIGURATION) < model.committed[-1][1]:
        model.run_for(0.02)
        assert model.loop.time() - committed_at < APPLY_S
    run_until_not_in_doubt(model, SOON_S)
    for _ in range(20):
        model.run_for(1)
        model.commit()
        model.run_for(SOON_S)
        assert model.subscription.version(CONFIGURATION) == model.committed[-1][1]
        assert not model.in_doubt()
    model.partition(set())
    model.run_for(10)
    assert not model.in_doubt()
    assert len(confirmed_nodes(model)) == TARGET_SESSIONS


@pytest.mark.parametrize("seed", SEEDS)
def test_one_session_leads_to_a_partitioned_node(models: Models, seed: int) -> None:
    model = models(seed=seed)
    partitioned, _ = sorted(confirmed_nodes(model))
    model.partition({partitioned})
    model.commit()
    model.run_for(SOON_S)
    assert model.subscription.version(CONFIGURATION) == model.committed[-1][1]
    model.run_for(CONTACT_S + 0.5)
    assert partitioned not in confirmed_nodes(model)
    assert len(confirmed_nodes(model)) == TARGET_SESSIONS


@pytest.mark.parametrize("seed", SEEDS)
def test_with_a_path_to_the_minority_only_it_is_in_doubt_and_keeps_its_configuration(
    models: Models, seed: int
) -> None:
    model = models(seed=seed)
    initial_version = model.subscription.version(CONFIGURATION)
    model.partition({0, 1})
    model.set_reachable({0, 1})
    model.commit()
    model.run_for(APPLY_S)
    for _ in range(40):
        model.run_for(0.5)
        assert model.in_doubt()
    assert model.subscription.version(CONFIGURATION) == initial_version
    model.set_reachable(set(range(5)))
    assert run_until_not_in_doubt(model, APPLY_S) < APPLY_S


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("lost", [{0, 1}, {0, 2}, {3, 4}, {0}])
def test_some_nodes_are_unreachable(models: Models, lost: set[int], seed: int) -> None:
    model = models(seed=seed)
    model.set_reachable(set(range(5)) - lost)
    model.commit()
    committed_at = model.loop.time()
    while model.subscription.version(CONFIGURATION) < model.committed[-1][1]:
        model.run_for(0.02)
        assert model.loop.time() - committed_at < APPLY_S - 0.5


@pytest.mark.parametrize("seed", SEEDS)
def test_suspended_process_is_in_doubt_until_the_next_response(models: Models, seed: int) -> None:
    model = models(seed=seed)
    model.stop_process_for(5)
    assert model.in_doubt()
    run_until_not_in_doubt(model, 1.0)
    assert model.subscription.version(CONFIGURATION) == model.committed[-1][1]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("lost", [{0, 1}, {2, 4}, {1, 3}])
def test_start_while_a_minority_of_the_seeds_is_partitioned(
    models: Models, lost: set[int], seed: int
) -> None:
    model = models(seed=seed, warm_up_s=0.0)
    model.partition(lost)
    model.commit()
    model.run_for(CONTACT_S + 0.2)
    assert not model.in_doubt()
    assert model.subscription.version(CONFIGURATION) == model.committed[-1][1]
    assert not confirmed_nodes(model) & lost


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("reached", [0, 1, 2, 3, 4])
def test_start_with_a_path_to_one_seed_only(models: Models, reached: int, seed: int) -> None:
    """Connections to the other seeds are slow to fail and must not delay the attempt to this one."""
    model = models(seed=seed, warm_up_s=0.0)
    model.set_reachable({reached})
    assert run_until_not_in_doubt(model, APPLY_S) <= 1.0


@pytest.mark.parametrize("seed", SEEDS)
def test_changing_majorities(models: Models, seed: int) -> None:
    model = models(seed=seed)
    connects, began = model.connect_count, model.loop.time()
    for turn in range(30):
        model.partition({turn % 5, (turn + 2) % 5})
        model.commit()
        model.run_for(0.7)
    passed = model.loop.time() - began
    assert model.connect_count - connects <= CONNECT_BURST + passed * CONNECTS_PER_S
    model.partition(set())
    run_until_not_in_doubt(model, APPLY_S)


PARTS = st.sets(st.integers(0, 4))
Event = tuple[str, set[int]]
EVENTS: st.SearchStrategy[Event] = st.one_of(
    st.tuples(st.just("cut"), PARTS),
    st.tuples(st.just("reach"), PARTS),
    st.tuples(st.just("commit"), st.just(set())),
    st.tuples(st.just("stop"), PARTS),
)


def apply_event(model: FleetModel, event: Event) -> None:
    kind, numbers = event
    match kind:
        case "cut":
            model.partition(numbers)
        case "reach":
            model.set_reachable(numbers)
        case "commit":
            model.commit()
        case "stop":
            model.stop_process_for(float(sum(numbers)))


@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(
    seed=st.integers(0, 1000),
    events=st.lists(st.tuples(EVENTS, st.floats(0.0, 3.0)), min_size=4, max_size=20),
)
def test_for_any_events_it_is_in_doubt_or_up_to_date(
    monkeypatch: pytest.MonkeyPatch,
    seed: int,
    events: list[tuple[Event, float]],
) -> None:
    model = fresh_model(monkeypatch, 5, seed)
    try:
        for event, passed in events:
            apply_event(model, event)
            model.run_for(passed)
        versions = [version for _, version in model.delivered.configurations]
        assert versions == sorted(set(versions))
        model.partition(set())
        model.set_reachable(set(range(5)))
        model.run_for(CATCH_UP_S)
        run_until_not_in_doubt(model, 1.25 * APPLY_S)
        model.run_for(APPLY_S)
        assert not model.in_doubt()
        assert model.subscription.version(CONFIGURATION) == model.committed[-1][1]
    finally:
        model.close()
