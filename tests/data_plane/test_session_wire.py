"""The sessions of both programs connected in virtual time: `EdgeSessions` and `ControlSessions`.

Only the replication among control plane nodes is a model (`fleet_model`); messages are encoded as on the
wire.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from typing import Any, cast

import pytest
from msgspec import Struct

from reedspoke.common.messages import (
    CONFIGURATION,
    ControlMember,
    ControlMessage,
    EdgeMessage,
    FetchRequest,
    Version,
    decode,
    encode,
)
from reedspoke.common.transport import Channel
from reedspoke.control_plane.delivery.configuration_cache import ConfigurationCache
from reedspoke.control_plane.delivery.edge_sessions import EdgeSessions
from reedspoke.control_plane.delivery.membership import Membership
from reedspoke.control_plane.delivery.published_state import PublishedState
from reedspoke.control_plane.replication.entry import CommittedConfiguration
from reedspoke.control_plane.workers.worker_list import WorkerListState
from reedspoke.data_plane import control_session
from reedspoke.data_plane.session_choice import CONNECT_BURST, CONNECTS_PER_S, TARGET_SESSIONS
from reedspoke.data_plane.subscription import UNCONFIRMED_FALLBACK_S
from tests.data_plane.fleet_model import (
    APPLY_S,
    CONTACT_S,
    HOLD_S,
    LATENCY_S,
    FleetModel,
    ModelControl,
)
from tests.data_plane.test_subscription import document

SEEDS = range(4)
SOON_S = 0.3


class Wire:
    """One connection; each end has the methods of a `Channel` that it uses."""

    def __init__(self, model: FleetModel, control: WireControl) -> None:
        self.idle_timeout_s: float | None = None
        self.fetched: list[FetchRequest] = []
        self._model = model
        self._control = control
        self._incoming: asyncio.Queue[bytes | Exception] = asyncio.Queue()
        self._far_end = cast(Channel, FarEnd(self))

    # ---- data plane end ----

    def send(self, message: Struct) -> None:
        if isinstance(message, FetchRequest):
            self.fetched.append(message)
        self._later(
            self._control.sessions.message_received, self._far_end, decode(encode(message), EdgeMessage)
        )

    async def receive(self, expected: Any) -> Any:
        async with asyncio.timeout(self.idle_timeout_s):
            found = await self._incoming.get()
        if isinstance(found, Exception):
            raise found
        return decode(found, expected)

    def close(self) -> None:
        self._model.loop.call_later(LATENCY_S, self._control.sessions.connection_closed, self._far_end)

    # ---- control plane end ----

    def arrive(self, frame: bytes | Exception) -> None:
        self._later(self._incoming.put_nowait, frame)

    def _later(self, call: Callable[..., object], *arguments: object) -> None:
        if self._model.is_reachable(self._control):
            self._model.loop.call_later(LATENCY_S, call, *arguments)


class FarEnd:
    """The control plane's end of a connection."""

    def __init__(self, wire: Wire) -> None:
        self._wire = wire

    def send(self, message: Struct) -> None:
        self.send_encoded(encode(message))

    def send_encoded(self, payload: bytes) -> None:
        decode(payload, ControlMessage)
        self._wire.arrive(payload)

    def write_backlog_bytes(self) -> int:
        return 0

    def close(self) -> None:
        self._wire.arrive(ConnectionResetError())


class WireControl(ModelControl):
    """A model control plane node with the `EdgeSessions` of the program."""

    def __init__(self, model: FleetModel, address: str, zone: str) -> None:
        super().__init__(model, address, zone)
        self.wires: list[Wire] = []
        self._cache = ConfigurationCache()
        membership = Membership(ControlMember(address, zone), 5.0, 77)
        state = PublishedState(self._cache, WorkerListState(), membership, self._confirmed_as_of)
        self._membership = membership
        self.sessions = model.loop.run_until_complete(self._make_sessions(state))

    async def _make_sessions(self, state: PublishedState) -> EdgeSessions:
        return EdgeSessions(self.member.address, state, HOLD_S, self._on_arrival)

    def _on_arrival(self) -> None:
        self._membership.refresh(self._model.loop.time())
        self.sessions.notify_update()

    def _confirmed_as_of(self) -> float | None:
        as_of = self.as_of()
        return as_of if self._model.loop.time() - as_of < CONTACT_S else None

    def set_version(self, version: Version) -> None:
        super().set_version(version)
        if version > self._cache.version:
            view, sequence = version
            committed = CommittedConfiguration(sequence, sequence, document(sequence), view)
            self._cache.install(self._cache.prepare(committed))

    def step(self) -> None:
        self.as_of()
        self.sessions.notify_update()
        self.sessions.check_majority()

    async def connect(self) -> Wire:
        self.wires.append(Wire(self._model, self))
        return self.wires[-1]


@pytest.fixture
def models(monkeypatch: pytest.MonkeyPatch) -> Iterator[Callable[..., FleetModel]]:
    created: list[FleetModel] = []

    def make(seed: int, size: int = 5, warm_up_s: float = 3.0) -> FleetModel:
        model = FleetModel(size, seed, WireControl)
        monkeypatch.setattr(control_session, "open_channel", model.open)
        created.append(model)
        if warm_up_s:
            model.run_for(warm_up_s)
        return model

    yield make
    for model in created:
        model.close()
        assert model.loop.errors == []


Models = Callable[..., FleetModel]


def confirmed_nodes(model: FleetModel) -> set[int]:
    confirmed = model.sessions._choice.confirmed_addresses(model.loop.time())
    return {number for number, control in enumerate(model.controls) if control.member.address in confirmed}


@pytest.mark.parametrize("seed", SEEDS)
def test_without_failures_it_is_not_in_doubt_and_changes_arrive_at_once(models: Models, seed: int) -> None:
    model = models(seed)
    connects = model.connect_count
    for _ in range(10):
        model.commit()
        model.run_for(SOON_S)
        assert model.subscription.version(CONFIGURATION) == model.committed[-1][1]
        assert not model.in_doubt()
        model.run_for(1)
    assert len(confirmed_nodes(model)) == TARGET_SESSIONS
    assert model.connect_count == connects


@pytest.mark.parametrize("seed", SEEDS)
def test_both_sessions_lead_to_a_partitioned_minority(models: Models, seed: int) -> None:
    model = models(seed)
    partitioned = confirmed_nodes(model)
    model.partition(partitioned)
    model.commit()
    model.run_for(CONTACT_S + SOON_S)
    for _ in range(20):
        assert model.subscription.version(CONFIGURATION) == model.committed[-1][1]
        assert not model.in_doubt()
        assert not confirmed_nodes(model) & partitioned
        model.commit()
        model.run_for(1)
    model.partition(set())
    model.run_for(3)
    assert len(confirmed_nodes(model)) == TARGET_SESSIONS


@pytest.mark.parametrize("seed", SEEDS)
def test_no_node_has_a_majority_for_a_while(models: Models, seed: int) -> None:
    model = models(seed)
    initial_version = model.subscription.version(CONFIGURATION)
    connects, began = model.connect_count, model.loop.time()
    for control in model.controls:
        control.set_in_majority(False)
    model.run_for(20)
    assert model.in_doubt()
    assert model.subscription.version(CONFIGURATION) == initial_version
    assert model.connect_count - connects <= CONNECT_BURST + (model.loop.time() - began) * CONNECTS_PER_S
    model.partition(set())
    model.commit()
    model.run_for(APPLY_S)
    assert not model.in_doubt()
    assert model.subscription.version(CONFIGURATION) == model.committed[-1][1]


@pytest.mark.parametrize("seed", SEEDS)
def test_start_while_no_node_has_a_majority(models: Models, seed: int) -> None:
    """It has no configuration for a while, then an unconfirmed one; the doubt ends after the partition."""
    model = models(seed, warm_up_s=0.0)
    for control in model.controls:
        control.set_version(model.committed[-1][1])
        control.set_in_majority(False)
        control._as_of -= 2 * CONTACT_S
    model.run_for(UNCONFIRMED_FALLBACK_S - 0.2)
    assert model.delivered.configurations == []
    model.run_for(1)
    assert model.subscription.version(CONFIGURATION) == (1, 1)
    assert model.in_doubt()
    model.partition(set())
    model.run_for(APPLY_S)
    assert not model.in_doubt()


@pytest.mark.parametrize("seed", SEEDS)
def test_changing_majorities_and_suspensions(models: Models, seed: int) -> None:
    model = models(seed)
    for turn in range(40):
        model.partition({turn % 5, (turn + 1 + seed) % 5})
        model.commit()
        model.run_for(0.3 + 0.1 * (turn % 7))
        if turn % 10 == 9:
            model.stop_process_for(4)
    model.partition(set())
    model.run_for(2 * APPLY_S)
    assert not model.in_doubt()
    assert model.subscription.version(CONFIGURATION) == model.committed[-1][1]
