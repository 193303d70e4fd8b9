"""Keeps certificates in force: what is in the store serves, the engine gets new ones, operators see how it
stands."""

from __future__ import annotations

import asyncio
import logging
import ssl
from collections.abc import Callable
from pathlib import Path
from typing import Any

from reedspoke.acme import words
from reedspoke.acme.challenges import HttpAnswers, shared_file
from reedspoke.acme.driver import Driver, wall
from reedspoke.acme.engine import Engine
from reedspoke.acme.limits import Limits
from reedspoke.acme.plan import Policy
from reedspoke.acme.record import Record, unpacked
from reedspoke.acme.renewal_settings import Authority, CertificateRequest, RenewalSettings
from reedspoke.fleet.events import RoleAcquired, RoleLost
from reedspoke.net.config import address
from reedspoke.operator.check import OperatorError, reloaded
from reedspoke.operator.types import Acme, Certificate, Operator
from reedspoke.sealed import CorruptFileError
from reedspoke.tls.certificate import Pair, UnfitError, fit
from reedspoke.tls.front import Front
from reedspoke.tls.handshakes import Handshakes
from reedspoke.tls.meters import Meters
from reedspoke.tls.store import Store
from reedspoke.units import parse_microseconds

log = logging.getLogger("reedspoke")

TICK = 0.1  # s
LOOK = 0.5  # s between looks at what operators and other processes have put into the store
POLL_MOST = 1_000_000  # us


def certificate_request(certificate: Certificate, acme: Acme) -> CertificateRequest:
    """A certificate of the operator file as the engine knows it."""
    authorities = {
        one.name: Authority(one.name, one.tries_a_day, parse_microseconds(one.timeout))
        for one in acme.authorities
    }
    names = certificate.authorities or list(authorities)
    return CertificateRequest(
        certificate.name,
        tuple(certificate.hosts),
        certificate.challenge,
        tuple(authorities[name] for name in names),
    )


def renewal_settings(acme: Acme) -> RenewalSettings:
    """What the operator file says of all certificates."""
    first, longest = parse_microseconds(acme.backoff.first), parse_microseconds(acme.backoff.most)
    challenge = (
        parse_microseconds(acme.dns.limit) + parse_microseconds(acme.dns.settle) if acme.dns else POLL_MOST
    )
    return RenewalSettings(
        policy=Policy(acme.renew_at, acme.spread),
        first_backoff=first,
        longest_backoff=longest,
        first_poll_interval=min(first, POLL_MOST),
        order_timeout=parse_microseconds(acme.order_limit),
        challenge_timeout=challenge,
        use_ari=acme.use_ari,
    )


class Service:
    """An extension of the node. Raises nothing once it is made: what is wrong with a file is told and renewed
    round."""

    def __init__(
        self, operator: Operator, path: Path, store: Store, front: Front, handshakes: Handshakes, meters:
        Meters, now: Callable[[], int] = wall, clock: Callable[[], int] = wall,
    ) -> None:  # fmt: skip
        """`clock`: that leases go by, where one scheduler of a fleet orders for all."""
        self.operator, self.path, self.store = operator, path, store
        self.front, self.handshakes, self.meters, self.now = front, handshakes, meters, now
        self.engine = Engine()
        self.driver = Driver(self.engine, store, meters, self._install, now)
        self.clock, self._until = clock, 0
        self.driver.shared = fleet = operator.fleet is not None and operator.fleet.certificates
        self.engine.may = not fleet
        self._stamps: dict[str, tuple[int, int]] = {}
        self._task: asyncio.Task[None] | None = None

    def effects(self) -> dict[type, Callable[[Any], None]]:
        return {RoleAcquired: self._enter, RoleLost: self._leave}

    # ---- in a fleet: one orders, all serve what lies in the store that they share ----

    def _enter(self, effect: RoleAcquired) -> None:
        fresh = self.store.token != effect.token or not self.engine.may
        self.store.token, self._until = effect.token, effect.expires_at
        if fresh:
            assert self.operator.acme is not None
            for authority in self.operator.acme.authorities:
                if (found := self._kept(f"{authority.name}.rate", Limits)) is not None:
                    self.engine.resume_limits(authority.name, found)
            records = [self._kept(f"{one.name}.order", Record) for one in self.operator.certificates]
            self.engine.take_up(record for record in records if record is not None)
            log.info("acme: this scheduler orders for the fleet, token %d", effect.token)

    def _leave(self, _: RoleLost) -> None:
        """The token stays: a write that is under way still must not pass for a newer one's."""
        if self.engine.may:
            log.info("acme: another scheduler orders for the fleet from now on")
            self._until = 0
            self.driver.do(self.engine.stand_down())

    def _shared_answer(self, token: bytes) -> bytes | None:
        try:
            return self.store.read(shared_file(token))
        except (UnfitError, OSError):
            return None

    def open(self) -> None:
        acme = self.operator.acme
        if acme is not None and acme.http is not None:
            shared = self._shared_answer if self.driver.shared else None
            self.driver.http = HttpAnswers(address(acme.http.listen, "acme.http.listen"), shared)
            try:
                self.driver.http.open()
            except OSError as error:
                log.error("acme: challenge listener %s: %s", acme.http.listen, error.strerror)
        self._take_up()
        self._task = asyncio.ensure_future(self._run())

    def _take_up(self) -> None:
        """The operator file, as it is now."""
        told = self.operator
        assert told.tls is not None
        self.front.names.want((one.name, one.hosts) for one in told.certificates)
        self.handshakes.bound(parse_microseconds(told.tls.handshake), told.tls.handshakes)
        before = set(self.engine.renewals)
        steps: list[words.Step] = []
        if told.acme is not None:
            self.driver.authorities(told.acme.authorities)
            self.driver.dns = told.acme.dns
            requests = [certificate_request(one, told.acme) for one in told.certificates]
            steps = self.engine.want(requests, renewal_settings(told.acme))
            for authority in told.acme.authorities:
                if (found := self._kept(f"{authority.name}.rate", Limits)) is not None and not before:
                    self.engine.resume_limits(authority.name, found)
        for one in told.certificates:
            if one.name not in before and (record := self._kept(f"{one.name}.order", Record)) is not None:
                self.engine.resume(record)
            self._look_at(one.name)
        for name in before - {one.name for one in told.certificates}:
            self.meters.gone(name)
            self._stamps.pop(name, None)
        self.driver.do(steps)

    def _kept(self, file: str, kind: type[Any]) -> Any:
        try:
            raw = self.store.read(file)
            return unpacked(raw, kind) if raw is not None else None
        except (CorruptFileError, UnfitError, OSError) as error:
            log.error("acme: %s is unusable and passed over: %s", file, error)
            return None

    def reload(self) -> None:
        """SIGHUP has come."""
        try:
            self.operator = reloaded(self.operator, self.path)
        except OperatorError as error:
            log.error("reload: the operator file in force stays: %s", error)
            return
        log.info("reload: the operator file holds, %d certificates", len(self.operator.certificates))
        self._take_up()

    async def _run(self) -> None:
        looked = 0.0
        while True:
            try:
                now = asyncio.get_running_loop().time()
                if now - looked >= LOOK:
                    looked = now
                    self._look()
                if self._until and self.clock() >= self._until:  # it may be renewed still: then we begin anew
                    self._leave(RoleLost(""))
                self.driver.do(self.engine.tick(self.now()))
            except Exception:
                log.exception("fault: certificates")
            await asyncio.sleep(TICK)

    def _look(self) -> None:
        """What others have put into the store, and the figures."""
        for one in self.operator.certificates:
            if self.store.stamp(f"{one.name}.pem") != self._stamps.get(one.name):
                self._look_at(one.name)
            if (
                self.engine.may
                and self.store.stamp(f"{one.name}.wanted") != (0, 0)
                and self.store.remove(f"{one.name}.wanted")
            ):
                self.driver.do(self.engine.force(one.name, self.now()))
            left, alarm = self._standing(one.name)
            self.meters.certificate(one.name, left, alarm)

    def _standing(self, name: str) -> tuple[float, int]:
        if name in self.engine.renewals:
            return self.engine.alarm(name, self.now())
        ends = next((held.ends for held in self.front.names.held() if held.name == name), 0)
        left = (ends - self.now()) / 1_000_000 if ends else 0.0
        return left, 0 if left > 0 else 3

    def _look_at(self, name: str) -> None:
        """A certificate in the store, whoever put it there. Read on the event loop: a few kilobytes."""
        self._stamps[name] = self.store.stamp(f"{name}.pem")
        try:
            found = self.store.load(name)
            if found is None:
                return
            fit(found, (), self.now(), 3600 * 1_000_000)
            self._install(name, found)
        except (UnfitError, OSError, ssl.SSLError) as error:
            log.error("tls: %s.pem is unusable and passed over: %s", name, error)
            return
        self.engine.held(name, words.Installed(found.begins, found.ends, found.serial, found.hosts))

    def _install(self, name: str, found: Pair) -> None:
        """Into service: from the next handshake on."""
        self.front.hold(name, found)
        self._stamps[name] = self.store.stamp(f"{name}.pem")

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self.driver.close()
