"""One certificate: what is done next for it. No I/O, no clock and no chance of its own: `(outcome, now) ->
steps`.

    RESTING -> CLAIMING -> ENROLLING -> BEGINNING -> STANDING <-> PROVING, PUBLISHING, RESPONDING
                                                     STANDING  -> FINALIZING -> STANDING
                                                     STANDING  -> FETCHING -> RESTING
    any -> RESTING with a pause, by Failed

Behind BEGINNING the order's own status decides (STANDING asks for it), so that a process that was killed
anywhere goes on with the same order by the same way as one that was not. What must not be forgotten is
written (Keep) before the step that depends on it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from reedspoke.acme import words
from reedspoke.acme.limits import Limits, Pause, backoff
from reedspoke.acme.plan import DOWN, SECOND, Life, Policy, chance
from reedspoke.acme.record import Record
from reedspoke.acme.words import Trouble

ASK_AGAIN = 6 * 3600 * SECOND
ASK_FAILED = 3600 * SECOND
MOST_TEXT = 300


class At(Enum):
    RESTING = "resting"
    CLAIMING = "claiming"
    ENROLLING = "enrolling"
    BEGINNING = "beginning"
    STANDING = "standing"
    WAITING = "waiting"  # for the authority, between two looks
    PROVING = "proving"
    PUBLISHING = "publishing"
    RESPONDING = "responding"
    FINALIZING = "finalizing"
    FETCHING = "fetching"
    ASKING = "asking"  # for the window


@dataclass(slots=True, frozen=True)
class Place:
    """An authority as the operator file has it."""

    name: str
    tries_a_day: int
    limit: int  # us for one call


@dataclass(slots=True, frozen=True)
class Rules:
    policy: Policy
    first: int  # back-off, us
    most: int
    poll: int  # first wait between two looks at an order, us
    patience: int  # us after which an order that is not done is given up
    command: int  # us for a challenge command
    use_ari: bool = True


@dataclass(slots=True, frozen=True)
class Wanted:
    name: str
    hosts: tuple[str, ...]
    challenge: str
    places: tuple[Place, ...]


class Renewal:
    def __init__(self, wanted: Wanted, rules: Rules, limits: Callable[[str], Limits]) -> None:
        """`limits`: what is remembered of an authority; it is changed here."""
        self.wanted, self.rules, self.limits = wanted, rules, limits
        self.record = Record(wanted.name)
        self.life: Life | None = None
        self.at = At.RESTING
        self.forced = False  # an operator asks for it now
        self.out: words.Wait | words.Claim | None = None  # the step whose outcome is awaited
        self.until = 0  # when that is given up
        self.polls = 0
        self._wake = 0  # when WAITING ends
        self._waits_for: Callable[[int], list[words.Step]] | None = None
        self._todo: list[str] = []  # authorisations not seen valid as yet
        self._told_at: dict[str, int] = {}
        self._stale = False  # what is wanted has changed under the order in hand

    # ---- what is known ----

    @property
    def name(self) -> str:
        return self.wanted.name

    def resume(self, record: Record) -> None:
        """What an earlier process has left."""
        self.record = record
        self._heed_window()

    def held(self, found: words.Installed) -> None:
        """A certificate is in force, whoever got it."""
        self.life = Life(found.begins, found.ends, found.serial)
        self._heed_window()
        self._hosts_held = found.hosts

    _hosts_held: tuple[str, ...] = ()

    def _heed_window(self) -> None:
        if self.life is not None:
            mine = self.record.window_of == self.life.serial
            # Guards against an authority whose windows always lie behind us: one renewal at once is enough.
            floor = self.life.begins + (self.life.ends - self.life.begins) // 10 if self.record.hurried else 0
            self.life = replace(self.life, window=self.record.window if mine else (0, 0), floor=floor)

    def change(self, wanted: Wanted, rules: Rules, now: int) -> list[words.Step]:
        """The operator file has changed. An order for other names, or at an authority that is not named any
        more, is of no use: it is left, also in the middle."""
        old, self.wanted, self.rules = self.wanted, wanted, rules
        place = any(place.name == self.record.authority for place in wanted.places)
        if (old.hosts, old.challenge) == (wanted.hosts, wanted.challenge) and place:
            return []
        self.record.pause = Pause()
        if self.at is At.RESTING:
            return []
        self._stale = True
        return []

    def covers(self) -> bool:
        """The certificate in force has all names that are wanted."""
        return self.life is not None and set(self.wanted.hosts) <= set(self._hosts_held)

    def due(self) -> int:
        """When renewal begins, 0: at once."""
        if self.life is None or not self.covers() or self.forced:
            return 0
        return self.rules.policy.due(self.name, self.life)

    def urgency(self, now: int) -> int:
        """us until expiry; who has least goes first."""
        return self.life.ends - now if self.life is not None and self.covers() else 0

    def waits(self, now: int) -> bool:
        """Nothing to do for now."""
        return now < self.due() or self.record.pause.left(now) > 0 or self.place(now) is None

    def asks(self, now: int) -> bool:
        """Its issuer should be asked for the window."""
        if not self.rules.use_ari or self.life is None or self._place_named(self.record.issuer) is None:
            return False
        fresh = self.record.window_of != self.life.serial
        return (fresh or now >= self.record.ask_at) and now < self.due()

    # ---- which authority ----

    def _place_named(self, name: str) -> Place | None:
        return next((place for place in self.wanted.places if place.name == name), None)

    def _barred(self, place: Place, now: int) -> bool:
        pause = self.record.barred.get(place.name)
        return pause is not None and pause.left(now) > 0

    def place(self, now: int) -> Place | None:
        """The first that may be called. While expiry is far, one that fails is waited for; once it is near,
        the one that has failed least since the last success goes first."""
        open_ = [
            place
            for place in self.wanted.places
            if not self._barred(place, now) and self.limits(place.name).left(now, place.tries_a_day) == 0
        ]
        order = self._place_named(self.record.authority) if self.record.order else None
        if len(open_) > 1:
            first = open_[0].name
            down = max(self.limits(first).down, self.record.strikes.get(first, 0))
            near = self.rules.policy.near(self.life if self.covers() else None, now, down)
            if near and (self.record.strikes or down >= DOWN):
                return min(open_, key=self._record_of_failures)
        if order is not None and not self._barred(order, now):
            # An order that has begun costs nothing more of what is counted there; a pause is obeyed.
            return order if self.limits(order.name).pause.left(now) == 0 else None
        return open_[0] if open_ else None

    def _record_of_failures(self, place: Place) -> tuple[bool, int]:
        return self.limits(place.name).down >= DOWN, self.record.strikes.get(place.name, 0)

    # ---- what is next ----

    def tidy(self, now: int) -> list[words.Step]:
        """Nothing is due, and an order is known: what it was for is in force, installed by a process that was
        killed before it could say so, or by another one. Taken up at the next renewal it would give an old
        certificate."""
        if not self.record.order and not self.record.published or now < self.record.begun:
            return []
        steps = self._clean()
        self.record.drop_order()
        return [*steps, words.Keep(self.name)]

    def begin(self, now: int) -> list[words.Step]:
        """It is its turn; it rests and does not wait."""
        self.at = At.CLAIMING
        return self._await(words.Claim(self.name), now, 10 * SECOND)

    def ask(self, now: int) -> list[words.Step]:
        self.at = At.ASKING
        place = self._place_named(self.record.issuer)
        assert place is not None
        return self._await(words.Ask(self.name, place.name), now, place.limit * 2)

    def tick(self, now: int) -> list[words.Step]:
        """Time has passed."""
        if self.out is not None and now >= self.until:
            return self.handle(words.Failed(Trouble.UNREACHABLE, "no outcome in time"), now)
        if self.at is At.WAITING and now >= self._wake and self._waits_for is not None:
            go, self._waits_for = self._waits_for, None
            return go(now)
        return []

    def shift(self, by: int) -> None:
        """The clock has been set: what waits goes on waiting for as long as before."""
        self.until += by
        self._wake += by

    def handle(self, outcome: words.Outcome, now: int) -> list[words.Step]:
        step, self.out = self.out, None
        if isinstance(outcome, words.Failed):
            return self._failed(outcome, now)
        if isinstance(outcome, words.Stands | words.Proof | words.Begun) and self.record.authority:
            self.limits(self.record.authority).down = 0
        if self._stale and self.at not in (At.CLAIMING, At.ASKING, At.FETCHING):
            return self._leave(now)
        match self.at, outcome:
            case At.CLAIMING, words.Claimed():
                return self._claimed(outcome.got, now)
            case At.ASKING, words.Window():
                return self._windowed(outcome, now)
            case At.ENROLLING, words.Enrolled():
                return self._enrolled(now)
            case At.BEGINNING, words.Begun():
                return self._begun(outcome, now)
            case ((At.STANDING | At.FINALIZING), words.Stands()):
                return self._stands(outcome, now)
            case At.PROVING, words.Proof():
                return self._proof(outcome, now)
            case At.PUBLISHING, words.Done():
                return self._published(now)
            case At.RESPONDING, words.Done():
                return self._look(now, wait=True)
            case At.FETCHING, words.Installed():
                return self._installed(outcome, now)
        return self._failed(
            words.Failed(Trouble.UNREACHABLE, f"an outcome that does not fit: {type(outcome).__name__}"), now
        ) if step is not None else []  # fmt: skip

    def _await(self, step: words.Wait | words.Claim, now: int, limit: int) -> list[words.Step]:
        self.out, self.until = step, now + limit
        return [step]

    def _call(self, step: words.Wait, now: int, calls: int = 3) -> list[words.Step]:
        """A step that takes some calls to the authority: a nonce, the call, once more for a nonce refused."""
        place = self._place_named(self.record.authority)
        limit = place.limit if place is not None else 15 * SECOND
        return self._await(step, now, min(calls * limit, max(limit, self._hurry(now) * 2)))

    def _wait(self, span: int, then: Callable[[int], list[words.Step]], now: int) -> list[words.Step]:
        """Between two looks: as the authority says, else longer each time."""
        if now - self.record.begun > self.rules.patience:
            return self._failed(words.Failed(Trouble.DEAD, "it is not done in time"), now)
        self.polls += 1
        own = int(self.rules.poll * min(1.5 ** (self.polls - 1), 30))
        self.at, self._wake, self._waits_for = At.WAITING, now + (min(span, self.rules.most) or own), then
        return []

    # ---- the way of an order ----

    def _claimed(self, got: bool, now: int) -> list[words.Step]:
        if not got:  # another process is at it: what it installs is seen in the store
            self.at = At.RESTING
            self.record.pause.begin(now, max(SECOND // 2, self.rules.first // 2))
            return []
        place = self.place(now)
        if place is None or self._stale:
            return self._leave(now)
        told: list[words.Step] = []
        old = now - self.record.begun > self.rules.patience
        other = self.record.authority != place.name or self.record.hosts != list(self.wanted.hosts)
        if self.record.order and (old or other):
            told = self._clean()
            self.record.drop_order()
        self.record.authority, self.record.hosts = place.name, list(self.wanted.hosts)
        if self.covers() and self.life is not None and not self.forced:
            planned = self.rules.policy.due(self.name, replace(self.life, window=(0, 0)))
            self.record.hurried = now < planned
        self.at, self.polls = At.ENROLLING, 0
        return [*told, *self._call(words.Enrol(self.name, place.name), now, 6)]

    def _enrolled(self, now: int) -> list[words.Step]:
        if self.record.order:
            return [words.Tell(f"acme: {self.name}: the order goes on"), *self._check(now)]
        self.at = At.BEGINNING
        authority = self.record.authority
        self.limits(authority).count(now)  # before it is begun: a kill in between must not begin without end
        self.record.begun = now
        replaces = self.life.serial if self.life is not None and self.record.issuer == authority else ""
        step = words.Begin(self.name, authority, self.wanted.hosts, replaces if self.rules.use_ari else "")
        return [words.KeepLimits(authority), words.Keep(self.name), *self._call(step, now)]

    def _begun(self, begun: words.Begun, now: int) -> list[words.Step]:
        self.record.order, self.record.key = begun.order, begun.key
        self.record.begun = now
        stands = words.Stands("pending", begun.authorisations, begun.finalize)
        return [words.Keep(self.name), *self._stands(stands, now)]

    def _check(self, now: int) -> list[words.Step]:
        self.at = At.STANDING
        return self._call(words.Check(self.name, self.record.authority, self.record.order), now)

    def _stands(self, stands: words.Stands, now: int) -> list[words.Step]:
        record = self.record
        match stands.status:
            case "pending":
                self._todo = list(stands.authorisations)
                return self._look(now)
            case "ready":
                self.at = At.FINALIZING
                return [
                    *self._clean(),
                    words.Keep(self.name),
                    *self._call(
                        words.Finalize(
                            self.name, record.authority, stands.finalize, self.wanted.hosts, record.key
                        ),
                        now,
                    ),
                ]
            case "processing":
                return self._wait(stands.after, self._check, now)
            case "valid" if stands.certificate:
                record.certificate = stands.certificate
                self.at = At.FETCHING
                step = words.Fetch(
                    self.name, record.authority, stands.certificate, self.wanted.hosts, record.key
                )
                return [*self._clean(), words.Keep(self.name), *self._call(step, now, 4)]
        why = stands.problem or f"the order is {stands.status!r}"
        return self._failed(words.Failed(Trouble.DEAD, why), now)

    def _look(self, now: int, *, wait: bool = False) -> list[words.Step]:
        """The next authorisation that is not valid; `wait`: give the authority some time first."""
        if wait:
            return self._wait(0, self._look, now)
        if not self._todo:
            return self._check(now)
        self.at = At.PROVING
        step = words.Look(self.name, self.record.authority, self._todo[0], self.wanted.challenge)
        return self._call(step, now)

    def _proof(self, proof: words.Proof, now: int) -> list[words.Step]:
        if proof.status == "valid":
            self._todo.pop(0)
            return self._look(now)
        if proof.status != "pending" or proof.challenge_status == "invalid":
            why = proof.problem or f"authorisation for {proof.host} is {proof.status!r}"
            return self._failed(words.Failed(Trouble.DEAD, why), now)
        if not proof.url:
            why = f"the authority offers no {self.wanted.challenge} for {proof.host}"
            return self._failed(words.Failed(Trouble.REFUSED, why), now)
        self._challenge = proof.url
        if proof.challenge_status == "processing":
            return self._wait(proof.after, self._look, now)
        place = (proof.host, proof.token, self.wanted.challenge)
        told: list[words.Step] = []
        if place not in self.record.published:
            self.record.published.append(place)
            told = [words.Keep(self.name)]  # so that it is withdrawn even if this process is killed now
        self.at = At.PUBLISHING
        step = words.Publish(self.name, self.record.authority, *place)
        return [*told, *self._await(step, now, self.rules.command + SECOND)]

    _challenge = ""

    def _published(self, now: int) -> list[words.Step]:
        self.at = At.RESPONDING
        return self._call(words.Respond(self.name, self.record.authority, self._challenge), now)

    def _clean(self) -> list[words.Step]:
        told: list[words.Step] = [
            words.Withdraw(self.name, self.record.authority, *place) for place in self.record.published
        ]
        self.record.published = []
        return told

    def _installed(self, found: words.Installed, now: int) -> list[words.Step]:
        record, authority = self.record, self.record.authority
        record.drop_order()
        record.failures, record.problem, record.strikes = 0, "", {}
        record.pause, record.issuer = Pause(), authority
        record.barred.pop(authority, None)
        record.window, record.window_of, record.ask_at = (0, 0), "", 0
        self.held(found)
        self.forced = False
        left = (found.ends - now) / SECOND
        return [
            words.Count("installed", authority),
            words.Tell(f"acme: {self.name}: installed from {authority}, {span(left)} left"),
            *self._rest(),
        ]

    def _rest(self) -> list[words.Step]:
        self.at, self.out, self._waits_for, self._stale = At.RESTING, None, None, False
        return [*self._clean(), words.Keep(self.name), words.Release(self.name)]

    def _leave(self, _: int) -> list[words.Step]:
        """What it was at is not wanted any more; the next turn begins with what is."""
        if self._stale:
            steps = self._clean()
            self.record.drop_order()
            return [*steps, *self._rest()]
        return self._rest()

    def hand_on(self) -> list[words.Step]:
        """Another process goes on with it. Nothing is written: what is on disk is that one's by now."""
        if self.at is At.RESTING:
            return []
        self.at, self.out, self._waits_for, self._stale = At.RESTING, None, None, False
        return [*self._clean(), words.Release(self.name)]

    # ---- the window ----

    def _windowed(self, told: words.Window, now: int) -> list[words.Step]:
        self.at = At.RESTING
        if self.life is not None:
            record = self.record
            changed = told.begins and record.window != (told.begins, told.ends)
            record.window, record.window_of = (told.begins, told.ends), self.life.serial
            record.ask_at = now + (told.again or ASK_AGAIN)
            self._heed_window()
            if changed and self.due() <= now:
                return [
                    words.Tell(f"acme: {self.name}: {record.issuer} wants it renewed now"),
                    words.Keep(self.name),
                ]
        return [words.Keep(self.name)]

    # ---- what goes wrong ----

    def _failed(self, failed: words.Failed, now: int) -> list[words.Step]:
        record, authority = self.record, self.record.authority
        if self.at is At.ASKING:  # a help, not a need
            self.at = At.RESTING
            if self.life is not None:
                record.window_of, record.ask_at = self.life.serial, now + ASK_FAILED
            return []
        if self.at is At.CLAIMING:
            self.at = At.RESTING
            record.pause.begin(now, self.rules.first)
            return self._tell(failed, "the store", now)
        trouble = failed.trouble
        if trouble is Trouble.NO_ACCOUNT:  # enrolled again at the next try, with the key that there is
            record.drop_order()
        if (
            trouble in (Trouble.DEAD, Trouble.UNFIT, Trouble.REFUSED)
            or record.order
            and now - record.begun > self.rules.patience
        ):
            record.drop_order()
        record.problem = failed.text[:MOST_TEXT]
        told: list[words.Step] = []
        if trouble is Trouble.LIMITED:
            span_ = self.limits(authority).limited(now, failed.after)
            told = [
                words.KeepLimits(authority),
                words.Tell(
                    # fmt: skip
                    f"acme: {authority}: rate limited, nothing is asked for {span(span_ / SECOND)}",
                    bad=True,
                ),
            ]
        elif trouble is Trouble.REFUSED:
            record.barred.setdefault(authority, Pause()).begin(now, self.rules.most)
        if trouble in (Trouble.LIMITED, Trouble.REFUSED):
            pause = min(self.rules.first, self.rules.most)  # another authority may be tried soon
        else:
            record.failures += 1
            luck = chance("pause", self.name, record.failures, now)
            pause = max(backoff(record.failures, self.rules.first, self.rules.most, luck), failed.after)
        if trouble is Trouble.UNREACHABLE:
            self.limits(authority).down += 1
        record.strikes[authority] = record.strikes.get(authority, 0) + 1
        record.pause.begin(now, min(pause, self.rules.most, self._hurry(now)))
        return [
            words.Count(
                "failed" if trouble in (Trouble.LOCAL, Trouble.NO_ACCOUNT) else trouble.value, authority
            ),
            *told,
            *self._tell(failed, authority, now),
            *self._rest(),
        ]

    def _hurry(self, now: int) -> int:
        """The longest wait, us, that the time left allows: eight tries must fit into it, whatever failed
        before. What the authority itself has told to wait for is in its limits, and is not shortened by
        this."""
        if self.life is None or not self.covers():
            return self.rules.most
        return max(self.rules.first, (self.life.ends - now) // 8)

    def _tell(self, failed: words.Failed, where: str, now: int) -> list[words.Step]:
        """Refusals at once; the rest once each time the state of alarm changes, and the first time."""
        life = self.life if self.covers() else None
        alarm = self.rules.policy.alarm(life, now)
        about = f"{failed.trouble.value} {alarm}"
        bad = failed.trouble in (Trouble.REFUSED, Trouble.UNFIT) or alarm > 0
        if now - self._told_at.get(about, -3600 * SECOND) < min(3600 * SECOND, self.rules.most):
            return []
        self._told_at[about] = now
        left = (
            f"{span((life.ends - now) / SECOND)} left"
            if life is not None and now < life.ends
            else "none in force"
        )
        return [
            words.Tell(
                f"acme: {self.name}: {failed.trouble.value} at {where}: {failed.text[:MOST_TEXT]} ({left})",
                bad,
            )
        ]


def span(seconds: float) -> str:
    """For people."""
    for size, unit in ((86_400, "d"), (3600, "h"), (60, "min")):
        if seconds >= 2 * size:
            return f"{seconds / size:.0f} {unit}"
    return f"{seconds:.0f} s"
