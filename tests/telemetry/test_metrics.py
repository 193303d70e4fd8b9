"""Metrics in Prometheus' text format."""

from __future__ import annotations

from reedspoke.telemetry.metrics import Registry


def test_a_counter_has_a_sample_for_each_combination_of_labels() -> None:
    registry = Registry()
    counter = registry.counter("reedspoke_things_total", "Things.", ("kind", "status"))
    counter.add("a", "200")
    counter.add("a", "200")
    counter.add("b", "503", amount=3)
    assert registry.text() == (
        "# HELP reedspoke_things_total Things.\n"
        "# TYPE reedspoke_things_total counter\n"
        'reedspoke_things_total{kind="a",status="200"} 2\n'
        'reedspoke_things_total{kind="b",status="503"} 3\n'
    )
    assert counter.value("a", "200") == 2
    assert counter.value("c", "200") == 0


def test_a_label_cannot_break_out_of_its_quotes() -> None:
    registry = Registry()
    registry.counter("n", "Help.", ("name",)).add('a"b\\c\nd')
    assert registry.text().splitlines()[-1] == 'n{name="a\\"b\\\\c\\nd"} 1'


def test_a_gauge_is_read_when_it_is_rendered() -> None:
    registry = Registry()
    level = [1.0]
    registry.gauge("level", "Level.", lambda: level[0])
    assert registry.text().splitlines()[-1] == "level 1"
    level[0] = 2.5
    assert registry.text().splitlines()[-1] == "level 2.5"


def test_a_labelled_gauge_has_a_sample_for_each_value() -> None:
    registry = Registry()
    registry.labelled_gauge("state", "State.", "what", lambda: {"view": 3, "voters": 5})
    assert registry.text().splitlines()[-2:] == ['state{what="view"} 3', 'state{what="voters"} 5']


def test_a_histogram_counts_what_lies_at_or_below_each_bound() -> None:
    registry = Registry()
    histogram = registry.histogram("wait", "Wait.", (0.1, 1.0))
    for value in (0.05, 0.1, 0.5, 7.0):
        histogram.observe(value)
    assert registry.text().splitlines()[2:] == [
        'wait_bucket{le="0.1"} 2',
        'wait_bucket{le="1.0"} 3',
        'wait_bucket{le="+Inf"} 4',
        "wait_sum 7.65",
        "wait_count 4",
    ]


def test_a_large_count_keeps_its_digits() -> None:
    registry = Registry()
    registry.counter("n", "Help.").add(amount=123_456_789)
    assert registry.text().splitlines()[-1] == "n 123456789"
