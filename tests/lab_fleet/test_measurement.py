"""Figures out of measurements, and the sizes of scale runs."""

from __future__ import annotations

import pytest

from reedspoke.cluster.configuration import parse_configuration
from reedspoke.cluster.messages import WorkerEntry, WorkerList, encode
from reedspoke.lab.fleet_emulator.hollow_edge import Meter, SharedDecoder
from reedspoke.lab.fleet_emulator.hollow_host import HollowResult, TrafficSample
from reedspoke.lab.fleet_emulator.layout import draw_layout, encode_configuration
from reedspoke.lab.fleet_emulator.measurement import (
    arrivals_of,
    bytes_between,
    delays,
    least_squares,
    list_arrivals,
    settled_after,
    worst_of,
)
from reedspoke.lab.fleet_emulator.message_costs import measure_all
from reedspoke.lab.fleet_emulator.rates import build_parser as build_rates_parser
from reedspoke.lab.fleet_emulator.rates import run_rates
from reedspoke.lab.fleet_emulator.scale import build_parser, points, slopes
from reedspoke.lab.fleet_emulator.scale_figures import PhaseFigures, RunFigures, ScalePoint
from reedspoke.lab.fleet_emulator.scale_inputs import HollowWorkers, long_configuration
from reedspoke.lab.fleet_emulator.scale_summary import Change, Recording, ScaleSummary


def test_a_straight_line_is_found_exactly() -> None:
    slope = least_squares([(50, 20.0), (200, 50.0), (400, 90.0)])
    assert (slope.per_unit, slope.base) == pytest.approx((0.2, 10.0))
    assert slope.residual == pytest.approx(0)
    assert slope.at(1000) == pytest.approx(210)


def test_the_largest_miss_is_told() -> None:
    slope = least_squares([(0, 0.0), (1, 3.0), (2, 0.0)])
    assert (slope.per_unit, slope.base, slope.residual) == pytest.approx((0, 1, 2))


def test_one_size_gives_no_slope() -> None:
    with pytest.raises(ValueError, match="two sizes"):
        least_squares([(5, 1.0), (5, 2.0)])


def test_delays_tell_who_is_missing() -> None:
    found = delays([10.1, 10.2, 10.9], begun=10.0, expected=4)
    assert (found.count, found.missing) == (3, 1)
    assert (found.median_s, found.worst_s) == pytest.approx((0.2, 0.9))
    assert worst_of([found, delays([11.5], 10.0, 1)]).worst_s == pytest.approx(1.5)
    assert worst_of([]).count == 0


def test_bytes_between_two_moments() -> None:
    samples = [TrafficSample(at, 100 * number, 10 * number) for number, at in enumerate((1.0, 2.0, 3.0, 4.0))]
    assert bytes_between(samples, 2.0, 3.5) == (100, 10)
    assert bytes_between(samples, 0.0, 9.0) == (300, 30)


def results() -> list[HollowResult]:
    first = Meter(in_force={1: [1.0], 2: [5.0]}, lists={"1.1": [3.0]}, session_starts=[0.5, 6.0])
    second = Meter(in_force={1: [1.5]}, lists={"1.1": [3.5]}, session_starts=[0.6, 7.0])
    return [HollowResult(first), HollowResult(second)]


def test_figures_of_several_processes_are_joined() -> None:
    assert arrivals_of(results(), 1) == [1.0, 1.5]
    assert list_arrivals(results()) == {"1.1": [3.0, 3.5]}
    assert settled_after(results(), 5.5) == 1.5
    assert settled_after(results(), 8.0) == 0.0


def point(edges: int) -> ScalePoint:
    return ScalePoint(edges, 10, 4, 3, 0, 1, 1, 1.0)


def run_of(edges: int) -> RunFigures:
    phase = PhaseFigures("idle", 1.0, 2.0 * edges, 1.0, 30.0, 400, 400, 0.1, 1.0, 30.0)
    return RunFigures(point(edges), 1.0, 1.0, 1.0, 0, {}, phases=[phase])


def test_slopes_are_over_the_dimension_that_alone_varies() -> None:
    found = {each.figure: each.slope.per_unit for each in slopes([run_of(10), run_of(20)])}
    assert found["control_cpu"] == pytest.approx(2.0)
    assert found["edge_in_bps"] == pytest.approx(0.0)
    assert list(slopes([run_of(10)])) == []


def test_points_are_all_combinations_within_bounds() -> None:
    parser = build_parser("scale")
    found = points(parser.parse_args(["--edges", "1,2", "--workers", "10,20"]))
    assert [(each.edges, each.workers) for each in found] == [(1, 10), (2, 10), (1, 20), (2, 20)]
    with pytest.raises(ValueError, match="too many hollow schedulers"):
        points(parser.parse_args(["--edges", "100000"]))
    with pytest.raises(ValueError, match="too many processes"):
        points(parser.parse_args(["--control", "100"]))


def test_a_long_configuration_is_valid() -> None:
    assert len(parse_configuration(encode_configuration(long_configuration(300))).routes) == 300


def test_a_scheduler_that_went_past_a_version_has_it_in_force() -> None:
    change = Change("burst", 1, 1.0, 1.1)
    skipped = [HollowResult(Meter(in_force={1: [1.2], 2: [1.3, 1.6]}))]
    found = ScaleSummary(Recording(point(2), generation=3), skipped).in_force(change)
    assert (found.count, found.missing) == (2, 0)
    assert found.worst_s == pytest.approx(0.3)


def test_workers_are_replaced_and_the_count_stays() -> None:
    workers = HollowWorkers(draw_layout(), 10)
    before = set(workers.entries)
    workers.replace_oldest()
    after = set(workers.entries)
    assert len(after) == len(before) == 10
    assert len(after - before) == 1


def test_a_large_message_is_decoded_once() -> None:
    workers = tuple(WorkerEntry(f"i{n}", "u", "127.0.0.1:1", "z", "v1", 1, False) for n in range(3000))
    payload = encode(WorkerList((1, 1), workers))
    decoder = SharedDecoder()
    first = decoder.decode(payload, WorkerList)
    assert decoder.decode(bytes(payload), WorkerList) is first
    small = encode(WorkerList((1, 2), ()))
    assert decoder.decode(small, WorkerList) is not decoder.decode(small, WorkerList)


def test_costs_of_messages_grow_with_their_entries() -> None:
    costs = {each.message: each for each in measure_all().costs}
    assert set(costs) == {
        "WorkerList", "Versions", "Watch", "MemberList", "ConfigurationSnapshot", "ConfigurationDelta",
    }  # fmt: skip
    assert all(each.bytes_per_entry > 0 for each in costs.values())
    assert all(each.largest_bytes > each.bytes_per_entry for each in costs.values())


def test_slope_of_rates_needs_its_bounds() -> None:
    with pytest.raises(ValueError, match="at most"):
        run_rates(build_rates_parser("rates").parse_args(["--per-s", "100000"]))
