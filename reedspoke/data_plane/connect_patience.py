"""How long a connection to a worker may take to come up, by how long others took. No I/O and no clock.

An attempt whose connection does not come up has certainly not run, so that giving up early costs little, and
a dark worker costs each request the whole wait. The estimate is that of TCP's retransmission timer (RFC
6298): the mean and four times the mean deviation, here with room for a scheduler that is late itself.
"""

from __future__ import annotations

MOST_S = 0.8  # an opening packet that was dropped is sent again after a second
LEAST_S = 0.15
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 4.0
ROOM = 4.0  # times the estimate


class ConnectPatience:
    """Learns from the connections that came up."""

    def __init__(self) -> None:
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def learn(self, took_s: float) -> None:
        """A connection came up after this time."""
        if self._mean_s is None:
            self._mean_s, self._deviation_s = took_s, took_s / 2
            return
        self._deviation_s += DEVIATION_GAIN * (abs(took_s - self._mean_s) - self._deviation_s)
        self._mean_s += MEAN_GAIN * (took_s - self._mean_s)

    @property
    def limit_s(self) -> float:
        """After which a connection is given up."""
        if self._mean_s is None:
            return MOST_S
        expected_s = self._mean_s + DEVIATIONS * self._deviation_s
        return min(MOST_S, max(LEAST_S, ROOM * expected_s))
