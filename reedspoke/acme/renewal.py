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
from dataclasses import replace
from enum import Enum

from reedspoke.acme import words
from reedspoke.acme.authority_choice import LimitsOf
from reedspoke.acme.limits import Pause
from reedspoke.acme.plan import SECOND
from reedspoke.acme.renewal_failure import FailureNotices, longest_wait, note_failure, readable
from reedspoke.acme.renewal_schedule import RenewalSchedule
from reedspoke.acme.renewal_settings import CertificateRequest, RenewalSettings
from reedspoke.acme.words import Trouble

ASK_AGAIN = 6 * 3600 * SECOND
ASK_FAILED = 3600 * SECOND
CLAIM_TIMEOUT = 10 * SECOND
DEFAULT_CALL_TIMEOUT = 15 * SECOND
MOST_POLL_GROWTH = 30  # a later wait is at most so many times the first one


class State(Enum):
    """What is under way for a certificate."""

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


class Renewal(RenewalSchedule):
    """One certificate, from the time at which it is due until a new one is installed."""

    def __init__(self, request: CertificateRequest, settings: RenewalSettings, limits: LimitsOf) -> None:
        """`limits`: what is remembered of an authority; it is changed here."""
        super().__init__(request, settings, limits)
        self.state = State.RESTING
        self.out: words.Wait | words.Claim | None = None  # the step whose outcome is awaited
        self.until = 0  # when that is given up
        self.polls = 0
        self._wake = 0  # when WAITING ends
        self._waits_for: Callable[[int], list[words.Step]] | None = None
        self._todo: list[str] = []  # authorisations not seen valid as yet
        self._challenge = ""  # address of the one that was published last
        self._notices = FailureNotices(request.name)
        self._stale = False  # the request has changed under the order in hand

    def change(self, request: CertificateRequest, settings: RenewalSettings) -> None:
        """The operator file has changed. An order for other names, or at an authority that is not named any
        more, is of no use: it is left, also in the middle."""
        old, self.request, self.settings = self.request, request, settings
        has_authority = request.authority(self.record.authority) is not None
        if (old.hosts, old.challenge) == (request.hosts, request.challenge) and has_authority:
            return
        self.record.pause = Pause()
        self._stale = self._stale or self.state is not State.RESTING

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
        self.state = State.CLAIMING
        return self._await(words.Claim(self.name), now, CLAIM_TIMEOUT)

    def ask(self, now: int) -> list[words.Step]:
        self.state = State.ASKING
        issuer = self.request.authority(self.record.issuer)
        assert issuer is not None
        return self._await(words.Ask(self.name, issuer.name), now, issuer.call_timeout * 2)

    def tick(self, now: int) -> list[words.Step]:
        """Time has passed."""
        if self.out is not None and now >= self.until:
            return self.handle(words.Failed(Trouble.UNREACHABLE, "no outcome in time"), now)
        if self.state is State.WAITING and now >= self._wake and self._waits_for is not None:
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
        if self._stale and self.state not in (State.CLAIMING, State.ASKING, State.FETCHING):
            return self._leave(now)
        match self.state, outcome:
            case State.CLAIMING, words.Claimed():
                return self._claimed(outcome, now)
            case State.ASKING, words.Window():
                return self._windowed(outcome, now)
            case State.ENROLLING, words.Enrolled():
                return self._enrolled(now)
            case State.BEGINNING, words.Begun():
                return self._begun(outcome, now)
            case ((State.STANDING | State.FINALIZING), words.Stands()):
                return self._stands(outcome, now)
            case State.PROVING, words.Proof():
                return self._proof(outcome, now)
            case State.PUBLISHING, words.Done():
                return self._published(now)
            case State.RESPONDING, words.Done():
                return self._look(now, wait=True)
            case State.FETCHING, words.Installed():
                return self._installed(outcome, now)
        return self._failed(
            words.Failed(Trouble.UNREACHABLE, f"an outcome that does not fit: {type(outcome).__name__}"), now
        ) if step is not None else []  # fmt: skip

    def _await(self, step: words.Wait | words.Claim, now: int, limit: int) -> list[words.Step]:
        self.out, self.until = step, now + limit
        return [step]

    def _call(self, step: words.Wait, now: int, calls: int = 3) -> list[words.Step]:
        """A step that takes some calls to the authority: a nonce, the call, once more for a nonce refused."""
        authority = self.request.authority(self.record.authority)
        timeout = authority.call_timeout if authority is not None else DEFAULT_CALL_TIMEOUT
        longest = max(timeout, 2 * longest_wait(self.settings, self.life_in_force, now))
        return self._await(step, now, min(calls * timeout, longest))

    def _wait(self, told: int, then: Callable[[int], list[words.Step]], now: int) -> list[words.Step]:
        """Between two looks: as the authority says, else longer each time."""
        if now - self.record.begun > self.settings.order_timeout:
            return self._failed(words.Failed(Trouble.DEAD, "it is not done in time"), now)
        self.polls += 1
        own = int(self.settings.first_poll_interval * min(1.5 ** (self.polls - 1), MOST_POLL_GROWTH))
        self.state, self._waits_for = State.WAITING, then
        self._wake = now + (min(told, self.settings.longest_backoff) or own)
        return []

    # ---- the way of an order ----

    def _claimed(self, claimed: words.Claimed, now: int) -> list[words.Step]:
        if not claimed.got:  # another process is at it: what it installs is seen in the store
            self.state = State.RESTING
            self.record.pause.begin(now, max(SECOND // 2, self.settings.first_backoff // 2))
            return []
        if self._is_installed_by_another(claimed.held):
            assert claimed.held is not None
            self.held(claimed.held)
            if now < self.due():
                self.state = State.RESTING  # nothing is kept: the record on disk is the other process's
                return [
                    words.Tell(f"acme: {self.name}: another process installed it"),
                    words.Release(self.name),
                ]
        authority = self.authority(now)
        if authority is None or self._stale:
            return self._leave(now)
        told: list[words.Step] = []
        old = now - self.record.begun > self.settings.order_timeout
        other = self.record.authority != authority.name or self.record.hosts != list(self.request.hosts)
        if self.record.order and (old or other):
            told = self._clean()
            self.record.drop_order()
        self.record.authority, self.record.hosts = authority.name, list(self.request.hosts)
        if self.covers() and self.life is not None and not self.forced:
            planned = self.settings.policy.due(self.name, replace(self.life, window=(0, 0)))
            self.record.hurried = now < planned
        self.state, self.polls = State.ENROLLING, 0
        return [*told, *self._call(words.Enrol(self.name, authority.name), now, 6)]

    def _is_installed_by_another(self, found: words.Installed | None) -> bool:
        """The certificate found with the lock is newer than what this process last saw in the store."""
        return found is not None and (self.life is None or found.serial != self.life.serial)

    def _enrolled(self, now: int) -> list[words.Step]:
        if self.record.order:
            return [words.Tell(f"acme: {self.name}: the order goes on"), *self._check(now)]
        self.state = State.BEGINNING
        authority = self.record.authority
        self.limits(authority).count(now)  # before it is begun: a kill in between must not begin without end
        self.record.begun = now
        replaces = self.life.serial if self.life is not None and self.record.issuer == authority else ""
        step = words.Begin(
            self.name, authority, self.request.hosts, replaces if self.settings.use_ari else ""
        )
        return [words.KeepLimits(authority), words.Keep(self.name), *self._call(step, now)]

    def _begun(self, begun: words.Begun, now: int) -> list[words.Step]:
        self.record.order, self.record.key = begun.order, begun.key
        self.record.begun = now
        stands = words.Stands("pending", begun.authorisations, begun.finalize)
        return [words.Keep(self.name), *self._stands(stands, now)]

    def _check(self, now: int) -> list[words.Step]:
        self.state = State.STANDING
        return self._call(words.Check(self.name, self.record.authority, self.record.order), now)

    def _stands(self, stands: words.Stands, now: int) -> list[words.Step]:
        record = self.record
        match stands.status:
            case "pending":
                self._todo = list(stands.authorisations)
                return self._look(now)
            case "ready":
                self.state = State.FINALIZING
                return [
                    *self._clean(),
                    words.Keep(self.name),
                    *self._call(
                        words.Finalize(
                            self.name, record.authority, stands.finalize, self.request.hosts, record.key
                        ),
                        now,
                    ),
                ]
            case "processing":
                return self._wait(stands.after, self._check, now)
            case "valid" if stands.certificate:
                record.certificate = stands.certificate
                self.state = State.FETCHING
                step = words.Fetch(
                    self.name, record.authority, stands.certificate, self.request.hosts, record.key
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
        self.state = State.PROVING
        step = words.Look(self.name, self.record.authority, self._todo[0], self.request.challenge)
        return self._call(step, now)

    def _proof(self, proof: words.Proof, now: int) -> list[words.Step]:
        if proof.status == "valid":
            self._todo.pop(0)
            return self._look(now)
        if proof.status != "pending" or proof.challenge_status == "invalid":
            why = proof.problem or f"authorisation for {proof.host} is {proof.status!r}"
            return self._failed(words.Failed(Trouble.DEAD, why), now)
        if not proof.url:
            why = f"the authority offers no {self.request.challenge} for {proof.host}"
            return self._failed(words.Failed(Trouble.REFUSED, why), now)
        self._challenge = proof.url
        if proof.challenge_status == "processing":
            return self._wait(proof.after, self._look, now)
        published = (proof.host, proof.token, self.request.challenge)
        told: list[words.Step] = []
        if published not in self.record.published:
            self.record.published.append(published)
            told = [words.Keep(self.name)]  # so that it is withdrawn even if this process is killed now
        self.state = State.PUBLISHING
        step = words.Publish(self.name, self.record.authority, *published)
        return [*told, *self._await(step, now, self.settings.challenge_timeout + SECOND)]

    def _published(self, now: int) -> list[words.Step]:
        self.state = State.RESPONDING
        return self._call(words.Respond(self.name, self.record.authority, self._challenge), now)

    def _clean(self) -> list[words.Step]:
        told: list[words.Step] = [
            words.Withdraw(self.name, self.record.authority, *published)
            for published in self.record.published
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
            words.Tell(f"acme: {self.name}: installed from {authority}, {readable(left)} left"),
            *self._rest(),
        ]

    def _rest(self) -> list[words.Step]:
        self.state, self.out, self._waits_for, self._stale = State.RESTING, None, None, False
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
        if self.state is State.RESTING:
            return []
        self.state, self.out, self._waits_for, self._stale = State.RESTING, None, None, False
        return [*self._clean(), words.Release(self.name)]

    # ---- the window ----

    def _windowed(self, told: words.Window, now: int) -> list[words.Step]:
        self.state = State.RESTING
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
        record = self.record
        if self.state is State.ASKING:  # a help, not a need
            self.state = State.RESTING
            if self.life is not None:
                record.window_of, record.ask_at = self.life.serial, now + ASK_FAILED
            return []
        if self.state is State.CLAIMING:
            self.state = State.RESTING
            record.pause.begin(now, self.settings.first_backoff)
            return self._notice(failed, "the store", now)
        authority, life = record.authority, self.life_in_force
        steps = note_failure(failed, record, self.limits(authority), self.settings, life, now)
        return [*steps, *self._notice(failed, authority, now), *self._rest()]

    def _notice(self, failed: words.Failed, where: str, now: int) -> list[words.Step]:
        return self._notices.steps(failed, where, self.settings, self.life_in_force, now)
