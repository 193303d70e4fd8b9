"""Route lookup, and the choice of an upstream of a traffic split."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

import pytest

from reedspoke.common.configuration import Route
from reedspoke.common.configuration_parsing import parse_configuration
from reedspoke.data_plane import route_table
from reedspoke.data_plane.route_table import CompiledRoute, RouteTable


def make_table(*routes: dict[str, Any]) -> RouteTable:
    """A table of these routes, with defaults for missing fields."""
    completed = [
        {
            "name": f"r{number}",
            "hostname": "a.example",
            "route_type": "idempotent",
            "timeout_ms": 3000,
            "upstream": "u1",
        }
        | route
        for number, route in enumerate(routes)
    ]
    upstreams = [{"name": f"u{number}"} for number in range(1, 5)]
    document = {"generation": 1, "routes": completed, "upstreams": upstreams}
    return RouteTable(parse_configuration(json.dumps(document).encode()), (1, 0))


def single_route(**route: Any) -> CompiledRoute:
    found = make_table({"path_prefix": "/"} | route).find("a.example", "/")
    assert found is not None
    return found


def prefix_at(table: RouteTable, path: str, host: str = "a.example") -> str | None:
    found = table.find(host, path)
    return None if found is None else found.path_prefix


NESTED = make_table({"path_prefix": "/a/"}, {"path_prefix": "/a/b/"}, {"path_prefix": "/a/b/c/d/"})


@pytest.mark.parametrize(
    ("path", "prefix"),
    [
        ("/a/", "/a/"),
        ("/a/x", "/a/"),
        ("/a/b", "/a/"),
        ("/a/b/", "/a/b/"),
        ("/a/b/c/x", "/a/b/"),
        ("/a/b/c/d/", "/a/b/c/d/"),
        ("/a/b/c/d/e/f", "/a/b/c/d/"),
        ("/a/?next=/a/b/c/d/", "/a/"),
        ("/a/b?x=1", "/a/"),
        ("/a/b/?", "/a/b/"),
        ("/a//b/", "/a/"),
        ("/a", None),
        ("/A/", None),
        ("/ab/", None),
        ("/", None),
        ("/x/a/", None),
        ("/?p=/a/", None),
        ("*", None),
        ("", None),
    ],
)
def test_longest_prefix_of_the_path_is_selected(path: str, prefix: str | None) -> None:
    assert prefix_at(NESTED, path) == prefix


def test_root_prefix_matches_every_path() -> None:
    table = make_table({"path_prefix": "/"}, {"path_prefix": "/a/"})
    assert prefix_at(table, "/") == "/"
    assert prefix_at(table, "/anything/else") == "/"
    assert prefix_at(table, "/a/x") == "/a/"


@pytest.mark.parametrize("host", ["a.example", "A.Example", "a.example:80", "a.example:8144", "A.EXAMPLE:1"])
def test_host_matches_in_any_case_and_with_any_port(host: str) -> None:
    assert prefix_at(NESTED, "/a/", host) == "/a/"


@pytest.mark.parametrize("host", ["", "b.example", "a.example.org", "xa.example", "a.example:port", ":80"])
def test_an_unknown_host_has_no_route(host: str) -> None:
    assert prefix_at(NESTED, "/a/", host) is None


def test_routes_of_hosts_are_separate() -> None:
    table = make_table({"path_prefix": "/a/"}, {"path_prefix": "/b/", "hostname": "B.example"})
    assert prefix_at(table, "/b/") is None
    assert prefix_at(table, "/b/", "b.example") == "/b/"


def test_an_empty_table_has_no_route() -> None:
    assert RouteTable().find("a.example", "/") is None


def test_traffic_split_follows_weights() -> None:
    parts = [("u1", 70), ("u2", 0), ("u3", 20), ("u4", 10)]
    route = single_route(traffic_split=[{"upstream": name, "weight": weight} for name, weight in parts])
    counts = Counter(route.upstream_for(f"{number:016x}".encode()) for number in range(10_000))
    assert set(counts) == {"u1", "u3", "u4"}
    for name, weight in parts:
        assert abs(counts[name] / 10_000 - weight / 100) < 0.03


def test_same_key_selects_the_same_upstream() -> None:
    route = single_route(traffic_split=[{"upstream": "u1", "weight": 1}, {"upstream": "u2", "weight": 1}])
    assert len({route.upstream_for(b"9c41d07be2a35f68") for _ in range(10)}) == 1


@pytest.mark.parametrize("weights", [(0, 5), (5, 0), (0, 0.001)])
def test_upstream_of_weight_zero_gets_nothing(weights: tuple[float, float]) -> None:
    names = ("u1", "u2")
    route = single_route(
        traffic_split=[{"upstream": n, "weight": w} for n, w in zip(names, weights, strict=True)]
    )
    expected = names[weights[0] == 0]
    assert {route.upstream_for(str(number).encode()) for number in range(500)} == {expected}


def test_rounded_weights_leave_no_gap() -> None:
    route = single_route(
        traffic_split=[{"upstream": f"u{1 + number % 4}", "weight": 0.1} for number in range(7)]
    )
    assert route.split_targets[-1].cumulative_share == pytest.approx(1.0)
    assert all(route.upstream_for(str(number).encode()) for number in range(5000))


@pytest.mark.parametrize(
    ("route_type", "resume", "repeatable", "resumable"),
    [
        ("idempotent", False, True, False),
        ("idempotent", True, True, False),
        ("non_idempotent", False, False, False),
        ("non_idempotent", True, False, False),
        ("streaming", False, False, False),
        ("streaming", True, True, True),
    ],
)
def test_repeatable_follows_from_the_route_type(
    route_type: str, resume: bool, repeatable: bool, resumable: bool
) -> None:
    route = single_route(route_type=route_type, stream_resume=resume)
    assert (route.repeatable, route.resumable) == (repeatable, resumable)
    assert route.streaming == (route_type == "streaming")


def test_times_are_seconds_and_attempts_are_at_least_one() -> None:
    route = single_route(timeout_ms=1500, target_ms=250, max_attempts=0)
    assert (route.timeout_s, route.latency_target_s, route.max_attempts) == (1.5, 0.25, 1)


def test_route_is_compiled_once_by_its_first_request(monkeypatch: pytest.MonkeyPatch) -> None:
    compiled: list[str] = []
    compile_route = route_table.compile_route

    def counted(route: Route) -> CompiledRoute:
        compiled.append(route["name"])
        return compile_route(route)

    monkeypatch.setattr(route_table, "compile_route", counted)
    table = make_table({"path_prefix": "/a/"}, {"path_prefix": "/b/"})
    assert compiled == []
    assert table.find("a.example", "/b/x") is table.find("a.example", "/b/")
    assert compiled == ["r1"]
