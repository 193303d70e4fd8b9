"""Tests of the configuration updates sent to data plane nodes, for each version that they may have."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from reedspoke.common.configuration import Configuration
from reedspoke.common.configuration_delta import apply_delta
from reedspoke.common.configuration_parsing import parse_configuration
from reedspoke.common.errors import FleetError
from reedspoke.common.messages import ConfigurationDelta, ConfigurationSnapshot, Version, decode
from reedspoke.control_plane.delivery import configuration_cache
from reedspoke.control_plane.delivery.configuration_cache import MAX_CACHED_CONFIGURATIONS, ConfigurationCache
from reedspoke.control_plane.replication.entry import CommittedConfiguration
from tests.control_plane_process.stand_ins import configuration_document

VIEW = 3


def commit(cache: ConfigurationCache, sequence: int, document: bytes, view: int = VIEW) -> bool:
    """Prepare and install a committed document."""
    return cache.install(cache.prepare(CommittedConfiguration(sequence, sequence * 2, document, view)))


def decoded_update(cache: ConfigurationCache, have: Version) -> ConfigurationSnapshot | ConfigurationDelta:
    """Return the decoded update for a node that has this version."""
    frame = cache.encoded_update(have)
    assert frame is not None
    answer: ConfigurationSnapshot | ConfigurationDelta
    answer = decode(frame, ConfigurationSnapshot | ConfigurationDelta)
    return answer


def apply_update(cache: ConfigurationCache, held: Configuration | None, have: Version) -> Configuration:
    """Return the configuration of a node after it has applied its update."""
    answer = decoded_update(cache, have)
    if isinstance(answer, ConfigurationSnapshot):
        return parse_configuration(answer.document)
    assert held is not None
    assert answer.base == have
    return apply_delta(held, answer)


def test_no_update_before_the_first_configuration() -> None:
    cache = ConfigurationCache()
    assert cache.version == (0, 0)
    assert cache.encoded_update((0, 0)) is None
    with pytest.raises(FleetError):
        cache.parse(b"{")


def test_no_update_for_the_newest_version() -> None:
    cache = ConfigurationCache()
    assert commit(cache, 4, configuration_document(8))
    assert cache.encoded_update((VIEW, 4)) is None
    assert cache.encoded_update((VIEW, 9)) is None


def test_an_older_configuration_is_not_installed() -> None:
    cache = ConfigurationCache()
    commit(cache, 4, configuration_document(8))
    assert not commit(cache, 4, configuration_document(8))
    assert not commit(cache, 3, configuration_document(6))
    assert cache.version == (VIEW, 4)


def test_a_configuration_of_a_later_view_is_newer_regardless_of_its_sequence() -> None:
    cache = ConfigurationCache()
    commit(cache, 4, configuration_document(8))
    assert commit(cache, 4, configuration_document(10), view=VIEW + 1)
    assert cache.version == (VIEW + 1, 4)
    assert not commit(cache, 9, configuration_document(18))
    assert isinstance(decoded_update(cache, (VIEW, 4)), ConfigurationSnapshot | ConfigurationDelta)


def test_a_small_change_is_sent_as_a_delta_and_encoded_once() -> None:
    cache = ConfigurationCache()
    commit(cache, 1, configuration_document(2, routes=100))
    changed = json.loads(configuration_document(4, routes=100))
    changed["routes"] = json.loads(configuration_document(2, routes=99))["routes"]
    commit(cache, 2, json.dumps(changed).encode())
    answer = decoded_update(cache, (VIEW, 1))
    assert isinstance(answer, ConfigurationDelta)
    assert (json.loads(answer.routes), answer.removed_routes) == ([], ("r99",))
    assert cache.encoded_update((VIEW, 1)) is cache.encoded_update((VIEW, 1))


@given(st.lists(st.integers(1, 40), min_size=2, max_size=MAX_CACHED_CONFIGURATIONS + 4))
def test_an_update_for_any_version_leads_to_the_newest(sizes: list[int]) -> None:
    cache = ConfigurationCache()
    held = []
    for number, size in enumerate(sizes, 1):
        document = configuration_document(number * 2, routes=size)
        commit(cache, number, document)
        held.append(parse_configuration(document))
    for number, old in enumerate(held[:-1], 1):
        assert apply_update(cache, old, (VIEW, number)) == held[-1]
    assert apply_update(cache, None, (0, 0)) == held[-1]


def test_two_configurations_prepared_before_either_is_installed() -> None:
    cache = ConfigurationCache()
    commit(cache, 1, configuration_document(2))
    second = cache.prepare(CommittedConfiguration(2, 4, configuration_document(4), VIEW))
    third = cache.prepare(CommittedConfiguration(3, 6, configuration_document(6), VIEW))
    assert cache.install(second)
    assert cache.install(third)
    for have in (1, 2):
        old = parse_configuration(configuration_document(have * 2))
        assert apply_update(cache, old, (VIEW, have)) == parse_configuration(configuration_document(6))


def test_large_documents_are_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(configuration_cache, "MAX_CACHED_BYTES", 1)
    cache = ConfigurationCache()
    commit(cache, 1, configuration_document(2))
    commit(cache, 2, configuration_document(4))
    commit(cache, 3, configuration_document(6))
    assert isinstance(decoded_update(cache, (VIEW, 1)), ConfigurationSnapshot)
