"""The status of a node while it starts, and its metrics, with stand-ins for the node's components."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.api.schemas import StatusAnswer
from reedspoke.control_plane.metrics import add_state_metrics
from reedspoke.control_plane.node_backend import STARTUP_S, NodeBackend
from reedspoke.telemetry.metrics import Registry


class Components:
    """What the backend reads, as attributes that a test sets; nothing is known at first."""

    def __init__(self) -> None:
        self.is_open = False
        self.folder_id: str | None = None
        self.zones: frozenset[str] | None = None
        self.committed: Any = None
        self.workers: Any = None
        self.view: Any = None

    def backend(self) -> NodeBackend:
        """A backend of these components."""
        own = self
        driver = SimpleNamespace(holds_majority=lambda: False, pending_calls=0, disk_works=False)
        tallies = SimpleNamespace(metric_values=dict)
        members = SimpleNamespace(edges=())
        published = SimpleNamespace(
            configuration=SimpleNamespace(committed=self.committed),
            workers=SimpleNamespace(current=self.workers, version=(0, 0)),
            membership=SimpleNamespace(members=members, live_peers=lambda now: ()),
        )

        class Driver(SimpleNamespace):
            @property
            def is_open(self) -> bool:
                return own.is_open

        class Tallies(SimpleNamespace):
            @property
            def folder_id(self) -> str | None:
                return own.folder_id

        parts: dict[str, Any] = {
            "driver": Driver(**vars(driver)),
            "exchange": SimpleNamespace(view=self.view),
            "lease": SimpleNamespace(is_held=lambda now: False),
            "published": published,
            "publisher": SimpleNamespace(),
            "sessions": SimpleNamespace(count=0),
            "tallies": Tallies(**vars(tallies)),
            "evacuations": SimpleNamespace(evacuated_zones=lambda: own.zones),
            "call_log": SimpleNamespace(),
        }
        return NodeBackend(node_name="n", address="a", **parts)


def rejection(backend: NodeBackend) -> ErrorCode | None:
    """The code with which the status is rejected; None if it is answered."""
    try:
        backend.status()
    except FleetError as error:
        return error.code
    return None


def in_loop(check: Any) -> None:
    """Run a check inside an event loop whose clock it can advance."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        skipped = [0.0]
        read = loop.time
        loop.time = lambda: read() + skipped[0]  # type: ignore[method-assign]
        check(skipped)

    asyncio.run(run())


@pytest.mark.parametrize("open_log", ["none", "control", "tallies"])
def test_there_is_no_status_before_both_logs_are_open(open_log: str) -> None:
    def check(skipped: list[float]) -> None:
        components = Components()
        components.is_open = open_log == "control"
        components.folder_id = "f" if open_log == "tallies" else None
        backend = components.backend()
        assert rejection(backend) is ErrorCode.STATE_UNKNOWN
        skipped[0] = 2 * STARTUP_S  # as long as the disk does not answer
        assert rejection(backend) is ErrorCode.STATE_UNKNOWN

    in_loop(check)


def test_there_is_no_status_until_the_orders_are_known_but_for_a_limited_time() -> None:
    def check(skipped: list[float]) -> None:
        components = Components()
        components.is_open, components.folder_id = True, "f"
        backend = components.backend()
        assert rejection(backend) is ErrorCode.STATE_UNKNOWN
        skipped[0] = STARTUP_S + 0.1
        answer: StatusAnswer = backend.status()
        assert (answer.evacuated, answer.generation, answer.sequence, answer.workers) == (None,) * 4
        components.zones = frozenset(("zb", "za"))
        assert backend.status().evacuated == ["za", "zb"]

    in_loop(check)


def test_a_node_that_knows_that_no_zone_is_evacuated_says_so() -> None:
    def check(skipped: list[float]) -> None:
        components = Components()
        components.is_open, components.folder_id, components.zones = True, "f", frozenset()
        assert components.backend().status().evacuated == []

    in_loop(check)


def test_unknown_values_are_not_among_the_metrics() -> None:
    def check(skipped: list[float]) -> None:
        components = Components()
        registry = Registry()
        add_state_metrics(registry, components.backend())
        unknown = ("view", "voters", "chain", "generation", "sequence", "workers", "evacuated_zones")
        assert not any(f'what="{name}"' in registry.text() for name in unknown)
        assert 'what="sessions"' in registry.text()
        components.is_open, components.folder_id, components.zones = True, "f", frozenset(("za",))
        assert 'reedspoke_control_state{what="evacuated_zones"} 1' in registry.text()
        assert 'what="generation"' not in registry.text()

    in_loop(check)
