"""A model of the control plane in virtual time, for the sessions of one data plane scheduler.

It records when each configuration was acknowledged. A control scheduler in the majority partition is
confirmed; one outside stays confirmed for `CONTACT_S` by its latest grants, and then answers with
`UnconfirmedResponse`.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

from msgspec import Struct

from reedspoke.common.messages import (
    CONFIGURATION,
    MEMBERS,
    ConfigurationSnapshot,
    ControlMember,
    FetchRequest,
    MemberList,
    UnconfirmedResponse,
    Version,
    WatchRequest,
    WatchResponse,
)
from reedspoke.data_plane.control_session import ControlSessions
from tests.data_plane.control_stand_in import NODE_STATE
from tests.data_plane.test_subscription import document, make_subscription
from tests.data_plane.virtual_loop import VirtualLoop

LATENCY_S = 0.01
HOLD_S = 0.4
GRANT_AGE_S = 0.15
CONTACT_S = 0.8
CATCH_UP_S = 0.3  # Until a control scheduler has caught up after a partition.
CONNECT_TIMEOUT_S = 0.7
APPLY_S = 2.0


class ModelChannel:
    """A session as the data plane sees it; messages on an unreachable path are lost."""

    def __init__(self, model: FleetModel, control: ModelControl) -> None:
        self.idle_timeout_s: float | None = None
        self.closed = False
        self.watch: WatchRequest | None = None
        self.watched_at = 0.0
        self.unconfirmed_sent = False
        self.members_sent = False
        self._model = model
        self._control = control
        self._incoming: asyncio.Queue[Struct] = asyncio.Queue()

    def send(self, message: Struct) -> None:
        if self._model.is_reachable(self._control):
            self._model.loop.call_later(LATENCY_S, self._control.received, self, message)

    def answer(self, message: Struct) -> None:
        if self._model.is_reachable(self._control) and not self.closed:
            self._model.loop.call_later(LATENCY_S, self._incoming.put_nowait, message)

    async def receive(self, expected: Any) -> Struct:
        async with asyncio.timeout(self.idle_timeout_s):
            return await self._incoming.get()

    def close(self) -> None:
        self.closed = True
        self._control.channels.discard(self)


class ModelControl:
    """One control scheduler."""

    def __init__(self, model: FleetModel, address: str, zone: str) -> None:
        self.member = ControlMember(address, zone)
        self.channels: set[ModelChannel] = set()
        self.in_majority = True
        self.version: Version = (1, 1)
        self._model = model
        self._as_of = model.loop.time()
        self._joined_at = model.loop.time() - CATCH_UP_S

    def set_in_majority(self, in_majority: bool) -> None:
        now = self._model.loop.time()
        if in_majority and not self.in_majority:
            self._joined_at = now
        if not in_majority and self.in_majority:
            self._as_of = self.as_of()
        self.in_majority = in_majority

    def as_of(self) -> float:
        """The latest time at which the version here was certainly the newest."""
        now = self._model.loop.time()
        if self.in_majority and now - self._joined_at >= CATCH_UP_S:
            self.set_version(self._model.committed[-1][1])
            self._as_of = now - GRANT_AGE_S
        return self._as_of

    def set_version(self, version: Version) -> None:
        """Sets the newest version that is known here."""
        self.version = version

    async def connect(self) -> Any:
        """Opens a session and returns the data plane's side."""
        return ModelChannel(self._model, self)

    def is_confirmed(self) -> bool:
        return self._model.loop.time() - self.as_of() < CONTACT_S

    def step(self) -> None:
        """Updates the state after time has passed."""
        self.as_of()
        for channel in list(self.channels):
            self._answer_if_due(channel)

    def received(self, channel: ModelChannel, message: Struct) -> None:
        if channel.closed:
            return
        self.channels.add(channel)
        if isinstance(message, WatchRequest):
            channel.watch, channel.watched_at = message, self._model.loop.time()
            self._answer_if_due(channel)
        elif isinstance(message, FetchRequest):
            self._fetched(channel, message)

    def _fetched(self, channel: ModelChannel, fetch: FetchRequest) -> None:
        if not self.is_confirmed() and not fetch.allow_unconfirmed:
            channel.answer(self._unconfirmed(0))
        elif fetch.source == MEMBERS:
            channel.members_sent = True
            channel.answer(MemberList((0, 1), self._model.members_seen_by(self), ()))
        elif fetch.source == CONFIGURATION:
            channel.answer(ConfigurationSnapshot(self.version, document(self.version[1])))

    def _answer_if_due(self, channel: ModelChannel) -> None:
        watch = channel.watch
        if watch is None:
            return
        now = self._model.loop.time()
        waited = now - channel.watched_at
        confirmed = self.is_confirmed()
        has_update = not channel.unconfirmed_sent
        if confirmed:
            newer = self.version > watch.versions[CONFIGURATION]
            has_update = channel.unconfirmed_sent or newer or not channel.members_sent
        if not has_update and waited < HOLD_S:
            return
        channel.watch = None
        channel.unconfirmed_sent = not confirmed
        if not confirmed:
            channel.answer(self._unconfirmed(watch.request_id))
            return
        versions = {CONFIGURATION: self.version, MEMBERS: (0, 1)}
        ago = now - self.as_of()
        channel.answer(WatchResponse(watch.request_id, self.member.address, versions, {}, waited, ago))

    def _unconfirmed(self, request_id: int) -> UnconfirmedResponse:
        hints = self._model.members_seen_by(self)
        return UnconfirmedResponse(request_id, self.member.address, hints, {CONFIGURATION: self.version})


class FleetModel:
    """All control schedulers and one data plane scheduler.

    `partition` and `set_reachable` change the network, `commit` the configuration.
    """

    def __init__(self, size: int, seed: int, control_type: type[ModelControl] | None = None) -> None:
        self.loop = VirtualLoop()
        self.committed: list[tuple[float, Version]] = [(self.loop.time(), (1, 1))]
        make = control_type or ModelControl
        self.controls = [make(self, f"c{number}:1", f"z{number % 3}") for number in range(size)]
        self.reachable = set(range(size))
        self.partitions: list[set[int]] = [set(range(size))]
        self.subscription, self.delivered = make_subscription()
        seeds = tuple(control.member.address for control in self.controls)
        self.sessions = ControlSessions(self.subscription, lambda: NODE_STATE, lambda: seeds, Random(seed))
        self.running = self.loop.create_task(self.sessions.run())
        self.connect_count = 0

    def close(self) -> None:
        """Ends all sessions."""
        self.running.cancel()
        self.loop.settle()
        self.loop.close()

    # ---- the network ----

    def is_reachable(self, control: ModelControl) -> bool:
        return self.controls.index(control) in self.reachable

    def partition(self, part: set[int]) -> None:
        """Partitions the control schedulers into these and the others."""
        others = set(range(len(self.controls))) - part
        self.partitions = [part, others]
        for number, control in enumerate(self.controls):
            own = part if number in part else others
            control.set_in_majority(len(own) > len(self.controls) // 2)

    def set_reachable(self, numbers: set[int]) -> None:
        """Limits the network paths of the data plane scheduler to these control schedulers."""
        self.reachable = numbers

    def members_seen_by(self, control: ModelControl) -> tuple[ControlMember, ...]:
        number = self.controls.index(control)
        own = next(part for part in self.partitions if number in part)
        return tuple(self.controls[other].member for other in sorted(own))

    def reachable_majority(self) -> set[int]:
        """Control schedulers that are in the majority and reachable."""
        return {
            number
            for number, control in enumerate(self.controls)
            if number in self.reachable and control.in_majority
        }

    async def open(self, address: str) -> Any:
        self.connect_count += 1
        control = next(one for one in self.controls if one.member.address == address)
        if not self.is_reachable(control):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise TimeoutError
        await asyncio.sleep(2 * LATENCY_S)
        return await control.connect()

    # ---- the configuration ----

    def commit(self) -> None:
        """Acknowledges a change if a partition has a majority; its members then know the new version."""
        majority = [control for control in self.controls if control.in_majority]
        if majority:
            version = (1, self.committed[-1][1][1] + 1)
            self.committed.append((self.loop.time(), version))
            for control in majority:
                control.step()

    def required_version(self) -> Version:
        """The version that has to be in force by now."""
        limit = self.loop.time() - APPLY_S
        return max((version for at, version in self.committed if at <= limit), default=(0, 0))

    def in_doubt(self) -> bool:
        return self.subscription.confirmation.in_doubt(self.loop.time())

    # ---- time ----

    def run_for(self, seconds: float, step_s: float = 0.02) -> None:
        for _ in range(max(1, round(seconds / step_s))):
            for control in self.controls:
                control.step()
            self.loop.run_for(step_s)
            self.check()

    def stop_process_for(self, seconds: float) -> None:
        """Stalls the data plane process, while a change is acknowledged."""
        self.commit()
        self.loop._virtual.now += seconds
        self.check()

    def check(self) -> None:
        """Checks that the required version is in force unless the configuration is in doubt."""
        if not self.in_doubt():
            assert self.subscription.version(CONFIGURATION) >= self.required_version()
