"""Requests to the control plane over HTTP/1.1: redirects, and retries at the next address after a failure."""

from __future__ import annotations

import http.client
import time
from collections.abc import Callable
from urllib.parse import urlsplit

from msgspec import Struct

from reedspoke.operator_cli.errors import OperatorError, OperatorErrorCode

MAX_REDIRECTS = 2
RESPONSE_TIMEOUT_S = 1.0
BYTES_PER_EXTRA_SECOND = 1_000_000  # a large body is given more time
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
TEMPORARY_REDIRECT = 307
FINAL_STATUSES = frozenset((400, 409, 412, 413, 422))  # end a request at once
RETRYABLE_STATUSES = frozenset((408, 429))
MAX_OTHER_REJECTIONS = 3  # other 4xx statuses, over all addresses


class ApiRequest(Struct, frozen=True):
    """One request; it may be sent to several control schedulers, always unchanged."""

    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] = {}


class ApiResponse(Struct, frozen=True):
    """What the control scheduler at `address` answered; `location` is the target of a redirect."""

    status: int
    body: bytes
    address: str
    location: str = ""

    @property
    def is_success(self) -> bool:
        """Whether the request was carried out."""
        return 200 <= self.status < 300

    @property
    def is_final(self) -> bool:
        """Whether the response ends a request at once."""
        return self.is_success or self.status in FINAL_STATUSES

    @property
    def is_other_rejection(self) -> bool:
        """Whether it is a rejection that ends a request only when it comes repeatedly."""
        return 400 <= self.status < 500 and self.status not in FINAL_STATUSES | RETRYABLE_STATUSES


class OperatorClient:
    """Sends a request to the addresses in turn until a response is final or the time is over."""

    def __init__(
        self,
        addresses: tuple[str, ...],
        timeout_s: float,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """`timeout_s` is for all attempts of a request together; `clock` returns seconds."""
        self._addresses = addresses
        self._timeout_s = timeout_s
        self._clock = clock
        self._sleep = sleep

    def send(self, request: ApiRequest) -> ApiResponse:
        """The first final response, which may be a rejection. Raises OperatorError after the time-out."""
        deadline = self._clock() + self._timeout_s
        backoff_s = INITIAL_BACKOFF_S
        rejections = 0
        attempts = 0
        while True:
            address = self._addresses[attempts % len(self._addresses)]
            attempts += 1
            try:
                response = send_following_redirects(address, request)
                rejections += response.is_other_rejection
                if response.is_final or rejections >= MAX_OTHER_REJECTIONS:
                    return response
                failure = f"{response.address} answered {response.status}"
            except (OSError, http.client.HTTPException) as error:
                failure = f"{address}: {error or type(error).__name__}"
            if self._clock() + backoff_s >= deadline:
                text = f"no clear answer in {self._timeout_s:g} s and {attempts} tries; last: {failure}"
                raise OperatorError(OperatorErrorCode.NO_ANSWER, text)
            self._sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)


def send_following_redirects(address: str, request: ApiRequest) -> ApiResponse:
    """One attempt, which begins at `address`. Raises OSError, HTTPException and OperatorError."""
    path = request.path
    for _ in range(MAX_REDIRECTS + 1):
        response = send_once(address, path, request)
        if response.status != TEMPORARY_REDIRECT:
            return response
        address, path = redirect_target(response.location)
    text = f"more than {MAX_REDIRECTS} redirects; last to {address}"
    raise OperatorError(OperatorErrorCode.TOO_MANY_REDIRECTS, text)


def send_once(address: str, path: str, request: ApiRequest) -> ApiResponse:
    """The response of one control scheduler. Raises OSError, HTTPException and OperatorError."""
    host, port = parse_address(address)
    timeout_s = RESPONSE_TIMEOUT_S + len(request.body) / BYTES_PER_EXTRA_SECOND
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(request.method, path, body=request.body or None, headers=request.headers)
        response = connection.getresponse()
        location = response.getheader("Location", "")
        return ApiResponse(response.status, response.read(), address, location)
    finally:
        connection.close()


def redirect_target(location: str) -> tuple[str, str]:
    """Address and path that a `Location` header names. Raises OperatorError."""
    target = urlsplit(location)
    if not target.hostname or not target.port:
        raise OperatorError(OperatorErrorCode.MALFORMED_ANSWER, f"a redirect to {location!r}")
    return f"{target.hostname}:{target.port}", target.path or "/"


def parse_address(address: str) -> tuple[str, int]:
    """Host and port of `ip:port`. Raises OperatorError for anything else."""
    host, _, port = address.strip().rpartition(":")
    if not host or not port.isdecimal():
        raise OperatorError(OperatorErrorCode.ADDRESS_INVALID, f"{address!r} is not of the form ip:port")
    return host, int(port)


def parse_addresses(text: str) -> tuple[str, ...]:
    """The addresses of a list separated by commas. Raises OperatorError."""
    addresses = tuple(address.strip() for address in text.split(",") if address.strip())
    if not addresses:
        raise OperatorError(OperatorErrorCode.ADDRESS_INVALID, "no address is given")
    for address in addresses:
        parse_address(address)
    return addresses
