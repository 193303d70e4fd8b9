"""The figures of the TLS front and of its certificates, for Prometheus."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

TIMES = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0)
OUTCOMES = ("full", "resumed", "failed", "dropped", "no_name", "unknown_name", "no_certificate", "expired")
ORDERS = ("installed", "refused", "rate_limited", "unreachable", "unfit", "failed")


class Meters:
    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._handshakes = Counter(
            "reedspoke_handshakes", "Handshakes, by how they ended.", ["outcome"], registry=self.registry
        )
        self._times = Histogram(
            "reedspoke_handshake_seconds", "Time of handshakes that succeeded.", buckets=TIMES,
            registry=self.registry,
        )  # fmt: skip
        self._expiry = Gauge(
            "reedspoke_certificate_expiry_seconds", "Until the certificate expires; below 0: since then.",
            ["name"], registry=self.registry,
        )  # fmt: skip
        self._alarm = Gauge(
            "reedspoke_certificate_alarm",
            "0: as planned, 1: renewal is late, 2: half of the time to renew is gone, 3: none in force.",
            ["name"], registry=self.registry,
        )  # fmt: skip
        self._orders = Counter(
            "reedspoke_orders", "Orders at authorities, by how they ended.", ["outcome", "authority"],
            registry=self.registry,
        )  # fmt: skip
        for outcome in OUTCOMES:
            self._handshakes.labels(outcome)

    def handshake(self, outcome: str, took: float) -> None:
        """`took`: s."""
        self._handshakes.labels(outcome).inc()
        if outcome in ("full", "resumed"):
            self._times.observe(took)

    def certificate(self, name: str, left: float, alarm: int) -> None:
        """`left`: s until it expires; where there is none, 0."""
        self._expiry.labels(name).set(left)
        self._alarm.labels(name).set(alarm)

    def gone(self, name: str) -> None:
        """The operator file names it no longer."""
        for gauge in (self._expiry, self._alarm):
            gauge.remove(name)

    def order(self, outcome: str, authority: str) -> None:
        self._orders.labels(outcome, authority).inc()

    def text(self) -> str:
        return generate_latest(self.registry).decode()
