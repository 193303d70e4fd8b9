"""Reads an operator file and says plainly what is wrong with it: the key, then why. No I/O but the one
read."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import msgspec

from reedspoke.booking.settings import LEADER_ROLE, Bookings
from reedspoke.errors import ReedspokeError
from reedspoke.fleet.settings import Fleet
from reedspoke.operator.types import Acme, Identity, Operator
from reedspoke.units import ADDRESS_PATTERN, DURATION_PATTERN, parse_seconds

LONGEST_HANDSHAKE = 2.0  # s: an answer or a close is due 3 s after connecting
PLACE = re.compile(r"^(?P<what>.*?)(?: - at `(?:key in )?\$(?P<where>[^`]*)`)?$", re.DOTALL)
UNKNOWN = re.compile(r"Object contains unknown field `(.*)`$")
MISSING = re.compile(r"Object missing required field `(.*)`$")


class OperatorError(ReedspokeError):
    """The operator file is unusable; the text names the key and says why in one line."""

    code = "operator-file-unusable"
    remedy = "mend the key that the message names; `reedspoke config check` tells the next one"


def load(path: str | Path) -> Operator:
    """Raises OperatorError, with the file's name before the key."""
    try:
        return parse(Path(path).read_bytes())
    except OSError as error:
        raise OperatorError(f"{path}: cannot be read: {error.strerror}") from None
    except OperatorError as error:
        raise OperatorError(f"{path}: {error}") from None


def parse(raw: bytes) -> Operator:
    try:
        told = msgspec.json.decode(raw, type=Operator)
    except msgspec.ValidationError as error:
        raise OperatorError(plain(str(error))) from None
    except msgspec.DecodeError as error:
        raise OperatorError(f"no JSON: {error}") from None
    for key, why in contradictions(told):
        raise OperatorError(f"{key}: {why}")
    return told


def plain(text: str) -> str:
    """msgspec's words as `key: why`."""
    found = PLACE.match(text)
    assert found is not None
    what, where = found["what"], (found["where"] or "").lstrip(".")
    for pattern, why in ((UNKNOWN, "unknown key"), (MISSING, "is missing")):
        if named := pattern.match(what):
            return f"{where + '.' if where else ''}{named[1]}: {why}"
    if repr(DURATION_PATTERN)[1:-1] in what:
        what = "no duration with its unit, such as 250ms, 2s, 5m, 12h or 30d"
    elif repr(ADDRESS_PATTERN)[1:-1] in what:
        what = "no ip:port"
    elif "regex" in what:
        what = "has a form that is not allowed here"
    return f"{where or 'the file'}: {what}"


def contradictions(told: Operator) -> Iterator[tuple[str, str]]:
    yield from _addresses(told)
    if told.tls is not None:
        handshake = parse_seconds(told.tls.handshake)
        if not 0 < handshake <= LONGEST_HANDSHAKE:
            yield "tls.handshake", f"must be above 0s and at most {LONGEST_HANDSHAKE:g}s"
        if not told.certificates:
            yield "certificates", "tls is on and nothing names a certificate for it"
    elif told.certificates:
        yield "tls", "is missing, and certificates are of no use without it"
    elif told.acme is not None:
        yield "tls", "is missing, and acme is of no use without it"
    if told.acme is not None:
        yield from _acme(told.acme)
    yield from _certificates(told)
    if told.identity is not None:
        yield from _identity(told.identity, told.tls is not None)
    if told.bookings is not None:
        yield from _bookings(told.bookings)
        if told.fleet is None:
            yield "fleet", "is missing, and bookings are agreed on by a fleet"
        elif LEADER_ROLE in [one.name for one in told.fleet.duties]:
            yield "fleet.duties", f"the name {LEADER_ROLE!r} is taken by bookings"
    if told.fleet is not None:
        yield from _fleet(told.fleet)
        if told.fleet.certificates and told.acme is None:
            yield "fleet.certificates", "is of no use without acme"
        if told.fleet.certificates and "certificates" in [one.name for one in told.fleet.duties]:
            yield "fleet.duties", "the name 'certificates' is taken by fleet.certificates"


def _bookings(bookings: Bookings) -> Iterator[tuple[str, str]]:
    for what, names in (
        ("zones", [zone.name for zone in bookings.zones]),
        ("teams", [team.tenant for team in bookings.teams]),
    ):  # fmt: skip
        for at, name in enumerate(names):
            if names.index(name) != at:
                yield f"bookings.{what}[{at}]", f"{name!r} is there twice"
    for key in ("step", "horizon", "longest"):
        told = parse_seconds(getattr(bookings, key))
        if told < 1 or told != int(told):
            yield f"bookings.{key}", "must be whole seconds, at least 1s"
    if not 0.2 <= parse_seconds(bookings.term) <= 600:
        yield "bookings.term", "must be from 200ms to 10m"


def _fleet(fleet: Fleet) -> Iterator[tuple[str, str]]:
    places = [("fleet.listen", fleet.listen)] if fleet.listen else []
    places += [(f"fleet.members[{at}]", text) for at, text in enumerate(fleet.members)]
    for key, text in places:
        host, _, port = text.rpartition(":")
        try:
            ipaddress.IPv4Address(host)
        except ValueError:
            yield key, f"no ip:port of IPv4: {text!r}"
        if not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
            yield key, f"no port from 1 to 65535: {text!r}"
    for at, text in enumerate(fleet.members):
        if fleet.members.index(text) != at:
            yield f"fleet.members[{at}]", f"{text} is there twice"
    if fleet.members and fleet.me >= len(fleet.members):
        yield "fleet.me", f"no place among {len(fleet.members)} members"
    for at, granter in enumerate(fleet.granters):
        if fleet.members and granter >= len(fleet.members):
            yield f"fleet.granters[{at}]", f"no place among {len(fleet.members)} members"
        if fleet.granters.index(granter) != at:
            yield f"fleet.granters[{at}]", f"{granter} is there twice"
    if not 0.05 <= parse_seconds(fleet.period) <= 60:
        yield "fleet.period", "must be from 50ms to 1m"
    for at, duty in enumerate(fleet.duties):
        if not 0.2 <= parse_seconds(duty.term) <= 600:
            yield f"fleet.duties[{at}].term", "must be from 200ms to 10m"
        if [one.name for one in fleet.duties].index(duty.name) != at:
            yield f"fleet.duties[{at}].name", f"{duty.name!r} is there twice"
        if (call := duty.call) is not None:
            yield from _directory(f"fleet.duties[{at}].call.url", call.url)
            if not parse_seconds(call.every) or not parse_seconds(call.limit):
                yield f"fleet.duties[{at}].call", "every and limit must be above 0s"


def _identity(identity: Identity, tls: bool) -> Iterator[tuple[str, str]]:
    if parse_seconds(identity.skew) > 300:
        yield "identity.skew", "must be at most 5m"
    if not identity.issuers and identity.certificates is None:
        yield "identity", "has neither issuers nor certificates: nobody could prove anything"
    if identity.certificates is not None and not tls:
        yield "identity.certificates", "are shown over TLS alone, and tls is missing"
    issuers = [one.name for one in identity.issuers]
    claimed: dict[object, str] = {}
    for at, one in enumerate(identity.issuers):
        if issuers.index(one.name) != at:
            yield f"identity.issuers[{at}].name", f"{one.name!r} is there twice"
    for at, caller in enumerate(identity.callers):
        key = f"identity.callers[{at}]"
        if not caller.subjects and not caller.names:
            yield key, "has neither subjects nor names: it could not prove who it is"
        if caller.names and identity.certificates is None:
            yield f"{key}.names", "are of no use without identity.certificates"
        for subject in caller.subjects:
            if subject.issuer not in issuers:
                yield f"{key}.subjects", f"{subject.issuer!r} is not among identity.issuers"
        for claim in (caller.name, *caller.names, *((one.issuer, one.subject) for one in caller.subjects)):
            if claimed.setdefault(claim, caller.name) != caller.name:
                yield key, f"{claim} stands for {claimed[claim]} as well"
    if len({caller.name for caller in identity.callers}) != len(identity.callers):
        yield "identity.callers", "one name is there twice"


def _acme(acme: Acme) -> Iterator[tuple[str, str]]:
    names = [authority.name for authority in acme.authorities]
    for at, authority in enumerate(acme.authorities):
        key = f"acme.authorities[{at}]"
        if names.index(authority.name) != at:
            yield f"{key}.name", f"{authority.name!r} is there twice"
        yield from _directory(f"{key}.directory", authority.directory)
        if not parse_seconds(authority.timeout):
            yield f"{key}.timeout", "must be above 0s"
    first, most = parse_seconds(acme.backoff.first), parse_seconds(acme.backoff.most)
    if not 0 < first <= most:
        yield "acme.backoff.first", "must be above 0s and at most acme.backoff.most"
    if acme.dns is not None and not parse_seconds(acme.dns.limit):
        yield "acme.dns.limit", "must be above 0s"


def _directory(key: str, address: str) -> Iterator[tuple[str, str]]:
    try:
        parts = urlsplit(address)
        host, _ = parts.hostname or "", parts.port
    except ValueError:
        yield key, "is no address"
        return
    if not host:
        yield key, "names no host"
    elif parts.scheme != "https" and not loopback(host):
        yield key, "must begin with https:// (http is for loopback addresses alone)"


def loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return host == "localhost"


def _addresses(told: Operator) -> Iterator[tuple[str, str]]:
    listens = [("tls.listen", told.tls.listen if told.tls else "")]
    listens.append(("acme.http.listen", told.acme.http.listen if told.acme and told.acme.http else ""))
    seen: dict[str, str] = {}
    for key, listen in listens:
        if not listen:
            continue
        host, _, port = listen.rpartition(":")
        try:
            ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        except ValueError:
            yield key, f"no ip:port: {listen!r}"
        if not 0 < int(port) < 65536:
            yield key, f"no port from 1 to 65535: {listen!r}"
        if listen in seen:
            yield key, f"is the same as {seen[listen]}"
        seen[listen] = key


def _certificates(told: Operator) -> Iterator[tuple[str, str]]:
    names: dict[str, int] = {}
    hosts: dict[str, str] = {}
    known = {authority.name for authority in told.acme.authorities} if told.acme else set()
    for at, certificate in enumerate(told.certificates):
        key = f"certificates[{at}]"
        if certificate.name in names:
            yield f"{key}.name", f"{certificate.name!r} is there twice"
        names[certificate.name] = at
        for host in certificate.hosts:
            if host in hosts:
                yield f"{key}.hosts", f"{host} stands in {hosts[host]} already"
            hosts[host] = certificate.name
            if host.startswith("*.") and certificate.challenge == "http-01":
                yield f"{key}.challenge", f"{host} can be proven by dns-01 alone"
        if told.acme is None:
            continue
        way = told.acme.http if certificate.challenge == "http-01" else told.acme.dns
        if way is None:
            yield (
                f"acme.{certificate.challenge[:-3]}",
                f"is missing, and certificate {certificate.name} needs it",
            )
        for authority in certificate.authorities:
            if authority not in known:
                yield f"{key}.authorities", f"{authority!r} is not among acme.authorities"


def fixed(told: Operator) -> dict[str, Any]:
    """What cannot change in service, by key."""
    return {
        "log": told.log,
        "tls": told.tls is not None,
        "tls.listen": told.tls and told.tls.listen,
        "tls.store": told.tls and told.tls.store,
        "acme": told.acme is not None,
        "identity": told.identity is not None,
        "identity.certificates": told.identity and told.identity.certificates,
        "fleet": told.fleet,
        "bookings": told.bookings,
        "acme.http.listen": told.acme and told.acme.http and told.acme.http.listen,
    }


def reloaded(old: Operator, path: str | Path) -> Operator:
    """The file as it is now, for a process that runs with `old`. Raises OperatorError, and then `old`
    holds."""
    new = load(path)
    before, after = fixed(old), fixed(new)
    for key in before:
        if before[key] != after[key]:
            raise OperatorError(f"{path}: {key}: cannot change in service, it needs a restart")
    return new
