"""`SessionChoice` with nodes that lose their majority, become unreachable, stop and return."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.common.messages import ControlMember
from reedspoke.data_plane.session_choice import (
    CONNECT_BURST,
    CONNECTS_PER_S,
    MAX_OPEN_SESSIONS,
    TARGET_SESSIONS,
    TARGET_SESSIONS_IN_DOUBT,
    ConnectRateLimit,
    SessionChoice,
)
from tests.data_plane.session_world import (
    OWN_ZONE,
    ROUND_TRIP_S,
    STEP_S,
    SessionWorld,
    State,
    fleet,
    stable_world,
)

APPLY_S = 2.0
SOON_S = 3 * ROUND_TRIP_S + 2 * STEP_S  # where a response makes the caller check at once
MAX_DETECTION_S = 1.0  # from the last response before a partition: two missed responses and a connection
SEEDS = range(6)


def zones_of(world: SessionWorld) -> set[str]:
    return {world.zones[address] for address in world.sessions}


# ---- no failures ----


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("size", "zone_count"), [(2, 2), (3, 3), (5, 3), (15, 5), (4, 1)])
def test_two_sessions_stay_open_while_nothing_fails(size: int, zone_count: int, seed: int) -> None:
    world = stable_world(size, zone_count, seed)
    assert len(world.sessions) == TARGET_SESSIONS
    assert len(zones_of(world)) == min(2, zone_count)
    assert OWN_ZONE in zones_of(world)
    initial = set(world.sessions)
    connects = len(world.connects)
    world.run_for(60)
    assert set(world.sessions) == initial
    assert len(world.connects) == connects


def test_single_node_gets_one_connection_only() -> None:
    world = stable_world(1, 1)
    assert set(world.sessions) == {"c0:1"}
    assert len(world.connects) == 1


# ---- partitions ----


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("size", [3, 5, 7, 15])
def test_one_of_two_sessions_loses_its_majority(size: int, seed: int) -> None:
    world = stable_world(size, seed=seed)
    partitioned, kept = sorted(world.sessions)
    world.states[partitioned] = State.NO_MAJORITY
    world.run_for(SOON_S)
    assert partitioned not in world.sessions
    assert kept in world.confirmed_addresses()
    assert len(world.confirmed_addresses()) == TARGET_SESSIONS


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("size", [5, 7, 15])
def test_both_sessions_lead_to_a_minority(size: int, seed: int) -> None:
    """Partitioned nodes list only themselves, so the addresses come from earlier member lists."""
    world = stable_world(size, seed=seed)
    for address in world.sessions:
        world.states[address] = State.NO_MAJORITY
    assert world.run_until_confirmed(APPLY_S) <= SOON_S
    world.run_for(0.3)
    assert len(world.confirmed_addresses()) == TARGET_SESSIONS
    assert set(world.sessions) == world.confirmed_addresses()


@pytest.mark.parametrize("seed", range(30))
@pytest.mark.parametrize("size", [5, 7, 15])
def test_both_sessions_lead_to_the_largest_minority(size: int, seed: int) -> None:
    world = stable_world(size, seed=seed)
    others = sorted(set(world.states) - set(world.sessions))
    Random(seed).shuffle(others)
    minority = [*world.sessions, *others][: (size - 1) // 2]
    for address in minority:
        world.states[address] = State.NO_MAJORITY
    assert world.run_until_confirmed(APPLY_S) <= 1.0


@pytest.mark.parametrize("seed", range(30))
@pytest.mark.parametrize("size", [5, 7, 15])
def test_a_minority_becomes_unreachable(size: int, seed: int) -> None:
    """No response at all, neither on open sessions nor on new connections."""
    world = stable_world(size, seed=seed)
    others = sorted(set(world.states) - set(world.sessions))
    Random(seed).shuffle(others)
    for address in [*world.sessions, *others][: (size - 1) // 2]:
        world.states[address] = State.UNREACHABLE
    assert world.run_until_confirmed(APPLY_S) <= 1.6


@pytest.mark.parametrize("seed", SEEDS)
def test_other_nodes_are_found_before_two_unreachable_sessions_time_out(seed: int) -> None:
    world = stable_world(5, seed=seed)
    for address in world.sessions:
        world.states[address] = State.UNREACHABLE
    assert world.run_until_confirmed(APPLY_S) <= MAX_DETECTION_S


@pytest.mark.parametrize("seed", range(20))
def test_start_with_two_of_three_seeds_unusable(seed: int) -> None:
    zones = fleet(3)
    for states in (
        [State.NO_MAJORITY, State.NO_MAJORITY, State.CONFIRMED],
        [State.UNREACHABLE, State.UNREACHABLE, State.CONFIRMED],
        [State.UNREACHABLE, State.NO_MAJORITY, State.CONFIRMED],
        [State.DOWN, State.UNREACHABLE, State.CONFIRMED],
    ):
        world = SessionWorld(dict(zip(zones, states, strict=True)), zones, seed)
        world.choice.set_seeds(zones)
        assert world.run_until_confirmed(APPLY_S) <= 0.6


@pytest.mark.parametrize("seed", SEEDS)
def test_new_seeds_are_used_while_all_known_nodes_are_down(seed: int) -> None:
    world = stable_world(3, seed=seed)
    for address in world.states:
        world.states[address] = State.DOWN
    world.run_for(20)
    world.states["new:1"], world.zones["new:1"] = State.CONFIRMED, "zb"
    world.choice.set_seeds(["new:1"])
    assert world.run_until_confirmed(APPLY_S) <= 1.0


@pytest.mark.parametrize("seed", SEEDS)
def test_members_listed_without_a_majority_are_tried(seed: int) -> None:
    zones = {"c0:1": "za", "c1:1": "zb"}
    world = SessionWorld({"c0:1": State.NO_MAJORITY, "c1:1": State.CONFIRMED}, zones, seed)
    world.choice.set_seeds(["c0:1"])
    world.run_for(0.1)
    assert set(world.sessions) == {"c0:1"}
    world.choice.record_unconfirmed("c0:1", world.members("c1:1"), world.now)
    assert world.run_until_confirmed(APPLY_S) <= 0.2


@pytest.mark.parametrize("seed", SEEDS)
def test_node_that_regains_its_majority_is_used(seed: int) -> None:
    world = stable_world(3, seed=seed)
    for address in world.states:
        world.states[address] = State.NO_MAJORITY
    world.run_for(20)
    world.states["c1:1"] = State.CONFIRMED
    assert world.run_until_confirmed(APPLY_S) <= 1.0


# ---- no node has a majority ----


@pytest.mark.parametrize("state", [State.NO_MAJORITY, State.UNREACHABLE, State.DOWN])
@pytest.mark.parametrize("size", [1, 2, 3, 5, 15])
def test_connects_are_bounded_while_no_node_has_a_majority(size: int, state: State) -> None:
    world = stable_world(size)
    world.connects.clear()
    for address in world.states:
        world.states[address] = state
    world.run_for(60)
    assert len(world.connects) <= CONNECT_BURST + 60 * CONNECTS_PER_S
    for start in range(60):
        within = [at for at, _ in world.connects if 100 + 5 + start <= at < 100 + 6 + start]
        assert len(within) <= CONNECT_BURST + CONNECTS_PER_S
    assert world.max_sessions <= MAX_OPEN_SESSIONS
    if state is State.NO_MAJORITY:
        # Sessions without a majority are kept: the first node to regain one reports it on them.
        assert len(world.sessions) >= min(size, TARGET_SESSIONS)


@pytest.mark.parametrize("size", [3, 5, 7, 15])
@pytest.mark.parametrize("state", [State.NO_MAJORITY, State.UNREACHABLE, State.DOWN])
@pytest.mark.parametrize("seed", SEEDS)
def test_majority_is_found_soon_after_a_long_time_without_one(size: int, state: State, seed: int) -> None:
    world = stable_world(size, seed=seed)
    for address in world.states:
        world.states[address] = state
    world.run_for(30 + 0.37 * seed)
    for address in sorted(world.states)[: size // 2 + 1]:
        world.states[address] = State.CONFIRMED
    assert world.run_until_confirmed(4.0) <= APPLY_S


# ---- flapping ----


@pytest.mark.parametrize("seed", SEEDS)
def test_flapping_node_is_not_used(seed: int) -> None:
    world = stable_world(5, seed=seed)
    flapping = min(world.sessions)
    for turn in range(40):
        world.states[flapping] = State.NO_MAJORITY if turn % 2 else State.CONFIRMED
        world.run_for(0.25)
    assert flapping not in world.sessions
    assert len(world.confirmed_addresses()) == TARGET_SESSIONS


@pytest.mark.parametrize("seed", SEEDS)
def test_connects_are_bounded_while_all_nodes_flap(seed: int) -> None:
    world = stable_world(5, seed=seed)
    world.connects.clear()
    random = Random(seed)
    for _ in range(200):
        for address in world.states:
            world.states[address] = random.choice([State.CONFIRMED, State.NO_MAJORITY, State.DOWN])
        world.run_for(0.2)
    assert len(world.connects) <= CONNECT_BURST + 40 * CONNECTS_PER_S
    assert world.max_sessions <= MAX_OPEN_SESSIONS


# ---- single decisions ----


def choice_of(*members: tuple[str, str]) -> SessionChoice:
    choice = SessionChoice(Random(1))
    choice.add_members([ControlMember(address, zone) for address, zone in members], 0.0)
    return choice


def test_own_zone_is_preferred_then_another_zone() -> None:
    choice = choice_of(("a", "zb"), ("b", "za"), ("c", "za"), ("d", "zb"))
    first = choice.next_member(1.0, "za", in_doubt=False)
    assert first is not None
    assert first.zone == "za"
    choice.session_opened(first.address, 1.0)
    second = choice.next_member(1.0, "za", in_doubt=False)
    assert second is not None
    assert second.zone == "zb"
    choice.session_opened(second.address, 1.0)
    assert choice.next_member(1.0, "za", in_doubt=False) is None


def test_additional_session_in_doubt_is_closed_again() -> None:
    choice = choice_of(("a", "za"), ("b", "zb"), ("c", "za"))
    now = 1.0
    opened = []
    while (member := choice.next_member(now, "za", in_doubt=True)) is not None:
        choice.session_opened(member.address, now)
        opened.append(member.address)
    assert len(opened) == TARGET_SESSIONS_IN_DOUBT
    left = []
    for _ in range(30):
        now += 0.1
        for address in opened:
            choice.record_confirmed(address, now)
        assert choice.next_member(now, "za", in_doubt=False) is None
        left = [address for address in opened if choice.should_close(address, now)]
    assert len(left) == 1
    assert left[0] in ("a", "c")  # sessions in two zones are kept


def test_confirmed_session_is_not_closed_for_another() -> None:
    choice = choice_of(("a", "za"), ("b", "zb"), ("c", "zc"))
    choice.session_opened("a", 1.0)
    choice.record_confirmed("a", 1.1)
    choice.next_member(1.1, "za", in_doubt=False)
    assert not choice.should_close("a", 1.2)


def test_unconfirmed_session_is_kept_while_no_other_node_can_be_tried() -> None:
    choice = choice_of(("a", "za"), ("b", "zb"))
    choice.next_member(1.0, "za", in_doubt=False)
    for address in ("a", "b"):
        choice.session_opened(address, 1.0)
    choice.record_confirmed("b", 1.1)
    choice.record_unconfirmed("a", [], 1.1)
    assert not choice.should_close("a", 1.2)
    choice.add_members([ControlMember("c", "zc")], 1.3)
    assert choice.should_close("a", 1.3)


def test_session_unconfirmed_for_longer_is_closed_first() -> None:
    choice = choice_of(("a", "za"), ("b", "zb"), ("c", "zc"), ("d", "zc"))
    choice.next_member(1.0, "za", in_doubt=False)
    for address in ("a", "b"):
        choice.session_opened(address, 1.0)
    choice.record_unconfirmed("b", [], 1.1)
    choice.record_unconfirmed("a", [], 1.2)
    assert [address for address in ("a", "b") if choice.should_close(address, 1.3)] == ["b"]
    choice.session_ended("b", 1.3)
    assert not choice.should_close("a", 1.3)  # its place is not needed any more
    member = choice.next_member(1.3, "za", in_doubt=False)
    assert member is not None
    assert member.address in ("c", "d")


def test_unknown_address_is_ignored() -> None:
    choice = choice_of()
    choice.record_confirmed("x", 1.0)
    choice.record_unconfirmed("x", [], 1.0)
    choice.session_ended("x", 1.0)
    assert not choice.should_close("x", 1.0)
    assert choice.next_member(1.0, "za", in_doubt=True) is None


def test_connects_are_rate_limited() -> None:
    limit = ConnectRateLimit()
    spent = 0
    while limit.available(50.0):
        limit.consume(50.0)
        spent += 1
    assert spent == CONNECT_BURST
    assert not limit.available(50.0 + 0.5 / CONNECTS_PER_S)
    assert limit.available(50.0 + 1.01 / CONNECTS_PER_S)


# ---- random changes ----

STATES = st.sampled_from(State)


@settings(max_examples=60, deadline=None)
@given(
    size=st.integers(1, 7),
    zone_count=st.integers(1, 3),
    seed=st.integers(0, 1000),
    changes=st.lists(st.tuples(st.integers(0, 6), STATES, st.floats(0.0, 3.0)), max_size=12),
)
def test_for_any_changes_sessions_are_bounded_and_a_majority_is_found(
    size: int, zone_count: int, seed: int, changes: list[tuple[int, State, float]]
) -> None:
    world = stable_world(size, zone_count, seed)
    for number, state, passed in changes:
        world.states[f"c{number % size}:1"] = state
        world.run_for(passed)
    assert world.max_sessions <= MAX_OPEN_SESSIONS
    assert len(world.connects) <= CONNECT_BURST + (world.now - 100) * CONNECTS_PER_S
    for number in range(size // 2 + 1):
        world.states[f"c{number}:1"] = State.CONFIRMED
    world.run_until_confirmed(2.5)
    world.run_for(8)
    with_majority = sum(state is State.CONFIRMED for state in world.states.values())
    assert len(world.confirmed_addresses()) == min(TARGET_SESSIONS, with_majority)
    assert len(world.sessions) <= MAX_OPEN_SESSIONS
