"""Calls to the control plane over HTTP/1.1: redirects, and the next address after a failure."""

from __future__ import annotations

import http.client
import time
from collections.abc import Callable
from urllib.parse import urlsplit

from msgspec import Struct

from reedspoke.operator_cli.errors import OperatorError, OperatorErrorCode

MOST_REDIRECTS = 2
ANSWER_TIMEOUT_S = 1.0
BYTES_PER_EXTRA_SECOND = 1_000_000  # a large body is given more time
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0
FINAL_STATUSES = frozenset((400, 409, 412, 413, 422))
PASSING_STATUSES = frozenset((408, 429))
MOST_OTHER_REFUSALS = 3
REDIRECT = 307


class Answer(Struct, frozen=True):
    """What a control scheduler answered, and which one it was."""

    status: int
    body: bytes
    address: str

    @property
    def success(self) -> bool:
        return 200 <= self.status < 300


class Call(Struct, frozen=True):
    """One request; it may be sent to several control schedulers, always unchanged."""

    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] = {}


class OperatorClient:
    """Sends a call to the addresses in turn until one gives a clear answer or the time is over."""

    def __init__(
        self,
        addresses: tuple[str, ...],
        timeout_s: float,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._addresses = addresses
        self._timeout_s = timeout_s
        self._clock = clock
        self._sleep = sleep

    def send(self, call: Call) -> Answer:
        """The first clear answer, which may be a refusal. Raises OperatorError where none came in time."""
        end = self._clock() + self._timeout_s
        pause = FIRST_PAUSE_S
        refusals = 0
        attempt = 0
        while True:
            address = self._addresses[attempt % len(self._addresses)]
            attempt += 1
            try:
                answer = send_following_redirects(address, call)
                cause = f"{answer.address} answered {answer.status}"
            except (OSError, http.client.HTTPException) as error:
                answer = None
                cause = f"{address}: {error or type(error).__name__}"
            if answer is not None:
                refusals += is_other_refusal(answer.status)
                if is_clear(answer.status) or refusals >= MOST_OTHER_REFUSALS:
                    return answer
            if self._clock() + pause >= end:
                text = f"no clear answer in {self._timeout_s:g} s and {attempt} tries; last: {cause}"
                raise OperatorError(OperatorErrorCode.NO_ANSWER, text)
            self._sleep(pause)
            pause = min(2 * pause, LONGEST_PAUSE_S)


def is_clear(status: int) -> bool:
    """Whether an answer with this status ends a call at once."""
    return 200 <= status < 300 or status in FINAL_STATUSES


def is_other_refusal(status: int) -> bool:
    """Whether the status is a refusal that ends a call only when it comes again and again."""
    return 400 <= status < 500 and status not in FINAL_STATUSES | PASSING_STATUSES


def send_following_redirects(address: str, call: Call) -> Answer:
    """One try, beginning at `address`."""
    path = call.path
    for _ in range(MOST_REDIRECTS + 1):
        status, body, location = exchange(address, path, call)
        if status != REDIRECT:
            return Answer(status, body, address)
        address, path = redirect_target(location)
    text = f"more than {MOST_REDIRECTS} redirects; last to {address}"
    raise OperatorError(OperatorErrorCode.TOO_MANY_REDIRECTS, text)


def exchange(address: str, path: str, call: Call) -> tuple[int, bytes, str]:
    """Status, body and `Location` of the answer of one control scheduler."""
    host, port = parse_address(address)
    timeout = ANSWER_TIMEOUT_S + len(call.body) / BYTES_PER_EXTRA_SECOND
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        connection.request(call.method, path, body=call.body or None, headers=call.headers)
        response = connection.getresponse()
        return response.status, response.read(), response.getheader("Location", "")
    finally:
        connection.close()


def redirect_target(location: str) -> tuple[str, str]:
    """Address and path that a `Location` header names."""
    parts = urlsplit(location)
    if not parts.hostname or not parts.port:
        raise OperatorError(OperatorErrorCode.MALFORMED_ANSWER, f"a redirect to {location!r}")
    return f"{parts.hostname}:{parts.port}", parts.path or "/"


def parse_address(address: str) -> tuple[str, int]:
    """Host and port of `ip:port`. Raises OperatorError for anything else."""
    host, _, port = address.strip().rpartition(":")
    if not host or not port.isdecimal():
        raise OperatorError(OperatorErrorCode.ADDRESS_INVALID, f"{address!r} is not of the form ip:port")
    return host, int(port)


def parse_addresses(text: str) -> tuple[str, ...]:
    """The addresses of a list separated by commas."""
    addresses = tuple(part.strip() for part in text.split(",") if part.strip())
    if not addresses:
        raise OperatorError(OperatorErrorCode.ADDRESS_INVALID, "no address is given")
    for address in addresses:
        parse_address(address)
    return addresses
