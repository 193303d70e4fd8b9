"""Answers to challenges: a listener that serves nothing else (http-01), and an operator's command
(dns-01)."""

from __future__ import annotations

import asyncio
import base64
import hashlib
import logging
import os
import signal
import socket
import subprocess
from collections.abc import Callable
from contextlib import suppress

from tornado.iostream import StreamClosedError

from reedspoke.errors import ReedspokeError
from reedspoke.net.http import Buffer, MalformedError, RequestParser
from reedspoke.net.listener import Listener
from reedspoke.net.message import request_path
from reedspoke.net.streams import end_sending, read, stream

log = logging.getLogger("reedspoke")

PLACE = b"/.well-known/acme-challenge/"
BACKLOG = 64
CALLERS = 16  # at once; an authority calls from a handful of places
CALL = 2.0  # s for a whole call
MOST_HEAD = 4 * 1024
MOST_OUTPUT = 2000


class HttpAnswers:
    """The tokens of open challenges, told to whoever asks for one by name."""

    def __init__(
        self, address: tuple[str, int], shared: Callable[[bytes], bytes | None] | None = None
    ) -> None:
        """`shared`: the answer to a token that another process has published."""
        self.address, self.shared = address, shared
        self._answers: dict[bytes, bytes] = {}
        self._listener: Listener | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.asked = 0

    def open(self) -> None:
        """Raises OSError, where the port is taken, say; it may be tried again."""
        if self._listener is None:
            listener = Listener(self.address, BACKLOG, self._take, where=" at the challenge listener")
            listener.open()
            self._listener = listener

    def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def publish(self, token: str, answer: str) -> None:
        """Raises OSError where nobody could ask for it."""
        self.open()
        self._answers[token.encode()] = answer.encode()

    def withdraw(self, token: str) -> None:
        self._answers.pop(token.encode(), None)

    def _take(self, raw: socket.socket) -> None:
        task = asyncio.ensure_future(self._serve(raw))
        self._tasks.add(task)
        task.add_done_callback(self._done)
        if self._listener is not None:
            self._listener.hold("callers", len(self._tasks) >= CALLERS)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if self._listener is not None:
            self._listener.hold("callers", len(self._tasks) >= CALLERS)

    async def _serve(self, raw: socket.socket) -> None:
        try:
            source = stream(raw)
        except OSError:
            raw.close()
            return
        try:
            async with asyncio.timeout(CALL):
                status, body = await self._answer(source)
                head = b"HTTP/1.1 %b\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n"
                await source.write(head % (status, len(body)) + b"Connection: close\r\n\r\n" + body)
                end_sending(source)
        except (StreamClosedError, OSError, TimeoutError):
            pass
        except Exception:
            log.exception("fault: challenge listener")
        finally:
            source.close()

    async def _answer(self, source: object) -> tuple[bytes, bytes]:
        buffer = Buffer()
        requests = RequestParser(buffer)
        try:
            while (head := requests.head()) is None:
                if len(buffer) > MOST_HEAD:
                    return b"431 Request Header Fields Too Large", b""
                await read(source, buffer)  # type: ignore[arg-type]
            named = request_path(head)
        except MalformedError:
            return b"400 Bad Request", b""
        if head.method not in (b"GET", b"HEAD"):
            return b"405 Method Not Allowed", b""
        token = named.removeprefix(PLACE) if named.startswith(PLACE) else b""
        answer = self._answers.get(token)
        if answer is None and token and self.shared is not None:
            answer = self.shared(token)
        if answer is None:
            return b"404 Not Found", b""
        self.asked += 1
        return b"200 OK", answer if head.method == b"GET" else b""


def shared_file(token: bytes) -> str:
    """Where the store has the answer: tokens have capitals, its names have none."""
    return f"challenge-{hashlib.sha256(token).hexdigest()}"


class CommandError(ReedspokeError):
    """The challenge command did not do it; the text says what it said."""

    code = "challenge-command-failed"
    remedy = "run acme.dns.command by hand as the message has it, and mend what it says"


def dns_name(host: str) -> str:
    return "_acme-challenge." + host.removeprefix("*.")


def dns_value(key_authorization: str) -> str:
    """RFC 8555, 8.4."""
    digest = hashlib.sha256(key_authorization.encode()).digest()
    return base64.urlsafe_b64encode(digest).rstrip(b"=").decode()


def command(words: list[str], verb: str, name: str, value: str, limit: float) -> None:
    """Run the operator's command; `limit`: s. It blocks, and ends with all that it started. Raises
    CommandError."""
    try:
        process = subprocess.Popen(
            [*words, verb, name, value], stdin=subprocess.DEVNULL, stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT, start_new_session=True,
        )  # fmt: skip
    except OSError as error:
        raise CommandError(f"challenge command cannot be run: {error.strerror}") from None
    try:
        told, _ = process.communicate(timeout=limit)
    except subprocess.TimeoutExpired:
        raise CommandError(f"challenge command did not end within {limit:g} s") from None
    finally:
        with suppress(ProcessLookupError, PermissionError):
            os.killpg(process.pid, signal.SIGKILL)
        process.wait()
        assert process.stdout is not None
        process.stdout.close()
    if process.returncode:
        text = told[-MOST_OUTPUT:].decode(errors="replace").strip().replace("\n", " / ")
        raise CommandError(f"challenge command ended with {process.returncode}: {text[-200:]}")
