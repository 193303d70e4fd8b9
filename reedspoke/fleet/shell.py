"""The fleet's sockets: datagrams to and from the other schedulers, and the calls of duties.

Datagrams may be lost, late, doubled or forged: what is not from an address of the peers is counted and
dropped, what comes from one must name that one as its sender, and no datagram ends anything. A socket that
cannot be opened is told in the log, and the scheduler serves without it, as it does when no peer says a word.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

from reedspoke.fleet.calls import Calls
from reedspoke.fleet.concern import Fellowship
from reedspoke.fleet.duties import Duties, Duty, Electorate, Work
from reedspoke.fleet.events import Act, Acted, Came, Joining, Spread
from reedspoke.fleet.frames import MOST, TWELVE, mark
from reedspoke.fleet.handed import Handed
from reedspoke.fleet.mail import Mail
from reedspoke.fleet.membership import Membership
from reedspoke.fleet.party import Party
from reedspoke.fleet.seal import KeysError, load
from reedspoke.fleet.sharing import Sharing
from reedspoke.fleet.status import Sent, figures
from reedspoke.fleet.view import View
from reedspoke.net.config import Peers
from reedspoke.net.runtime import Runtime
from reedspoke.net.subsystem import NAME, Call, Subsystem

SECOND = 1_000_000
BATCH = 64  # datagrams read at once, so that a flood of them leaves time for the rest

log = logging.getLogger("reedspoke")


@dataclass(slots=True, frozen=True)
class Address:
    """Where a duty's acts go. `limit`: us that one may take."""

    url: str
    limit: int


@dataclass(slots=True, frozen=True)
class Terms:
    """What an operator asks of the fleet beyond words on jobs. `period`: us, of the looks after members."""

    electorate: Electorate
    period: int
    duties: tuple[Duty, ...] = ()
    calls: Mapping[str, tuple[Address, int]] | None = None  # by duty: where to, and us between two
    handed: frozenset[str] = frozenset()  # duties that a part with I/O of its own does
    key_file: str = ""  # of the keys that frames are sealed with, "": they are not


class Socket:
    """One for all peers, not blocking; what cannot be sent at once is lost."""

    def __init__(self, runtime: Runtime, peers: Peers, me: int, mail: Mail, key_file: str = "") -> None:
        """`me`: our own place among the peers."""
        self.runtime, self.peers, self.mail, self.key_file = runtime, peers, mail, key_file
        self._known = {address: at for at, address in enumerate(peers.each)}
        each = tuple(address for at, address in enumerate(peers.each) if at != me)
        self._to = (peers.all,) if peers.all is not None else each
        self._socket: socket.socket | None = None
        self.counted = Sent()

    def effects(self) -> dict[type, Callable[[Any], None]]:
        return {Spread: self._spread}

    def open(self) -> None:
        try:
            self._socket = found = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            found.setblocking(False)
            # A process that replaces this one opens the same address beside it.
            found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            found.bind(self.peers.listen)
        except OSError as error:
            log.warning("peers: no messages: %s:%d: %s", *self.peers.listen, error)
            self.close()
            return
        asyncio.get_running_loop().add_reader(found.fileno(), self._read)
        self.runtime.emit(Joining())

    def reload(self) -> None:
        """Peers are the ones of the start; keys may change in service."""
        if not self.key_file:
            return
        try:
            self.mail.keys = load(self.key_file)
            log.info("reload: fleet: %r", self.mail.keys)
        except KeysError as error:
            log.error("reload: fleet.key_file: the old keys stay in force: %s", error)

    def close(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _read(self) -> None:
        for _ in range(BATCH):
            if self._socket is None:
                return
            try:
                body, source = self._socket.recvfrom(MOST + 1)
            except OSError:  # nothing more, or word that an earlier datagram met nobody
                return
            if (sender := self._known.get(source)) is not None:
                self.runtime.emit(Came(body, sender))
            else:
                self.counted.strangers += 1

    def _spread(self, effect: Spread) -> None:
        if self._socket is None:
            return
        to = self._to if effect.to < 0 else (self.peers.each[effect.to],)
        for body in effect.bodies:
            for address in to:
                try:
                    self.counted.bytes += self._socket.sendto(body, address)
                    self.counted.datagrams += 1
                except OSError:  # full, or nobody there: it is told again
                    self.counted.failed += 1


class Caller:
    """Carries out the acts of duties: a POST with the token, by which the receiver refuses an older one."""

    def __init__(self, runtime: Runtime, name: str, calls: Mapping[str, Address]) -> None:
        self.runtime, self.name, self.calls = runtime, name, calls
        self._tasks: set[asyncio.Task[None]] = set()

    def effects(self) -> dict[type, Callable[[Any], None]]:
        return {Act: self._act}

    def open(self) -> None:
        """Nothing: each call has its own connection."""

    def reload(self) -> None:
        """Duties are the ones of the start."""

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()

    def _act(self, effect: Act) -> None:
        task = asyncio.ensure_future(self._call(effect))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, effect: Act) -> None:
        from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

        call, status, later = self.calls[effect.duty], 0, 0
        headers = {
            "Fencing-Token": str(effect.token), "X-Duty": effect.duty, "X-Holder": self.name,
            "Content-Type": "text/plain",
        }  # fmt: skip
        seconds = call.limit / 1_000_000
        request = HTTPRequest(
            call.url, "POST", headers, b"", connect_timeout=seconds, request_timeout=seconds,
            follow_redirects=False,
        )  # fmt: skip
        # Guards against a stop between the decision and the act: the clock is asked once more.
        if self.runtime.clock.now() < effect.until:
            try:
                answer = await AsyncHTTPClient().fetch(request, raise_error=False)
                status = answer.code if answer.code < 599 else 0
                told = answer.headers.get("Fencing-Token", "") if answer.code == 409 else ""
                later = int(told) if told.isascii() and told.isdigit() else 0
            except (HTTPClientError, OSError) as error:
                log.warning("duty %s: call: %s", effect.duty, error)
        self.runtime.emit(Acted(effect.duty, status, min(later, (1 << 63) - 1)))


def join(
    runtime: Runtime, peers: Peers, me: int, terms: Terms | None = None, name: str = "", zone: str = ""
) -> tuple[Party, Subsystem]:
    """The fleet's part of a node, and what is pure of it, for parts that stand on it. `me`: our place among
    the peers. Words on jobs go out where the settings allow it. Raises KeysError."""
    settings, now = runtime.reducer.settings, runtime.clock.now()
    incarnation = now // 1000 & TWELVE
    count = max(len(peers.each), settings.schedulers if settings.limits.peers else 0)
    key_file = terms.key_file if terms is not None else ""
    mail = Mail(me, count, incarnation, load(key_file) if key_file else None)
    sharing = Sharing(count) if settings.limits.peers else None
    shell = Socket(runtime, peers, me, mail, key_file)
    parts: list[Socket | Caller] = [shell]
    party = Party(mail)
    if terms is not None:
        random = Random(now ^ me)
        party.membership = Membership(me, len(peers.each), incarnation, terms.period, now, random)
        born = now // SECOND
        party.view = View(me, len(peers.each), born, mark(zone), terms.period, now)
        party.duties = Duties(me, terms.electorate, now // 1000 & 0xFFFF, now, now, random)
        calls = terms.calls or {}
        for duty in terms.duties:
            work: Work | None = Handed(duty.name) if duty.name in terms.handed else None
            party.duties.add(duty, Calls(duty.name, calls[duty.name][1]) if duty.name in calls else work)
        parts.append(Caller(runtime, name, {duty: call for duty, (call, _) in calls.items()}))
    fellowship = Fellowship(runtime.reducer.core, party, sharing)
    release = (b"fleet", NAME, b"release")
    return party, Subsystem(
        "fleet",
        (fellowship,),
        tuple(parts),
        (
            Call(b"GET", (b"fleet",), fellowship.on_fleet),
            Call(b"POST", release, fellowship.on_release),
            Call(b"POST", (*release, NAME), fellowship.on_release),
        )
        if terms is not None
        else (),
        lambda: figures(party, sharing, shell.counted, runtime.clock.now()),
    )
