"""Clients on loopback that count what became of each of their requests."""

from __future__ import annotations

import asyncio
import random
import ssl
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from reedspoke.lab.hosts import message
from reedspoke.lab.settings import ASKED, Deployment

PATIENCE = 20.0  # s for an answer whatever the deadline says: later it is lost
ENDED = (OSError, asyncio.IncompleteReadError, EOFError)


@dataclass(slots=True)
class Tally:
    """What clients saw. Times in s."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0  # no answer, or no connection
    wrong: int = 0  # the answer to another request
    resets: int = 0  # a connection that was reset, or closed while an answer was due
    handshakes: int = 0
    refused_handshakes: int = 0
    expired: int = 0
    bad_chain: int = 0
    serials: dict[str, set[str]] = field(default_factory=dict)  # of the certificates seen, by name
    times: list[tuple[float, float]] = field(default_factory=list)  # (when, how long) of answers
    handshake_times: list[float] = field(default_factory=list)
    why: Counter[str] = field(default_factory=Counter)

    def lose(self, why: str) -> None:
        self.lost += 1
        self.why[why] += 1


@dataclass(slots=True)
class Target:
    """Where clients connect. `names`: to ask for by SNI, one for each connection."""

    host: str
    port: int
    tls: ssl.SSLContext | None = None
    names: tuple[str, ...] = ()


class Client:
    """One connection at a time, kept for `keep` requests."""

    def __init__(
        self, target: Target, tally: Tally, seed: int, keep: int, deployment: Deployment = ASKED
    ) -> None:
        self.deployment = deployment
        self.target, self.tally, self.keep = target, tally, keep
        self._random = random.Random(seed)
        self._seed, self._made = seed, 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._used = 0

    async def run(self, until: Callable[[], bool], pause: float) -> None:
        """One request after another; `pause`: mean s between them."""
        while not until():
            await self.one()
            if pause:
                await asyncio.sleep(self._random.expovariate(1 / pause))
        self.close()

    async def one(self) -> None:
        self.tally.requests += 1
        if not await self._connect():
            return
        reused = self._used > 0
        self._used += 1
        name, data = self._request()
        since = time.monotonic()
        try:
            answer = await asyncio.wait_for(self._exchange(data), PATIENCE)
        except TimeoutError:
            self.tally.lose("no answer")
            self.close()
            return
        except ENDED as error:
            self.close()
            if isinstance(error, ConnectionResetError | BrokenPipeError) or not reused:
                self.tally.resets += 1
                self.tally.lose(type(error).__name__)
            else:  # closed between two requests: it goes once more on a new one
                self.tally.requests -= 1
            return
        self.tally.times.append((since, time.monotonic() - since))
        self._judge(name, answer.first, answer.body)
        if self._used >= self.keep or answer.fields.get("connection", "").lower() == "close":
            self.close()

    async def _exchange(self, data: bytes) -> Answer:
        assert self._writer is not None
        assert self._reader is not None
        self._writer.write(data)
        answer = await message(self._reader)
        if answer is None:
            raise EOFError("closed")
        return Answer(answer.first, answer.fields, answer.body)

    def _judge(self, name: str, first: str, body: bytes) -> None:
        status = first.split()[1]
        if status == "200":
            if body.decode("latin-1").startswith(f"{name} "):
                self.tally.served += 1
            else:
                self.tally.wrong += 1
        elif status in ("429", "503"):
            self.tally.refused += 1
        else:
            self.tally.failed += 1
            self.tally.why[f"status {status}"] += 1

    def _request(self) -> tuple[str, bytes]:
        self._made += 1
        name = f"{self._seed:x}-{self._made:x}"
        classes, tenants = self.deployment.classes, self.deployment.tenants
        cls = self._random.choices(classes, [row[6] for row in classes])[0]
        tenant = self._random.choices(tenants, [share for _, share in tenants])[0][0]
        key = f"Idempotency-Key: {self._random.getrandbits(64):016x}\r\n" if cls[1] == "token" else ""
        return name, (
            f"POST /{cls[0]} HTTP/1.1\r\nHost: lab\r\nX-Request-Id: {name}\r\nX-Class: {cls[0]}\r\n"
            f"X-Tenant: {tenant}\r\nX-Deadline: {cls[2] / 1e6:.3f}\r\nX-Cost-Hint: {cls[5]}\r\n"
            f"X-Extras: slots=1,memory=0.5\r\n{key}Content-Length: 4\r\n\r\nwork"
        ).encode()

    async def _connect(self) -> bool:
        if self._writer is not None:
            return True
        tally, target = self.tally, self.target
        name = self._random.choice(target.names) if target.names else None
        since = time.monotonic()
        try:
            self._reader, self._writer = await asyncio.wait_for(
                asyncio.open_connection(target.host, target.port, ssl=target.tls, server_hostname=name),
                PATIENCE,
            )
        except ssl.SSLCertVerificationError as error:
            if error.verify_code == 10:  # X509_V_ERR_CERT_HAS_EXPIRED
                tally.expired += 1
            else:
                tally.bad_chain += 1
            tally.lose(f"certificate: {error.verify_message}")
            return False
        except ssl.SSLError as error:
            tally.refused_handshakes += 1
            tally.lose(f"handshake: {error.reason}")
            return False
        except (TimeoutError, *ENDED) as error:
            tally.lose(f"connect: {type(error).__name__}")
            return False
        self._used = 0
        if target.tls is not None:
            tally.handshake_times.append(time.monotonic() - since)
            tally.handshakes += 1
            self._see(name or "")
        return True

    def _see(self, name: str) -> None:
        assert self._writer is not None
        found = self._writer.get_extra_info("peercert") or {}
        self.tally.serials.setdefault(name, set()).add(str(found.get("serialNumber")))
        ends = found.get("notAfter")
        if ends is not None and ssl.cert_time_to_seconds(str(ends)) < time.time() - 1:
            self.tally.expired += 1

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
            self._reader = self._writer = None
        self._used = 0


@dataclass(slots=True)
class Answer:
    first: str
    fields: dict[str, str]
    body: bytes


def percentile(values: list[float], share: float) -> float:
    """0 where there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
