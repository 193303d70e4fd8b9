"""The engine without I/O: an authority of a few lines, a disk, and a clock that is moved by hand."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from reedspoke.acme import words
from reedspoke.acme.engine import Engine
from reedspoke.acme.limits import Limits
from reedspoke.acme.plan import SECOND, Policy
from reedspoke.acme.record import Record, packed, unpacked
from reedspoke.acme.renewal import State
from reedspoke.acme.renewal_settings import Authority, CertificateRequest, RenewalSettings

NOW = 1_800_000_000 * SECOND
MINUTE, HOUR, DAY = 60 * SECOND, 3600 * SECOND, 86_400 * SECOND
LIFETIME = 90 * DAY
RULES = RenewalSettings(Policy(1 / 3, 0.0), MINUTE, 6 * HOUR, SECOND, HOUR, MINUTE)


def wanted(
    name: str = "api", *authorities: str, hosts: tuple[str, ...] = ("api.example.org",)
) -> CertificateRequest:
    known = tuple(Authority(one, 50, 15 * SECOND) for one in authorities or ("first",))
    return CertificateRequest(name, hosts, "http-01", known)


@dataclass
class Order:
    hosts: tuple[str, ...]
    status: str = "pending"
    proven: bool = False
    asked: bool = False


Fault = Callable[[words.Step], words.Outcome | None]


@dataclass
class Desk:
    """`faults`: asked before each step; what one returns is the outcome. `silent`: names of steps whose
    outcome never comes."""

    wants: tuple[CertificateRequest, ...] = (wanted(),)
    rules: RenewalSettings = RULES
    now: int = NOW
    lifetime: int = LIFETIME
    faults: list[Fault] = field(default_factory=list)
    disk: dict[str, bytes] = field(default_factory=dict)
    orders: dict[str, Order] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    told: list[str] = field(default_factory=list)
    steps: list[words.Step] = field(default_factory=list)
    findable: set[tuple[str, str, str]] = field(default_factory=set)
    locked: set[str] = field(default_factory=set)
    installed: dict[str, words.Installed] = field(default_factory=dict)
    dies_at: int = 0  # before this step is done; below 0: behind it, its outcome never heard
    window: tuple[int, int] = (0, 0)

    def __post_init__(self) -> None:
        self.start()

    def start(self) -> None:
        """A process with what is on disk."""
        self.alive, self.engine = True, Engine()
        self.locked.clear()
        self.findable.clear()
        self.engine.want(self.wants, self.rules)
        for file, raw in self.disk.items():
            if file.endswith(".rate"):
                self.engine.resume_limits(file.removesuffix(".rate"), unpacked(raw, Limits))
            else:
                self.engine.resume(unpacked(raw, Record))
        for name, found in self.installed.items():
            self.engine.held(name, found)

    def tick(self, by: int = 0) -> None:
        self.now += by
        self.do(self.engine.tick(self.now))

    def run(self, span: int, step: int = SECOND) -> None:
        end = self.now + span
        while self.now < end and self.alive:
            self.tick(min(step, end - self.now))
            for _ in range(0 if step <= SECOND else 300):  # what has begun goes on by the second
                if self.alive and any(
                    one.state is not State.RESTING for one in self.engine.renewals.values()
                ):
                    self.tick(SECOND)

    def do(self, steps: list[words.Step]) -> None:
        queue = list(steps)
        while queue and self.alive:
            step = queue.pop(0)
            self.steps.append(step)
            if self.dies_at == len(self.steps):
                self.alive = False
                return
            outcome = self.perform(step)
            if self.dies_at == -len(self.steps):
                self.alive = False
                return
            if outcome is not None:
                name = step.name  # type: ignore[union-attr]
                queue += self.engine.outcome(name, step, outcome, self.now)

    def perform(self, step: words.Step) -> words.Outcome | None:
        self.counts[type(step).__name__] += 1
        for fault in self.faults:
            if (outcome := fault(step)) is not None:
                return outcome
        match step:
            case words.Keep(name):
                self.disk[name] = packed(self.engine.renewals[name].record)
            case words.KeepLimits(authority):
                self.disk[f"{authority}.rate"] = packed(self.engine.limits(authority))
            case words.Tell(text):
                self.told.append(text)
            case words.Count():
                self.counts[f"{step.outcome} {step.authority}"] += 1
            case words.Release(name):
                self.locked.discard(name)
            case words.Claim(name):
                got = name not in self.locked
                self.locked.add(name)
                return words.Claimed(got, self.installed.get(name) if got else None)
            case words.Withdraw(_, _, host, token, challenge):
                self.findable.discard((host, token, challenge))
            case words.Enrol():
                return words.Enrolled()
            case words.Begin(_, authority, hosts):
                url = f"{authority}/{len(self.orders)}"
                self.orders[url] = Order(hosts)
                return words.Begun(url, tuple(f"{url} {host}" for host in hosts), url, "a key")
            case words.Check(_, _, url):
                return self.stands(url)
            case words.Look(_, _, url, _):
                order = self.orders[url.split()[0]]
                order.proven |= order.asked
                status = "valid" if order.proven else "pending"
                return words.Proof(status, url.split()[1], "token", url, "pending")
            case words.Publish(_, _, host, token, challenge):
                self.findable.add((host, token, challenge))
                return words.Done()
            case words.Respond(_, _, url):
                self.orders[url.split()[0]].asked = bool(self.findable)
                return words.Done()
            case words.Finalize(_, _, url):
                if self.orders[url].status == "pending" and self.orders[url].proven:
                    self.orders[url].status = "valid"
                return self.stands(url)
            case words.Fetch(name, _, url, hosts):
                begins = self.now
                found = words.Installed(begins, begins + self.lifetime, f"{self.now}", hosts)
                self.installed[name] = found
                self.counts["issued"] += 1
                return found
            case words.Ask():
                return words.Window(*self.window, 0)
        return None

    def stands(self, url: str) -> words.Outcome:
        order = self.orders.get(url)
        if order is None:
            return words.Failed(words.Trouble.DEAD, "no such order")
        status = "ready" if order.status == "pending" and order.proven else order.status
        proofs = tuple(f"{url} {host}" for host in order.hosts)
        return words.Stands(status, proofs, url, url if status == "valid" else "")


def failing(kind: type, trouble: words.Trouble, times: int = 1, after: int = 0, authority: str = "") -> Fault:
    """Steps of this kind fail so often."""
    left = [times]

    def fault(step: words.Step) -> words.Outcome | None:
        if not isinstance(step, kind) or not left[0]:
            return None
        if authority and getattr(step, "authority", "") != authority:
            return None
        left[0] -= 1
        return words.Failed(trouble, "on purpose", after)

    return fault


CALLS = (
    words.Enrol, words.Begin, words.Check, words.Look, words.Respond, words.Finalize, words.Fetch,
)  # fmt: skip
