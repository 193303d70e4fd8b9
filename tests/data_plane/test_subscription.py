"""`Subscription` applies only state that is newer than the state in force."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import Struct, field

from reedspoke.common.configuration import Configuration
from reedspoke.common.configuration_delta import make_delta
from reedspoke.common.configuration_parsing import parse_configuration
from reedspoke.common.errors import FleetError
from reedspoke.common.messages import (
    CONFIGURATION,
    NO_VERSION,
    WORKERS,
    ConfigurationDelta,
    ConfigurationSnapshot,
    MemberList,
    Version,
    WatchResponse,
    WorkerList,
)
from reedspoke.data_plane.confirmation import Confirmation
from reedspoke.data_plane.subscription import FETCH_TIMEOUT_S, StateListener, Subscription
from tests.data_plane.virtual_loop import STARTED_AT

Load = dict[str, tuple[int, int]]


class ReceivedUpdates(Struct):
    """All updates that a `StateListener` received."""

    configurations: list[tuple[int, Version]] = field(default_factory=list)
    workers: list[Version] = field(default_factory=list)
    members: list[Version] = field(default_factory=list)
    peer_load: list[Load] = field(default_factory=list)
    suspects: list[dict[str, int]] = field(default_factory=list)


def make_subscription(apply_s: float = 2.0) -> tuple[Subscription, ReceivedUpdates]:
    updates = ReceivedUpdates()

    def on_configuration(configuration: Configuration, version: Version) -> None:
        updates.configurations.append((configuration.generation, version))

    listener = StateListener(
        on_configuration=on_configuration,
        on_workers=lambda workers: updates.workers.append(workers.version),
        on_members=lambda members: updates.members.append(members.version),
        on_peer_load=updates.peer_load.append,
        on_peer_suspects=updates.suspects.append,
        on_evacuations=lambda workers: None,
    )
    return Subscription(listener, Confirmation(apply_s, started=STARTED_AT)), updates


def document(generation: int) -> bytes:
    """A configuration with as many routes as its generation."""
    routes = [
        {
            "name": f"r{number}",
            "hostname": "a.example",
            "path_prefix": f"/{number}/",
            "route_type": "idempotent",
            "timeout_ms": 1000 + generation,
            "upstream": "u1",
        }
        for number in range(generation)
    ]
    return json.dumps({"generation": generation, "routes": routes, "upstreams": [{"name": "u1"}]}).encode()


def snapshot(sequence: int) -> ConfigurationSnapshot:
    """The configuration of generation `sequence`, as version (sequence, 0)."""
    return ConfigurationSnapshot((sequence, 0), document(sequence))


def delta(base: int, sequence: int) -> ConfigurationDelta:
    old, new = parse_configuration(document(base)), parse_configuration(document(sequence))
    return make_delta(old, new, (base, 0), (sequence, 0))


def workers(term: int, count: int) -> WorkerList:
    return WorkerList((term, count), ())


def test_newer_state_replaces_older() -> None:
    subscription, updates = make_subscription()
    assert subscription.apply(snapshot(3))
    assert subscription.apply(snapshot(5))
    assert updates.configurations == [(3, (3, 0)), (5, (5, 0))]
    assert subscription.version(CONFIGURATION) == (5, 0)


@pytest.mark.parametrize("sequence", [1, 4, 5])
def test_configuration_that_is_not_newer_is_not_applied(sequence: int) -> None:
    subscription, updates = make_subscription()
    subscription.apply(snapshot(5))
    assert not subscription.apply(snapshot(sequence))
    assert updates.configurations == [(5, (5, 0))]
    assert subscription.state.configuration is not None
    assert subscription.state.configuration.generation == 5


@pytest.mark.parametrize("version", [(1, 9), (2, 6), (2, 7)])
def test_worker_list_that_is_not_newer_is_not_applied(version: Version) -> None:
    subscription, updates = make_subscription()
    subscription.apply(workers(2, 7))
    assert not subscription.apply(workers(*version))
    assert updates.workers == [(2, 7)]


def test_later_term_is_newer_than_a_higher_count() -> None:
    subscription, updates = make_subscription()
    subscription.apply(workers(2, 90))
    assert subscription.apply(workers(3, 1))
    assert updates.workers == [(2, 90), (3, 1)]


def test_delta_is_applied_to_its_base() -> None:
    subscription, _ = make_subscription()
    subscription.apply(snapshot(3))
    assert subscription.apply(delta(3, 6))
    assert subscription.state.configuration == parse_configuration(document(6))
    assert subscription.version(CONFIGURATION) == (6, 0)


@pytest.mark.parametrize("base", [2, 4, 6])
def test_delta_from_another_base_is_not_applied(base: int) -> None:
    subscription, updates = make_subscription()
    subscription.apply(snapshot(3))
    assert not subscription.apply(delta(base, 8))
    assert updates.configurations == [(3, (3, 0))]


def test_delta_is_not_applied_without_a_configuration() -> None:
    subscription, updates = make_subscription()
    assert not subscription.apply(delta(3, 4))
    assert updates.configurations == []


def test_delta_to_an_older_version_is_not_applied() -> None:
    subscription, updates = make_subscription()
    subscription.apply(snapshot(5))
    assert not subscription.apply(delta(5, 2))
    assert updates.configurations == [(5, (5, 0))]


def test_invalid_document_changes_nothing() -> None:
    subscription, updates = make_subscription()
    subscription.apply(snapshot(3))
    with pytest.raises(FleetError):
        subscription.apply(ConfigurationSnapshot((9, 0), b"{"))
    assert subscription.version(CONFIGURATION) == (3, 0)
    assert updates.configurations == [(3, (3, 0))]


@settings(max_examples=80, deadline=None)
@given(st.lists(st.one_of(
    st.integers(1, 9).map(snapshot),
    st.tuples(st.integers(1, 9), st.integers(1, 9)).map(lambda pair: delta(*pair)),
    st.tuples(st.integers(0, 3), st.integers(0, 3)).map(lambda pair: workers(*pair)),
), max_size=12))  # fmt: skip
def test_versions_only_rise_for_any_messages(
    messages: list[ConfigurationSnapshot | ConfigurationDelta | WorkerList],
) -> None:
    subscription, updates = make_subscription()
    for message in messages:
        subscription.apply(message)
    configurations = [version for _, version in updates.configurations]
    assert configurations == sorted(set(configurations))
    assert updates.workers == sorted(set(updates.workers))
    for generation, version in updates.configurations:
        assert version == (generation, 0)
    if updates.configurations:
        assert subscription.state.configuration == parse_configuration(
            document(updates.configurations[-1][0])
        )


def test_members_and_load_are_passed_on_as_received() -> None:
    subscription, updates = make_subscription()
    subscription.apply(MemberList((0, 7), (), ()))
    subscription.apply(MemberList((0, 2), (), ()))
    subscription.apply(WatchResponse(1, "core-1", {}, {"i-1": (1, 20)}, suspects={"i-2": 3}))
    assert updates.suspects == [{"i-2": 3}]
    assert updates.members == [(0, 7), (0, 2)]
    assert updates.peer_load == [{"i-1": (1, 20)}]


# ---- what to fetch ----


def test_sources_with_newer_versions_are_to_be_fetched() -> None:
    subscription, _ = make_subscription()
    subscription.apply(snapshot(3))
    offered = {CONFIGURATION: (4, 0), WORKERS: (0, 1), "members": (0, 9)}
    assert subscription.sources_to_fetch(offered, 0.0) == [CONFIGURATION, WORKERS]
    assert subscription.sources_to_fetch({CONFIGURATION: (3, 0), WORKERS: NO_VERSION}, 0.0) == []
    assert subscription.sources_to_fetch({}, 0.0) == []


def test_version_being_fetched_is_not_fetched_again() -> None:
    subscription, _ = make_subscription()
    subscription.begin_fetch(CONFIGURATION, (4, 0), 10.0)
    assert subscription.sources_to_fetch({CONFIGURATION: (4, 0)}, 10.1) == []
    assert subscription.expected_version(CONFIGURATION, 10.1) == (4, 0)
    assert subscription.version(CONFIGURATION) == NO_VERSION


def test_version_newer_than_the_one_being_fetched_is_to_be_fetched() -> None:
    subscription, _ = make_subscription()
    subscription.begin_fetch(CONFIGURATION, (4, 0), 10.0)
    assert subscription.sources_to_fetch({CONFIGURATION: (5, 0)}, 10.1) == [CONFIGURATION]


def test_fetch_without_a_response_is_repeated() -> None:
    subscription, _ = make_subscription()
    subscription.begin_fetch(CONFIGURATION, (4, 0), 10.0)
    late = 10.0 + FETCH_TIMEOUT_S + 0.01
    assert subscription.sources_to_fetch({CONFIGURATION: (4, 0)}, late) == [CONFIGURATION]
    assert subscription.expected_version(CONFIGURATION, late) == NO_VERSION


def test_fetch_never_hides_the_version_in_force() -> None:
    subscription, _ = make_subscription()
    subscription.begin_fetch(CONFIGURATION, (4, 0), 10.0)
    subscription.apply(snapshot(6))
    assert subscription.expected_version(CONFIGURATION, 10.1) == (6, 0)
