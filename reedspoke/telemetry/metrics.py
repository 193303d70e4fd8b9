"""Counters, gauges and histograms of a process in Prometheus' text format (version 0.0.4).

A small implementation of our own: beside the libraries that are loaded anyway, `prometheus_client` costs 5
MB and 0.06 s at each start.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Protocol

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
LabelNames = tuple[str, ...]
LabelValues = tuple[str, ...]  # in the order of the names
Sample = tuple[LabelValues, float]


class Metric(Protocol):
    """One metric family of the registry."""

    def lines(self) -> Iterator[str]:
        """The family in the text format, without line ends."""
        ...


class Counter:
    """A number that only rises, for each combination of label values."""

    def __init__(self, name: str, help_text: str, labels: LabelNames = ()) -> None:
        """`labels` are the names of the labels."""
        self._name = name
        self._help = help_text
        self._labels = labels
        self._values: defaultdict[LabelValues, float] = defaultdict(float)

    def add(self, *values: str, amount: float = 1) -> None:
        """Count `amount` more, under label values in the order of the labels."""
        self._values[values] += amount

    def value(self, *values: str) -> float:
        """The count so far."""
        return self._values.get(values, 0.0)

    def lines(self) -> Iterator[str]:
        """The family in the text format."""
        yield from heading_lines(self._name, self._help, "counter")
        for values, count in sorted(self._values.items()):
            yield sample_line(self._name, self._labels, values, count)


class Gauge:
    """Numbers that are read when the metrics are rendered."""

    def __init__(
        self, name: str, help_text: str, read: Callable[[], Iterable[Sample]], labels: LabelNames = ()
    ) -> None:
        """`read` returns all samples."""
        self._name = name
        self._help = help_text
        self._read = read
        self._labels = labels

    def lines(self) -> Iterator[str]:
        """The family in the text format."""
        yield from heading_lines(self._name, self._help, "gauge")
        for values, number in self._read():
            yield sample_line(self._name, self._labels, values, number)


class Histogram:
    """How many observed values lay at or below each of some upper bounds."""

    def __init__(self, name: str, help_text: str, bounds: tuple[float, ...]) -> None:
        """`bounds` are ascending."""
        self._name = name
        self._help = help_text
        self._bounds = bounds
        self._counts = [0] * (len(bounds) + 1)
        self._sum = 0.0

    def observe(self, value: float) -> None:
        """Count one value."""
        self._counts[bisect_left(self._bounds, value)] += 1
        self._sum += value

    def lines(self) -> Iterator[str]:
        """The family in the text format."""
        yield from heading_lines(self._name, self._help, "histogram")
        total = 0
        for bound, count in zip((*map(str, self._bounds), "+Inf"), self._counts, strict=True):
            total += count
            yield sample_line(f"{self._name}_bucket", ("le",), (bound,), total)
        yield sample_line(f"{self._name}_sum", (), (), self._sum)
        yield sample_line(f"{self._name}_count", (), (), total)


class Registry:
    """All metrics of a process."""

    def __init__(self) -> None:
        """There is no metric yet."""
        self._metrics: list[Metric] = []

    def counter(self, name: str, help_text: str, labels: LabelValues = ()) -> Counter:
        """Adds a counter."""
        counter = Counter(name, help_text, labels)
        self._metrics.append(counter)
        return counter

    def histogram(self, name: str, help_text: str, bounds: tuple[float, ...]) -> Histogram:
        """Adds a histogram; `bounds` are ascending."""
        histogram = Histogram(name, help_text, bounds)
        self._metrics.append(histogram)
        return histogram

    def gauge(self, name: str, help_text: str, read: Callable[[], float | None]) -> None:
        """Adds a gauge whose value `read` returns; None is an unknown value, which has no sample."""

        def samples() -> list[Sample]:
            value = read()
            return [] if value is None else [((), value)]

        self._metrics.append(Gauge(name, help_text, samples))

    def labelled_gauge(
        self, name: str, help_text: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Adds a gauge with one label; `read` returns the numbers by the label's values."""
        gauge = Gauge(
            name, help_text, lambda: [((value,), number) for value, number in read().items()], (label,)
        )
        self._metrics.append(gauge)

    def text(self) -> str:
        """All metrics as they are now."""
        return "".join(line + "\n" for metric in self._metrics for line in metric.lines())


def heading_lines(name: str, help_text: str, kind: str) -> Iterator[str]:
    """The lines before the samples of a metric family."""
    yield f"# HELP {name} {help_text}"
    yield f"# TYPE {name} {kind}"


def sample_line(name: str, labels: LabelNames, values: LabelValues, number: float) -> str:
    """The line of one sample."""
    pairs = ",".join(
        f'{label}="{escape_label_value(value)}"' for label, value in zip(labels, values, strict=True)
    )
    return f"{name}{{{pairs}}} {format_number(number)}" if pairs else f"{name} {format_number(number)}"


def escape_label_value(value: str) -> str:
    """A label's value as the text format wants it between its quotes."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def format_number(number: float) -> str:
    """A number without needless digits; integers keep all of theirs."""
    return str(int(number)) if number == int(number) else repr(round(number, 9))
