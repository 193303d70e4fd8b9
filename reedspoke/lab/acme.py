"""Certificates that live some seconds, two authorities of which one misbehaves, clients that check every
chain."""

from __future__ import annotations

import asyncio
import random
import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from reedspoke.lab.authority import Authority
from reedspoke.lab.clients import Client, Tally, Target, percentile
from reedspoke.lab.experiment import Options, Result
from reedspoke.lab.hosts import Fleet
from reedspoke.lab.program import LabError, Program, free_port
from reedspoke.lab.settings import CLASSES, UNSAFE

LIFETIME = 12.0
NAMES = {
    "api": ["api.example.org", "pay.example.org"],
    "portal": ["portal.example.org"],
    "shop": ["shop.example.org"],
}
HOSTS = 4
KEPT, FRESH = 6, 4  # clients that keep their connections, and that make a new one for each request
PAUSE = 0.05  # s between a client's requests
CHANCES = (("nonce", 0.05, 0), ("broken", 0.02, 0), ("reset", 0.01, 0), ("malformed", 0.01, 0))
# One after another at the first authority: what, how often, a figure. `down` hangs for so many seconds.
TROUBLES: tuple[tuple[str, str, int, float], ...] = (
    ("finalize", "wrong_key", 1, 0), ("*", "down", 0, 6), ("newOrder", "limited", 1, 2),
    ("finalize", "processing", 2, 1.0), ("finalize", "wrong_name", 1, 0), ("order", "forget", 1, 0),
    ("*", "slow", 3, 2.0), ("finalize", "expired", 1, 0), ("*", "down", 0, 15),
    ("finalize", "wrong_chain", 1, 0), ("newOrder", "refuse", 1, 0), ("*", "reset", 4, 0),
)  # fmt: skip


def operator(
    folder: str, tls: int, http: int, authorities: list[tuple[str, Authority]], **more: object
) -> dict[str, object]:
    """An operator file for certificates that live some seconds."""
    return {
        "version": 1,
        "tls": {"listen": f"127.0.0.1:{tls}", "store": f"{folder}/store"},
        "certificates": [{"name": name, "hosts": hosts} for name, hosts in NAMES.items()],
        "acme": {
            "authorities": [
                {"name": name, "directory": one.directory, "terms_agreed": True, "timeout": "500ms",
                 "tries_a_day": 100_000}
                for name, one in authorities
            ],
            "http": {"listen": f"127.0.0.1:{http}"},
            "backoff": {"first": "100ms", "most": "3s"}, "order_limit": "5s", **more,
        },
    }  # fmt: skip


def trusting(authorities: list[Authority]) -> ssl.SSLContext:
    """A client's context: it checks chain, name and time against these roots and no others."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.load_verify_locations(cadata="".join(one.issuer.root_pem().decode() for one in authorities))
    return context


@dataclass(slots=True)
class Downs:
    """When the first authority hung, by the monotonic clock."""

    spans: list[tuple[float, float]] = field(default_factory=list)

    def within(self, at: float) -> bool:
        return any(begun <= at < ended for begun, ended in self.spans)


async def misbehave(authority: Authority, seed: int, downs: Downs) -> None:
    rng = random.Random(seed)
    troubles = list(TROUBLES)
    while True:
        for endpoint, kind, times, figure in troubles:
            await asyncio.sleep(rng.uniform(1.5, 3.5))
            if kind != "down":
                authority.on(endpoint, kind, times, figure)
                continue
            since = time.monotonic()
            authority.hang(True)
            try:
                await asyncio.sleep(figure)
            finally:
                authority.hang(False)
                downs.spans.append((since, time.monotonic()))


async def served(tls: int, context: ssl.SSLContext, hosts: list[str], patience: float = 20) -> None:
    """Wait until each name has a certificate. Raises LabError."""
    end = time.monotonic() + patience
    for host in hosts:
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", tls, ssl=context, server_hostname=host)
                writer.close()
                break
            except (OSError, ssl.SSLError):
                if time.monotonic() > end:
                    raise LabError(f"no certificate for {host} within {patience:g} s") from None
                await asyncio.sleep(0.05)


def until(end: float) -> Callable[[], bool]:
    return lambda: time.monotonic() >= end


async def play(options: Options) -> Result:
    fleet = Fleet(HOSTS, options.seed, {row[0]: row[5] / 1e6 for row in CLASSES}, UNSAFE, slots=6)
    await fleet.open()
    http, tls = free_port(), free_port()
    authorities = [
        Authority(name, LIFETIME, options.seed + at, lambda _: ("127.0.0.1", http))
        for at, name in enumerate(("first", "second"))
    ]
    names = [host for hosts in NAMES.values() for host in hosts]
    told = operator(str(options.folder), tls, http, list(zip(("first", "second"), authorities, strict=True)))
    program = Program(options.folder, fleet, told)
    tally, downs = Tally(), Downs()
    troubles: asyncio.Task[None] | None = None
    try:
        program.start()
        await program.ready()
        context = trusting(authorities)
        await served(tls, context, names)
        for kind, share, figure in CHANCES:
            authorities[0].chance(kind, share, figure)
        authorities[1].chance("nonce", 0.05)  # as a sound one may
        troubles = asyncio.ensure_future(misbehave(authorities[0], options.seed, downs))
        target = Target("127.0.0.1", tls, context, tuple(names))
        rss = program.rss_mb()
        end = time.monotonic() + options.seconds
        clients = [
            Client(target, tally, options.seed * 1000 + at, 400 if at < KEPT else 1)
            for at in range(KEPT + FRESH)
        ]
        work = [asyncio.ensure_future(client.run(until(end), PAUSE)) for client in clients]
        while time.monotonic() < end and program.running():
            left = end - time.monotonic()
            options.progress(f"{left:4.0f} s left, {tally.requests} requests, {tally.lost} lost, "
                             f"{sum(map(len, tally.serials.values()))} certificates seen")  # fmt: skip
            await asyncio.sleep(min(0.5, max(0.01, left)))
        await asyncio.gather(*work)
        rss_end = program.rss_mb()
        status = await program.stop()
    finally:
        if troubles is not None:
            troubles.cancel()
        program.kill()
        for one in authorities:
            one.close()
        await fleet.close()
    return judge(tally, fleet, authorities, downs, program, status, rss, rss_end)


def judge(
    tally: Tally, fleet: Fleet, authorities: list[Authority], downs: Downs, program: Program, status: int,
    rss: float, rss_end: float,
) -> Result:  # fmt: skip
    seen = {name: len({*tally.serials.get(hosts[0], set())}) for name, hosts in NAMES.items()}
    calm = [took for at, took in tally.times if not downs.within(at)]
    down = [took for at, took in tally.times if downs.within(at)]
    counts: dict[str, int] = {}
    for one in authorities:
        for name, count in one.counts.items():
            counts[name] = counts.get(name, 0) + count
    result = Result({
        "renewals": sum(max(0, count - 1) for count in seen.values()),
        "refused_by_authority": counts.get("problems", 0),
        "requests": tally.requests, "served": tally.served, "refused": tally.refused,
        "failed": tally.failed, "lost": tally.lost, "wrong": tally.wrong,
        "twice": fleet.ledger.unsafe_twice, "resets": tally.resets,
        "expired_served": tally.expired, "bad_chain": tally.bad_chain,
        "handshakes": tally.handshakes, "refused_handshakes": tally.refused_handshakes,
        "handshake_p50_ms": round(1000 * percentile(tally.handshake_times, 0.5), 2),
        "handshake_p99_ms": round(1000 * percentile(tally.handshake_times, 0.99), 2),
        "p50_ms_calm": round(1000 * percentile(calm, 0.5), 2),
        "p50_ms_authority_hangs": round(1000 * percentile(down, 0.5), 2),
        "p99_ms_calm": round(1000 * percentile(calm, 0.99), 2),
        "p99_ms_authority_hangs": round(1000 * percentile(down, 0.99), 2),
        "authority_hung_s": round(sum(ended - begun for begun, ended in downs.spans), 1),
        "orders": counts.get("orders", 0), "orders_reused": counts.get("orders reused", 0),
        "issued": counts.get("issued", 0), "issued_by_second": authorities[1].counts["issued"],
        "accounts": counts.get("accounts", 0),
        "most_orders_at_once": max((max(one.at_once.values(), default=0) for one in authorities), default=0),
        "rss_mb_begin": round(rss, 1), "rss_mb_end": round(rss_end, 1),
        "faults": program.faults(), "exit": status,
        "authority_calls": dict(sorted(counts.items())),
        "why": dict(tally.why),
        "log": program.tail(60).split(" | "),
    })  # fmt: skip
    for name in ("lost", "wrong", "twice", "resets", "expired_served", "bad_chain", "faults", "exit"):
        result.hold(f"{name} is 0", result.figures[name] == 0)
    result.hold("something is served", tally.served > 0)
    result.hold("each is answered", tally.served + tally.refused + tally.failed == tally.requests)
    return result
