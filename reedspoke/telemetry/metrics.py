"""Counters, gauges and histograms of a process, told in the Prometheus text format (version 0.0.4).

A small set of our own: beside the libraries that are loaded anyway, `prometheus_client` costs 5 MB and 0.06 s
at each start.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Protocol

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
LabelValues = tuple[str, ...]
Sample = tuple[LabelValues, float]


class Metric(Protocol):
    """What the registry tells."""

    def lines(self) -> Iterator[str]: ...


class Counter:
    """A number that only rises, for each combination of label values."""

    def __init__(self, name: str, help_text: str, labels: LabelValues = ()) -> None:
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
        yield from heading(self._name, self._help, "counter")
        for values, count in sorted(self._values.items()):
            yield sample(self._name, self._labels, values, count)


class Gauge:
    """Numbers that are read when they are told."""

    def __init__(
        self, name: str, help_text: str, read: Callable[[], Iterable[Sample]], labels: LabelValues = ()
    ) -> None:
        self._name = name
        self._help = help_text
        self._read = read
        self._labels = labels

    def lines(self) -> Iterator[str]:
        yield from heading(self._name, self._help, "gauge")
        for values, number in self._read():
            yield sample(self._name, self._labels, values, number)


class Histogram:
    """How often values lay below each of some bounds."""

    def __init__(self, name: str, help_text: str, bounds: tuple[float, ...]) -> None:
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
        yield from heading(self._name, self._help, "histogram")
        total = 0
        for bound, count in zip((*map(str, self._bounds), "+Inf"), self._counts, strict=True):
            total += count
            yield sample(f"{self._name}_bucket", ("le",), (bound,), total)
        yield sample(f"{self._name}_sum", (), (), self._sum)
        yield sample(f"{self._name}_count", (), (), total)


class Registry:
    """All figures of a process."""

    def __init__(self) -> None:
        self._metrics: list[Metric] = []

    def counter(self, name: str, help_text: str, labels: LabelValues = ()) -> Counter:
        """A new counter."""
        counter = Counter(name, help_text, labels)
        self._metrics.append(counter)
        return counter

    def histogram(self, name: str, help_text: str, bounds: tuple[float, ...]) -> Histogram:
        """A new histogram; `bounds` rise."""
        histogram = Histogram(name, help_text, bounds)
        self._metrics.append(histogram)
        return histogram

    def gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """One number that `read` tells."""
        self._metrics.append(Gauge(name, help_text, lambda: [((), read())]))

    def by_label(
        self, name: str, help_text: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Numbers by the values of one label."""
        samples = Gauge(name, help_text, lambda: [((key,), n) for key, n in read().items()], (label,))
        self._metrics.append(samples)

    def text(self) -> str:
        """All figures as they are now."""
        return "".join(line + "\n" for metric in self._metrics for line in metric.lines())


def heading(name: str, help_text: str, kind: str) -> Iterator[str]:
    """The lines before the samples of a metric."""
    yield f"# HELP {name} {help_text}"
    yield f"# TYPE {name} {kind}"


def sample(name: str, labels: LabelValues, values: LabelValues, number: float) -> str:
    """One line of a metric."""
    pairs = ",".join(f'{label}="{escaped(value)}"' for label, value in zip(labels, values, strict=True))
    return f"{name}{{{pairs}}} {told(number)}" if pairs else f"{name} {told(number)}"


def escaped(value: str) -> str:
    """A label's value as the format wants it."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def told(number: float) -> str:
    """A number without needless digits; whole ones keep all of theirs."""
    return str(int(number)) if number == int(number) else repr(round(number, 9))
