"""Which requests clients send: kinds, sessions with shared prompt parts, and their arrival times."""

from __future__ import annotations

import random
from collections.abc import Iterator

from msgspec import Struct

from reedspoke.lab.fleet_emulator.prefix_cache import PromptPart

STREAMING = "streaming"
IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"
NEW_SESSION_SHARE = 0.2
MOST_SESSIONS = 64  # live ones of each kind
LATER_PROMPT_TOKENS = 40  # that each further request adds to its session


class StreamShape(Struct, frozen=True):
    """Prompts and answers of a kind of stream."""

    shared_tokens: int = 200
    shared_parts: int = 4  # from which each session takes one
    session_tokens: int = 120
    output_tokens: int = 32
    resumable: bool = False
    gap_aim_ms: float = 600


class RequestKind(Struct, frozen=True):
    """Requests of one route."""

    name: str
    hostname: str
    path_prefix: str
    route_type: str
    upstreams: frozenset[str]
    per_s: float
    deadline_ms: float = 6000
    target_ms: float = 1500
    retries: int = 1
    body_bytes: int = 600
    stream: StreamShape | None = None

    @property
    def repeatable(self) -> bool:
        """Whether an attempt may run more than once."""
        resumable = self.stream is not None and self.stream.resumable
        return self.route_type == IDEMPOTENT or resumable


class Session(Struct):
    """A conversation: its prompt grows with each request."""

    shared: PromptPart
    part_id: str
    tokens: int


class KeyUse(Struct, frozen=True):
    """An API key, the tenants for which its requests may run, and its share of all requests."""

    key: str
    tenants: frozenset[str]
    weight: float


NO_KEY = KeyUse("", frozenset(), 1.0)


class PlannedRequest(Struct, frozen=True):
    """One request of a client, before its first try."""

    kind: RequestKind
    at_s: float
    chain: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    key_use: KeyUse = NO_KEY

    @property
    def prompt_tokens(self) -> int:
        return sum(part.tokens for part in self.chain)


class Workload:
    """Open-loop arrivals of all kinds together, by lot."""

    def __init__(
        self, kinds: tuple[RequestKind, ...], seed: int, keys: tuple[KeyUse, ...] = (NO_KEY,)
    ) -> None:
        self.kinds = kinds
        self._keys = keys
        self._random = random.Random(seed)
        self._sessions: dict[str, list[Session]] = {kind.name: [] for kind in kinds}

    def arrivals(self, seconds: float) -> Iterator[PlannedRequest]:
        """Requests in order of time; the gaps of a Poisson process lie between them."""
        rates = [kind.per_s for kind in self.kinds]
        at = self._random.expovariate(sum(rates))
        while at < seconds:
            (kind,) = self._random.choices(self.kinds, rates)
            yield self._plan(kind, at)
            at += self._random.expovariate(sum(rates))

    def _plan(self, kind: RequestKind, at: float) -> PlannedRequest:
        (key_use,) = self._random.choices(self._keys, [use.weight for use in self._keys])
        if kind.stream is None:
            return PlannedRequest(kind, at, key_use=key_use)
        session = self._session(kind, kind.stream)
        chain = (session.shared, PromptPart(session.part_id, session.tokens))
        session.tokens += LATER_PROMPT_TOKENS
        session.part_id = f"{self._random.getrandbits(32):08x}"
        output = max(1, round(kind.stream.output_tokens * self._random.uniform(0.4, 1.6)))
        return PlannedRequest(kind, at, chain, output, key_use)

    def _session(self, kind: RequestKind, shape: StreamShape) -> Session:
        sessions = self._sessions[kind.name]
        if sessions and self._random.random() > NEW_SESSION_SHARE:
            return self._random.choice(sessions)
        number = self._random.randrange(shape.shared_parts)
        shared = PromptPart(f"{abs(number):02x}{len(kind.name):02x}5e", shape.shared_tokens)
        session = Session(shared, f"{self._random.getrandbits(32):08x}", shape.session_tokens)
        sessions.append(session)
        del sessions[:-MOST_SESSIONS]
        return session
