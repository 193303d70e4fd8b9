"""Gateways that share connections, tokens and client certificates, rotations under load, attackers beside
them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import ssl
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.serialization import Encoding, NoEncryption, PrivateFormat
from joserfc import jws
from joserfc.jwk import ECKey

from reedspoke.identity.keys import KeySet, KeyValidity, parse_jwk
from reedspoke.identity.token import TokenPolicy, verify_token
from reedspoke.lab.acme import operator, served, trusting, until
from reedspoke.lab.authority import Authority, b64
from reedspoke.lab.clients import Client, Tally, Target, percentile
from reedspoke.lab.experiment import Options, Result
from reedspoke.lab.hosts import Fleet, message
from reedspoke.lab.issuing import Issuer
from reedspoke.lab.program import Program, free_port
from reedspoke.lab.settings import CLASSES, TENANTS, UNSAFE

ISSUER, AUDIENCE = "https://portal.example.org", "reedspoke"
GATEWAYS, PARTNERS, ATTACKERS = 6, 3, 2
PAUSE = 0.04  # s
ROTATE = 4.0  # s between rotations; the overlap of a key is one more of them
OVERLAP = 4.0
SETTLE = 1.5  # s from a new key's appearance until a signer may use it: files are looked at twice a second
LIFE = 3  # s of a token: shorter than the overlap, so that no valid one outlives its key
SECOND = 1_000_000
HOST = "api.example.org"


class Signers:
    """The portals' side: one key in use at a time, its predecessor until the overlap ends, a leaked one at
    times."""

    def __init__(self, file: Path) -> None:
        self.file, self.rotations, self.made = file, 0, 0
        self.leaked: list[tuple[str, ECKey]] = []
        self.retired: list[tuple[str, ECKey, float]] = []  # with when it was gone
        self._spans: dict[str, dict[str, Any]] = {}
        self._keys: dict[str, ECKey] = {}
        self.current = self.fresh()
        self.write()

    def fresh(self) -> str:
        self.made += 1
        kid = f"key-{self.made}"
        self._keys[kid], self._spans[kid] = ECKey.generate_key("P-256"), {}
        return kid

    def write(self) -> None:
        listed = [
            {**self._keys[kid].as_dict(private=False), "kid": kid, "reedspoke": self._spans[kid]}
            for kid in self._keys
        ]
        beside = self.file.with_suffix(".new")
        beside.write_text(json.dumps({"keys": listed}))
        os.replace(beside, self.file)

    async def rotate(self) -> None:
        """Announce, wait until every reader has it, sign with it, retire the old one. Each third one
        leaks."""
        new = self.fresh()
        self.write()
        await asyncio.sleep(SETTLE)
        old, self.current = self.current, new
        self.rotations += 1
        leaks = self.rotations % 3 == 0
        if leaks:  # whoever signs with it has changed before the withdrawal
            await asyncio.sleep(LIFE + 0.5)
            self._spans[old] = {"leaked": True}
            self.write()
            await asyncio.sleep(SETTLE)
            self.leaked.append((old, self._keys[old]))
            return
        now = time.time()
        self._spans[old] = {name: stamp(at) for name, at in (("retires", now), ("gone", now + OVERLAP))}
        self.write()
        self.retired.append((old, self._keys[old], now + OVERLAP))

    def token(self, subject: str, **more: Any) -> str:
        now = int(time.time())
        claims = {"iss": ISSUER, "aud": AUDIENCE, "sub": subject, "iat": now, "exp": now + LIFE, **more}
        return sign(claims, self.current, self._keys[self.current])


def stamp(at: float) -> str:
    from datetime import UTC, datetime

    return datetime.fromtimestamp(at, UTC).isoformat()


def sign(claims: dict[str, Any], kid: str, key: ECKey) -> str:
    return jws.serialize_compact({"alg": "ES256", "kid": kid}, json.dumps(claims).encode(), key, ["ES256"])


class Gateway(Client):
    """Speaks for several callers over one connection; each tenant's requests carry that caller's token."""

    def __init__(
        self,
        target: Target,
        tally: Tally,
        seed: int,
        keep: int,
        token: Callable[[str], str] | None,
        tenant: str = "",
    ) -> None:
        super().__init__(target, tally, seed, keep)
        self._token, self._tenant = token, tenant
        self._kept: dict[str, tuple[str, float]] = {}

    def _request(self) -> tuple[str, bytes]:
        name, data = super()._request()
        head, _, body = data.partition(b"\r\n\r\n")
        lines = [line for line in head.split(b"\r\n") if not line.startswith(b"X-Tenant")]
        tenant = self._tenant or self._random.choice(TENANTS)[0]
        lines.append(f"X-Tenant: {tenant}".encode())
        if self._token is not None:
            lines.append(f"Authorization: Bearer {self._current(tenant)}".encode())
        return name, b"\r\n".join(lines) + b"\r\n\r\n" + body

    def _current(self, tenant: str) -> str:
        """A token serves some requests before a new one is asked for."""
        assert self._token is not None
        text, at = self._kept.get(tenant, ("", 0.0))
        if time.monotonic() - at > 1.0:
            text, at = self._token(f"caller-{tenant}"), time.monotonic()
            self._kept[tenant] = text, at
        return text


def attacks(signers: Signers, seed: int) -> list[tuple[str, str, str]]:
    """(name, token, tenant) that must not be served, as things stand now."""
    now = int(time.time())
    good = {"iss": ISSUER, "aud": AUDIENCE, "sub": "caller-alpenhaus", "iat": now, "exp": now + LIFE}
    stranger = ECKey.generate_key("P-256")
    real = signers.token("caller-alpenhaus")
    rng = random.Random(seed)
    found = [
        (
            "none",
            f"{b64(json.dumps({'alg': 'none', 'kid': signers.current}).encode())}.{real.split('.')[1]}.",
            "alpenhaus",
        ),
        ("another key", sign(good, signers.current, stranger), "alpenhaus"),
        ("unknown kid", sign(good, f"key-{rng.randrange(10**9)}", stranger), "alpenhaus"),
        ("another tenant", signers.token("caller-alpenhaus"), "donau-bank"),
        ("unknown subject", signers.token("caller-nobody"), "alpenhaus"),
        ("another audience", signers.token("caller-alpenhaus", aud="billing"), "alpenhaus"),
        ("expired", signers.token("caller-alpenhaus", exp=now - 60, iat=now - 90), "alpenhaus"),
        ("cut", real[:-6], "alpenhaus"),
        ("no token", "", "alpenhaus"),
        ("large", "A" * 12_000, "alpenhaus"),
    ]
    found += [(f"leaked {kid}", sign(good, kid, key), "alpenhaus") for kid, key in signers.leaked[-1:]]
    skew = 1.0
    found += [
        (f"rotated out {kid}", sign(good, kid, key), "alpenhaus")
        for kid, key, gone in signers.retired
        if time.time() > gone + skew + 1
    ][-1:]
    return found


async def attack(port: int, signers: Signers, seed: int, end: float, counts: dict[str, int]) -> None:
    round_ = 0
    while time.monotonic() < end:
        round_ += 1
        for at, (_, text, tenant) in enumerate(attacks(signers, seed + round_)):
            proof = f"Authorization: Bearer {text}\r\n" if text else ""
            data = (
                f"POST /loan-booking HTTP/1.1\r\nHost: lab\r\nX-Request-Id: a{seed}-{round_}-{at}\r\n"
                f"X-Class: loan-booking\r\nX-Tenant: {tenant}\r\n{proof}Content-Length: 0\r\n\r\n"
            ).encode()
            counts["tried"] += 1
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(data)
                answer = await asyncio.wait_for(message(reader), 5)
                if answer is not None and answer.first.split()[1] not in ("401", "403"):
                    counts["accepted"] += 1
                writer.close()
        await asyncio.sleep(0.4)


def section(folder: Path) -> dict[str, Any]:
    """The operator file's identity."""
    return {
        "audience": AUDIENCE, "skew": "1s",
        "issuers": [
            {"name": "portal", "issuer": ISSUER, "algorithms": ["ES256"], "keys_file": f"{folder}/keys.json"}
        ],
        "certificates": {"ca_file": f"{folder}/partners.pem"},
        "callers": [
            {"name": f"caller-{tenant}", "tenants": [tenant], "names": [f"gw.{tenant}.example"],
             "subjects": [{"issuer": "portal", "subject": f"caller-{tenant}"}]}
            for tenant, _ in TENANTS
        ],
    }  # fmt: skip


def with_certificate(folder: Path, partners: Issuer, context: ssl.SSLContext, tenant: str) -> ssl.SSLContext:
    secret = ec.generate_private_key(ec.SECP256R1())
    leaf = partners.issue(secret.public_key(), [f"gw.{tenant}.example"], 7200, client=True)
    file = folder / f"{tenant}.pem"
    pem = secret.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
    file.write_bytes(pem + partners.chain(leaf))
    context.load_cert_chain(file)
    return context


def timed(rounds: int) -> list[float]:
    """s that one verification takes here, on this machine."""
    key = ECKey.generate_key("P-256")
    keys = KeySet([parse_jwk({**key.as_dict(private=False), "kid": "k"}, ISSUER, ["ES256"], KeyValidity())])
    now = int(time.time())
    text = sign({"iss": ISSUER, "aud": AUDIENCE, "sub": "s", "exp": now + 60}, "k", key)
    took = []
    for _ in range(rounds):
        since = time.perf_counter()
        verify_token(text, keys, TokenPolicy(AUDIENCE), now * SECOND)
        took.append(time.perf_counter() - since)
    return took


async def figures(port: int) -> dict[str, float]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /v1/metrics HTTP/1.1\r\nHost: lab\r\n\r\n")
    text = (await reader.read(-1)).decode()
    writer.close()
    rows = [line.rsplit(" ", 1) for line in text.splitlines() if line.startswith("reedspoke_identity")]
    return {name: float(value) for name, value in rows}


async def play(options: Options) -> Result:
    fleet = Fleet(4, options.seed, {row[0]: row[5] / 1e6 for row in CLASSES}, UNSAFE, slots=6)
    await fleet.open()
    http, tls = free_port(), free_port()
    authority = Authority("first", 7200, options.seed, lambda _: ("127.0.0.1", http))
    partners, signers = Issuer("partners"), Signers(options.folder / "keys.json")
    (options.folder / "partners.pem").write_bytes(partners.root_pem())
    told = operator(str(options.folder), tls, http, [("first", authority)])
    program = Program(options.folder, fleet, {**told, "identity": section(options.folder)})
    tokens, papers, counts = Tally(), Tally(), {"tried": 0, "accepted": 0}
    rotating: asyncio.Task[None] | None = None

    async def rotate() -> None:
        while True:
            await asyncio.sleep(ROTATE)
            await signers.rotate()

    try:
        program.start()
        await program.ready()
        await served(tls, trusting([authority]), [HOST])
        begun, rss = time.monotonic(), program.rss_mb()
        end = begun + options.seconds
        rotating = asyncio.ensure_future(rotate())
        plain = Target("127.0.0.1", program.port)
        clients = [
            Gateway(plain, tokens, options.seed * 1000 + at, 300, signers.token) for at in range(GATEWAYS)
        ]
        for at in range(PARTNERS):
            tenant = TENANTS[at][0]
            context = with_certificate(options.folder, partners, trusting([authority]), tenant)
            target = Target("127.0.0.1", tls, context, (HOST,))
            clients.append(Gateway(target, papers, options.seed * 1000 + 100 + at, 50, None, tenant))
        work = [asyncio.ensure_future(client.run(until(end), PAUSE)) for client in clients]
        work += [
            asyncio.ensure_future(attack(program.port, signers, 100 * options.seed + at, end, counts))
            for at in range(ATTACKERS)
        ]
        while (left := end - time.monotonic()) > 0 and program.running():
            options.progress(f"{left:4.0f} s left, {signers.rotations} rotations, {counts['tried']} attacks")
            await asyncio.sleep(min(0.5, left))
        await asyncio.gather(*work)
        seen, rss_end = await figures(program.door), program.rss_mb()
        status = await program.stop()
    finally:
        if rotating is not None:
            rotating.cancel()
        program.kill()
        authority.close()
        await fleet.close()
    hits, misses = (
        seen.get(f'reedspoke_identity_believed_total{{result="{one}"}}', 0) for one in ("hit", "miss")
    )
    took, both = timed(2000), (tokens, papers)
    result = Result({
        "requests": sum(one.requests for one in both), "served": sum(one.served for one in both),
        "refused": sum(one.refused for one in both), "rotations": signers.rotations,
        "leaked_keys": len(signers.leaked), "valid_refused": sum(one.failed for one in both),
        "wrong_accepted": counts["accepted"], "attacks_tried": counts["tried"],
        "lost": sum(one.lost for one in both), "twice": fleet.ledger.unsafe_twice,
        "by_certificate": papers.served, "verify_us_p50": round(1e6 * percentile(took, 0.5), 1),
        "verify_us_p99": round(1e6 * percentile(took, 0.99), 1),
        "cache_hit_share": round(hits / max(1, hits + misses), 3),
        "p99_ms": round(1000 * percentile([span for _, span in tokens.times], 0.99), 1),
        "rss_mb_begin": round(rss, 1), "rss_mb_end": round(rss_end, 1),
        "faults": program.faults(), "exit": status,
        "why": {**tokens.why, **papers.why}, "reasons": seen, "log": program.tail(30).split(" | "),
    })  # fmt: skip
    for name in ("valid_refused", "wrong_accepted", "lost", "twice", "faults", "exit"):
        result.hold(f"{name} is 0", result.figures[name] == 0)
    result.hold("something is served each way", tokens.served > 0 and papers.served > 0)
    return result
