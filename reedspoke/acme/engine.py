"""All certificates: who has its turn, what is remembered of each authority. No I/O and no clock of its
own."""

from __future__ import annotations

from collections.abc import Iterable

from reedspoke.acme import words
from reedspoke.acme.limits import Limits
from reedspoke.acme.record import Record
from reedspoke.acme.renewal import Renewal, State
from reedspoke.acme.renewal_settings import CertificateRequest, RenewalSettings

AT_ONCE = 4  # certificates that are ordered at one authority at a time
JUMP = 30_000_000  # us between two ticks that only a clock that was set, or a machine that slept, can make


class Engine:
    """Each method is an event and returns the steps to take, in order."""

    def __init__(self) -> None:
        self.renewals: dict[str, Renewal] = {}
        self._limits: dict[str, Limits] = {}
        self._last = 0
        self.may = True  # order and ask; False: that is another process's duty

    def stand_down(self) -> list[words.Step]:
        """The duty is another one's from now on. What is under way is left as it was kept last: the next
        holder goes on with the same order."""
        self.may = False
        return [step for renewal in self.renewals.values() for step in renewal.hand_on()]

    def take_up(self, records: Iterable[Record]) -> None:
        """The duty is ours; `records`: as the former holder has left them."""
        self.may = True
        for record in records:
            renewal = self.renewals.get(record.name)
            if renewal is not None and renewal.state is State.RESTING:
                renewal.resume(record)

    def limits(self, authority: str) -> Limits:
        return self._limits.setdefault(authority, Limits())

    def resume_limits(self, authority: str, found: Limits) -> None:
        self._limits[authority] = found

    def want(self, requests: Iterable[CertificateRequest], settings: RenewalSettings) -> list[words.Step]:
        """What the operator file names, at the start and whenever it has changed."""
        told: list[words.Step] = []
        named = {request.name: request for request in requests}
        for name in [name for name in self.renewals if name not in named]:
            gone = self.renewals.pop(name)
            if gone.state is not State.RESTING:
                told += [
                    words.Withdraw(name, gone.record.authority, *place) for place in gone.record.published
                ]
                told.append(words.Release(name))
            told.append(words.Tell(f"acme: {name}: not wanted any more"))
        for name, request in named.items():
            if name in self.renewals:
                self.renewals[name].change(request, settings)
            else:
                self.renewals[name] = Renewal(request, settings, self.limits)
        return told

    def resume(self, record: Record) -> None:
        if record.name in self.renewals:
            self.renewals[record.name].resume(record)

    def held(self, name: str, found: words.Installed) -> list[words.Step]:
        """A certificate was found in the store: at the start, or put there by another process."""
        if (renewal := self.renewals.get(name)) is None:
            return []
        renewal.held(found)
        return []

    def force(self, name: str, now: int) -> list[words.Step]:
        """An operator asks for a renewal now; waits that were our own choice end, the authority's do not."""
        if (renewal := self.renewals.get(name)) is None:
            return []
        renewal.forced = True
        renewal.record.pause.since = renewal.record.pause.until = now
        renewal.record.barred.clear()
        return [words.Tell(f"acme: {name}: renewal asked for by an operator"), *self.tick(now)]

    def outcome(self, name: str, step: words.Step, outcome: words.Outcome, now: int) -> list[words.Step]:
        """Of a step; one that has been given up, or whose certificate is not wanted any more, changes nothing
        but a lock that was got too late."""
        renewal = self.renewals.get(name)
        if renewal is None or renewal.out is not step:
            late = isinstance(outcome, words.Claimed) and outcome.got
            return [words.Release(name)] if late else []
        return [*renewal.handle(outcome, now), *self._turns(now)]

    def tick(self, now: int) -> list[words.Step]:
        """Some time has passed. Guards against a clock that is set: waits keep their length."""
        jump = now - self._last if self._last else 0
        if jump > JUMP or jump < 0:
            for renewal in self.renewals.values():
                renewal.shift(jump)
        self._last = now
        told: list[words.Step] = []
        for renewal in list(self.renewals.values()):
            told += renewal.tick(now)
        return told + self._turns(now)

    def _turns(self, now: int) -> list[words.Step]:
        """Who has least time left goes first, few at a time at one authority."""
        if not self.may:
            return []
        told: list[words.Step] = []
        busy: dict[str, int] = {}
        resting = []
        for renewal in self.renewals.values():
            if renewal.state is State.RESTING:
                resting.append(renewal)
            elif renewal.state is not State.ASKING:
                busy[renewal.record.authority] = busy.get(renewal.record.authority, 0) + 1
        resting.sort(key=lambda renewal: (renewal.urgency(now), renewal.name))
        for renewal in resting:
            if not renewal.waits(now):
                authority = renewal.authority(now)
                if authority is not None and busy.get(authority.name, 0) < AT_ONCE:
                    busy[authority.name] = busy.get(authority.name, 0) + 1
                    renewal.record.authority = renewal.record.authority or authority.name
                    told += renewal.begin(now)
            elif now < renewal.due() and (steps := renewal.tidy(now)):
                told += steps
            elif renewal.asks(now):
                told += renewal.ask(now)
        return told

    def alarm(self, name: str, now: int) -> tuple[float, int]:
        """Seconds to expiry (0: none in force), and the figure that operators watch."""
        renewal = self.renewals[name]
        life = renewal.life_in_force
        left = (life.ends - now) / 1_000_000 if life is not None else 0.0
        return left, renewal.settings.policy.alarm(life, now)
