"""A control scheduler on loopback that gives scripted responses."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, HTTPServer

from msgspec import Struct, field


class ScriptedAnswer(Struct):
    status: int
    body: bytes = b""
    location: str = ""


class Received(Struct):
    method: str
    path: str
    match: str | None
    body: bytes


class Stub(Struct):
    """Gives the answers in turn, the last one again and again."""

    answers: list[ScriptedAnswer]
    address: str = ""
    received: list[Received] = field(default_factory=list)

    def next_answer(self) -> ScriptedAnswer:
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]


@contextmanager
def stub_server(*answers: ScriptedAnswer) -> Iterator[Stub]:
    stub = Stub(list(answers))

    class Handler(BaseHTTPRequestHandler):
        def answer(self) -> None:
            body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
            stub.received.append(Received(self.command, self.path, self.headers.get("If-Match"), body))
            scripted = stub.next_answer()
            self.send_response(scripted.status)
            if scripted.location:
                self.send_header("Location", scripted.location)
            self.send_header("Content-Length", str(len(scripted.body)))
            self.end_headers()
            self.wfile.write(scripted.body)

        do_GET = do_PUT = answer  # noqa: N815

        def log_message(self, *_: object) -> None:
            """Silent."""

    server = HTTPServer(("127.0.0.1", 0), Handler)
    stub.address = f"127.0.0.1:{server.server_port}"
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01}, daemon=True)
    thread.start()
    try:
        yield stub
    finally:
        server.shutdown()
        server.server_close()
        thread.join()
