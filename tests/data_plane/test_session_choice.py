"""With whom sessions are kept, against control schedulers that are cut off, go dark, end and come back."""

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
    calm_world,
    fleet,
)

APPLY_S = 2.0
SOON_S = 3 * ROUND_TRIP_S + 2 * STEP_S  # where the news itself makes the caller look
QUIET_BOUND_S = 1.0  # from the last answer before a cut: two answers missed, and a connection
SEEDS = range(6)


def zones_of(world: SessionWorld) -> set[str]:
    return {world.zones[address] for address in world.links}


# ---- calm times ----


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("size", "zone_count"), [(2, 2), (3, 3), (5, 3), (15, 5), (4, 1)])
def test_in_calm_times_two_sessions_stand_and_stay(size: int, zone_count: int, seed: int) -> None:
    world = calm_world(size, zone_count, seed)
    assert len(world.links) == TARGET_SESSIONS
    assert len(zones_of(world)) == min(2, zone_count)
    assert OWN_ZONE in zones_of(world)
    stood = set(world.links)
    dials = len(world.dials)
    world.run_for(60)
    assert set(world.links) == stood
    assert len(world.dials) == dials


def test_where_there_is_one_control_scheduler_it_is_not_dialed_again() -> None:
    world = calm_world(1, 1)
    assert set(world.links) == {"c0:1"}
    assert len(world.dials) == 1


# ---- cuts ----


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("size", [3, 5, 7, 15])
def test_one_of_two_is_cut_off(size: int, seed: int) -> None:
    world = calm_world(size, seed=seed)
    cut, kept = sorted(world.links)
    world.states[cut] = State.CUT_OFF
    world.run_for(SOON_S)
    assert cut not in world.links
    assert kept in world.sound_links()
    assert len(world.sound_links()) == TARGET_SESSIONS


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("size", [5, 7, 15])
def test_both_are_cut_off_with_a_minority(size: int, seed: int) -> None:
    """The hints of those that are cut off name only themselves: earlier lists are what helps."""
    world = calm_world(size, seed=seed)
    for address in world.links:
        world.states[address] = State.CUT_OFF
    assert world.until_sound(APPLY_S) <= SOON_S
    world.run_for(0.3)
    assert len(world.sound_links()) == TARGET_SESSIONS
    assert set(world.links) == world.sound_links()


@pytest.mark.parametrize("seed", range(30))
@pytest.mark.parametrize("size", [5, 7, 15])
def test_both_are_cut_off_with_the_largest_minority(size: int, seed: int) -> None:
    world = calm_world(size, seed=seed)
    others = sorted(set(world.states) - set(world.links))
    Random(seed).shuffle(others)
    minority = [*world.links, *others][: (size - 1) // 2]
    for address in minority:
        world.states[address] = State.CUT_OFF
    assert world.until_sound(APPLY_S) <= 1.0


@pytest.mark.parametrize("seed", range(30))
@pytest.mark.parametrize("size", [5, 7, 15])
def test_a_minority_goes_dark(size: int, seed: int) -> None:
    """No answer at all: neither on the sessions that stand nor on new connections."""
    world = calm_world(size, seed=seed)
    others = sorted(set(world.states) - set(world.links))
    Random(seed).shuffle(others)
    for address in [*world.links, *others][: (size - 1) // 2]:
        world.states[address] = State.DARK
    assert world.until_sound(APPLY_S) <= 1.6


@pytest.mark.parametrize("seed", SEEDS)
def test_the_others_are_found_while_two_dark_sessions_still_stand(seed: int) -> None:
    world = calm_world(5, seed=seed)
    for address in world.links:
        world.states[address] = State.DARK
    assert world.until_sound(APPLY_S) <= QUIET_BOUND_S


@pytest.mark.parametrize("seed", range(20))
def test_start_with_two_of_three_seeds_cut_off(seed: int) -> None:
    zones = fleet(3)
    for states in (
        [State.CUT_OFF, State.CUT_OFF, State.SOUND],
        [State.DARK, State.DARK, State.SOUND],
        [State.DARK, State.CUT_OFF, State.SOUND],
        [State.DOWN, State.DARK, State.SOUND],
    ):
        world = SessionWorld(dict(zip(zones, states, strict=True)), zones, seed)
        world.choice.set_seeds(zones)
        assert world.until_sound(APPLY_S) <= 0.6


@pytest.mark.parametrize("seed", SEEDS)
def test_seeds_exchanged_while_all_that_are_known_are_down(seed: int) -> None:
    world = calm_world(3, seed=seed)
    for address in world.states:
        world.states[address] = State.DOWN
    world.run_for(20)
    world.states["new:1"], world.zones["new:1"] = State.SOUND, "zb"
    world.choice.set_seeds(["new:1"])
    assert world.until_sound(APPLY_S) <= 1.0


@pytest.mark.parametrize("seed", SEEDS)
def test_a_hint_of_one_that_is_cut_off_is_followed(seed: int) -> None:
    zones = {"c0:1": "za", "c1:1": "zb"}
    world = SessionWorld({"c0:1": State.CUT_OFF, "c1:1": State.SOUND}, zones, seed)
    world.choice.set_seeds(["c0:1"])
    world.run_for(0.1)
    assert set(world.links) == {"c0:1"}
    world.choice.record_unconfirmed("c0:1", world.members("c1:1"), world.now)
    assert world.until_sound(APPLY_S) <= 0.2


@pytest.mark.parametrize("seed", SEEDS)
def test_one_that_has_a_majority_again_is_used(seed: int) -> None:
    world = calm_world(3, seed=seed)
    for address in world.states:
        world.states[address] = State.CUT_OFF
    world.run_for(20)
    world.states["c1:1"] = State.SOUND
    assert world.until_sound(APPLY_S) <= 1.0


# ---- nobody has a majority ----


@pytest.mark.parametrize("state", [State.CUT_OFF, State.DARK, State.DOWN])
@pytest.mark.parametrize("size", [1, 2, 3, 5, 15])
def test_where_nobody_has_a_majority_dials_are_bounded(size: int, state: State) -> None:
    world = calm_world(size)
    world.dials.clear()
    for address in world.states:
        world.states[address] = state
    world.run_for(60)
    assert len(world.dials) <= CONNECT_BURST + 60 * CONNECTS_PER_S
    for start in range(60):
        within = [at for at, _ in world.dials if 100 + 5 + start <= at < 100 + 6 + start]
        assert len(within) <= CONNECT_BURST + CONNECTS_PER_S
    assert world.most_links <= MAX_OPEN_SESSIONS
    if state is State.CUT_OFF:
        assert len(world.links) >= min(
            size, TARGET_SESSIONS
        )  # they are kept: the first to have a majority tells


@pytest.mark.parametrize("size", [3, 5, 7, 15])
@pytest.mark.parametrize("state", [State.CUT_OFF, State.DARK, State.DOWN])
@pytest.mark.parametrize("seed", SEEDS)
def test_after_a_long_time_without_majority_one_is_soon_found(size: int, state: State, seed: int) -> None:
    world = calm_world(size, seed=seed)
    for address in world.states:
        world.states[address] = state
    world.run_for(30 + 0.37 * seed)
    for address in sorted(world.states)[: size // 2 + 1]:
        world.states[address] = State.SOUND
    assert world.until_sound(4.0) <= APPLY_S


# ---- flapping ----


@pytest.mark.parametrize("seed", SEEDS)
def test_one_that_flaps_is_left_alone(seed: int) -> None:
    world = calm_world(5, seed=seed)
    flapping = min(world.links)
    for turn in range(40):
        world.states[flapping] = State.CUT_OFF if turn % 2 else State.SOUND
        world.run_for(0.25)
    assert flapping not in world.links
    assert len(world.sound_links()) == TARGET_SESSIONS


@pytest.mark.parametrize("seed", SEEDS)
def test_where_all_flap_dials_are_bounded(seed: int) -> None:
    world = calm_world(5, seed=seed)
    world.dials.clear()
    random = Random(seed)
    for _ in range(200):
        for address in world.states:
            world.states[address] = random.choice([State.SOUND, State.CUT_OFF, State.DOWN])
        world.run_for(0.2)
    assert len(world.dials) <= CONNECT_BURST + 40 * CONNECTS_PER_S
    assert world.most_links <= MAX_OPEN_SESSIONS


# ---- single decisions ----


def choice_of(*members: tuple[str, str]) -> SessionChoice:
    choice = SessionChoice(Random(1))
    choice.add_members([ControlMember(address, zone) for address, zone in members], 0.0)
    return choice


def test_the_own_zone_comes_first_then_another_one() -> None:
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


def test_in_doubt_one_more_is_opened_and_left_again() -> None:
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
    assert left[0] in ("a", "c")  # two zones are kept


def test_a_session_that_is_confirmed_is_not_left_for_another() -> None:
    choice = choice_of(("a", "za"), ("b", "zb"), ("c", "zc"))
    choice.session_opened("a", 1.0)
    choice.record_confirmed("a", 1.1)
    choice.next_member(1.1, "za", in_doubt=False)
    assert not choice.should_close("a", 1.2)


def test_an_unconfirmed_session_is_kept_while_nobody_else_can_be_tried() -> None:
    choice = choice_of(("a", "za"), ("b", "zb"))
    choice.next_member(1.0, "za", in_doubt=False)
    for address in ("a", "b"):
        choice.session_opened(address, 1.0)
    choice.record_confirmed("b", 1.1)
    choice.record_unconfirmed("a", [], 1.1)
    assert not choice.should_close("a", 1.2)
    choice.add_members([ControlMember("c", "zc")], 1.3)
    assert choice.should_close("a", 1.3)


def test_of_two_unconfirmed_sessions_the_earlier_is_left_first() -> None:
    choice = choice_of(("a", "za"), ("b", "zb"), ("c", "zc"), ("d", "zc"))
    choice.next_member(1.0, "za", in_doubt=False)
    for address in ("a", "b"):
        choice.session_opened(address, 1.0)
    choice.record_unconfirmed("b", [], 1.1)
    choice.record_unconfirmed("a", [], 1.2)
    assert [address for address in ("a", "b") if choice.should_close(address, 1.3)] == ["b"]
    choice.session_ended("b", 1.3)
    assert not choice.should_close("a", 1.3)  # there is a place now
    member = choice.next_member(1.3, "za", in_doubt=False)
    assert member is not None
    assert member.address in ("c", "d")


def test_an_address_that_nobody_knows_is_no_error() -> None:
    choice = choice_of()
    choice.record_confirmed("x", 1.0)
    choice.record_unconfirmed("x", [], 1.0)
    choice.session_ended("x", 1.0)
    assert not choice.should_close("x", 1.0)
    assert choice.next_member(1.0, "za", in_doubt=True) is None


def test_dials_have_a_budget() -> None:
    budget = ConnectRateLimit()
    spent = 0
    while budget.available(50.0):
        budget.consume(50.0)
        spent += 1
    assert spent == CONNECT_BURST
    assert not budget.available(50.0 + 0.5 / CONNECTS_PER_S)
    assert budget.available(50.0 + 1.01 / CONNECTS_PER_S)


# ---- whatever happens ----

STATES = st.sampled_from(State)


@settings(max_examples=60, deadline=None)
@given(
    size=st.integers(1, 7),
    zone_count=st.integers(1, 3),
    seed=st.integers(0, 1000),
    changes=st.lists(st.tuples(st.integers(0, 6), STATES, st.floats(0.0, 3.0)), max_size=12),
)
def test_whatever_happens_sessions_are_bounded_and_a_majority_is_found(
    size: int, zone_count: int, seed: int, changes: list[tuple[int, State, float]]
) -> None:
    world = calm_world(size, zone_count, seed)
    for number, state, passed in changes:
        world.states[f"c{number % size}:1"] = state
        world.run_for(passed)
    assert world.most_links <= MAX_OPEN_SESSIONS
    assert len(world.dials) <= CONNECT_BURST + (world.now - 100) * CONNECTS_PER_S
    for number in range(size // 2 + 1):
        world.states[f"c{number}:1"] = State.SOUND
    world.until_sound(2.5)
    world.run_for(8)
    able = sum(state is State.SOUND for state in world.states.values())
    assert len(world.sound_links()) == min(TARGET_SESSIONS, able)
    assert len(world.links) <= MAX_OPEN_SESSIONS
