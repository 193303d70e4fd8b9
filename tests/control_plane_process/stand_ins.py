"""Test doubles for the environment of a control plane node: platform, data plane node and operator."""

from __future__ import annotations

import http.client
import json
import socket
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, TypeVar
from urllib.parse import parse_qs, urlsplit

from msgspec import Struct

from reedspoke.common.messages import (
    ConfigurationDelta,
    ConfigurationSnapshot,
    EvacuationOrders,
    FetchRequest,
    MemberList,
    UnconfirmedResponse,
    Version,
    WatchRequest,
    WatchResponse,
    WorkerList,
    decode,
    encode,
)
from reedspoke.common.node_settings import split_address
from reedspoke.common.transport import LENGTH
from reedspoke.control_plane.workers.worker_list import UNLEASED_TERM

POLL_S = 0.02
CHUNK = 50_000
WORKERS_TIMEOUT_S = 6.0
Answer = (
    WatchResponse
    | UnconfirmedResponse
    | WorkerList
    | ConfigurationSnapshot
    | ConfigurationDelta
    | MemberList
    | EvacuationOrders
)
EARLIER_SOURCES = ("configuration", "workers", "members")  # that the version before knows
Found = TypeVar("Found")


def wait_until(condition: Callable[[], Found | None], within: float, what: str) -> Found:
    """Return the first true value of the condition. Fails after `within` seconds."""
    deadline = time.monotonic() + within
    while True:
        found = condition()
        if found:
            return found
        assert time.monotonic() < deadline, f"not within {within} s: {what}"
        time.sleep(POLL_S)


def platform_instance(instance_id: str, **fields: Any) -> dict[str, Any]:
    """Return an entry of the platform's list."""
    entry = {
        "instance_id": instance_id,
        "upstream": "u1",
        "address": "127.0.0.1:9",
        "zone": "za",
        "generation": "v1",
        "capacity": 8,
        "state": "up",
        "cold_left_ms": 0,
        "models": [{"name": "m"}],
    }
    return entry | fields


class QuietHttpServer(ThreadingHTTPServer):
    """A server that logs no errors of clients that close their connection early."""

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore the error."""


class FakePlatform:
    """A platform whose list of workers is served in pages."""

    def __init__(self, host: str) -> None:
        self.instances: list[dict[str, Any]] = [
            platform_instance("i-1"),
            platform_instance("i-2"),
            platform_instance("i-3"),
        ]
        self.page_size = 2
        self.status = 200
        self.calls = 0
        platform = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self) -> None:
                platform.calls += 1
                body = platform.page(self.path)
                self.send_response(platform.status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *arguments: object) -> None:
                """Suppress the access log."""

        self._server = QuietHttpServer((host, 0), Handler)
        self._server.daemon_threads = True
        self.address = f"{host}:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def page(self, path: str) -> bytes:
        """Return the page of the list that the request path names."""
        token = parse_qs(urlsplit(path).query).get("page_token", ["0"])[0]
        start = int(token)
        end = start + self.page_size
        following = str(end) if end < len(self.instances) else None
        return json.dumps({"instances": self.instances[start:end], "next_token": following}).encode()

    def close(self) -> None:
        """Stop the server."""
        self._server.shutdown()
        self._server.server_close()


class EdgeClient:
    """A session of a data plane node, with blocking calls. `sources` are those that it knows."""

    def __init__(
        self,
        address: str,
        node_name: str = "edge-1",
        incarnation: str = "1",
        sources: tuple[str, ...] = EARLIER_SOURCES,
    ) -> None:
        self.sources = sources
        self.node_name = node_name
        self.incarnation = incarnation
        self.versions: dict[str, Version] = {}
        self._request_id = 0
        self._socket = socket.create_connection(split_address(address), timeout=3.0)

    def watch(
        self,
        *,
        draining: bool = False,
        running: dict[str, tuple[int, int]] | None = None,
        suspects: tuple[str, ...] = (),
    ) -> WatchResponse:
        """Watch until the control plane node has contact with a majority, and return the response."""
        while True:
            answer = self.watch_once(draining=draining, running=running, suspects=suspects)
            if isinstance(answer, WatchResponse):
                return answer

    def watch_once(
        self,
        *,
        draining: bool = False,
        running: dict[str, tuple[int, int]] | None = None,
        suspects: tuple[str, ...] = (),
    ) -> WatchResponse | UnconfirmedResponse:
        """Send a watch, and return its response."""
        self._request_id += 1
        asked = WatchRequest(
            self._request_id,
            self.node_name,
            self.incarnation,
            "za",
            self.versions,
            running or {},
            draining,
            suspects,
        )
        self._send(asked)
        answer = self.receive()
        assert isinstance(answer, WatchResponse | UnconfirmedResponse)
        assert answer.request_id == self._request_id
        return answer

    def fetch(self, source: str, have: Version = (0, 0)) -> Answer:
        """Fetch one source."""
        self._send(FetchRequest(source, have))
        return self.receive()

    def fetch_updates(self) -> dict[str, Answer]:
        """Watch once, and fetch every source with a new version."""
        found: dict[str, Answer] = {}
        for source, version in self.watch().versions.items():
            held = self.versions.get(source, (0, 0))
            is_compared_for_equality = source in ("members", "evacuations")
            if source in self.sources and (version > held or (is_compared_for_equality and version != held)):
                found[source] = self.fetch(source, held)
                self.versions[source] = getattr(found[source], "version")  # noqa: B009
        return found

    def receive(self) -> Answer:
        """Receive one message."""
        (length,) = LENGTH.unpack(self._exactly(LENGTH.size))
        answer: Answer = decode(self._exactly(length), Answer)
        return answer

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def _send(self, message: Struct) -> None:
        payload = encode(message)
        self._socket.sendall(LENGTH.pack(len(payload)) + payload)

    def _exactly(self, count: int) -> bytes:
        data = bytearray()
        while len(data) < count:
            part = self._socket.recv(count - len(data))
            if not part:
                raise ConnectionResetError("the control plane node closed the session")
            data += part
        return bytes(data)


class Reply(Struct):
    """A response to an operator's call."""

    status: int
    body: bytes
    headers: dict[str, str]

    def error_code(self) -> int:
        """Return the error code in the body."""
        code = json.loads(self.body)["error"]["code"]
        assert isinstance(code, int)
        return code


def send_request(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    match: str | None = None,
    *,
    in_chunks: bool = False,
) -> Reply | None:
    """Send one request on a new connection. Returns None without a response within a second."""
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=1.0)
    headers = {} if match is None else {"If-Match": match}
    sent = body
    if in_chunks and body is not None:
        headers["Transfer-Encoding"] = "chunked"
        sent = (body[start : start + CHUNK] for start in range(0, len(body), CHUNK))  # type: ignore[assignment]
    try:
        connection.request(method, path, sent, headers, encode_chunked=in_chunks)
        response = connection.getresponse()
        return Reply(response.status, response.read(), dict(response.getheaders()))
    except OSError:
        return None
    finally:
        connection.close()


def configuration_document(generation: int, routes: int = 2, **changes: Any) -> bytes:
    """Return a valid configuration document."""
    document = {
        "generation": generation,
        "routes": [
            {
                "name": f"r{number}",
                "hostname": "h.example",
                "path_prefix": f"/p{number}/",
                "route_type": "idempotent",
                "timeout_ms": 1000 + generation,
                "upstream": "u1",
            }
            for number in range(routes)
        ],
        "upstreams": [{"name": "u1", "health_check": "/health", "max_connections": 10}],
        "limits": {"max_header_bytes": 16384},
    }
    return json.dumps(document | changes).encode()


def fetch_new_workers(edge: EdgeClient) -> WorkerList | None:
    """Fetch the list of workers, or return None if it is not newer than the client's."""
    answer = edge.fetch_updates().get("workers")
    assert answer is None or isinstance(answer, WorkerList)
    return answer


def wait_for_leased_workers(edge: EdgeClient) -> WorkerList:
    """Wait for a list that a holder of the lease has published, and return it."""
    found: list[WorkerList] = []

    def published() -> bool:
        workers = fetch_new_workers(edge)
        found.extend([workers] if workers is not None else [])
        return bool(found) and found[-1].version[0] > UNLEASED_TERM

    wait_until(published, WORKERS_TIMEOUT_S, "a list of workers is published")
    return found[-1]
