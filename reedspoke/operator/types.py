"""The operator file's shape. Every key is known, every duration has its unit; `check.py` has what a shape
cannot say."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from reedspoke.booking.settings import Bookings
from reedspoke.fleet.settings import Fleet
from reedspoke.units import Address, Duration, Name

VERSION = 1
HOST = r"^(\*\.)?([a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\.)+[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"
Host = Annotated[str, Meta(pattern=HOST, max_length=253, description="A DNS name, maybe with *. before it.")]


class Log(Struct, forbid_unknown_fields=True, frozen=True):
    """How lines are written to standard error."""

    form: Annotated[
        Literal["plain", "console", "json"],
        Meta(description="plain: as on the platform; json: one object a line."),
    ] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Tls(Struct, forbid_unknown_fields=True, frozen=True):
    """A further listener of the acquirer side, over TLS."""

    listen: Address
    store: Annotated[str, Meta(min_length=1, description="Folder of certificates and keys, mode 0700.")]
    minimum: Annotated[Literal["1.2", "1.3"], Meta(description="Lowest version of TLS.")] = "1.2"
    handshake: Annotated[Duration, Meta(description="Longest time for one handshake, 2s at the most.")] = (
        "1500ms"
    )
    handshakes: Annotated[int, Meta(ge=1, le=4096, description="Most handshakes at once.")] = 64


class Certificate(Struct, forbid_unknown_fields=True, frozen=True):
    """One certificate and the names in it."""

    name: Name
    hosts: Annotated[list[Host], Meta(min_length=1, max_length=100)]
    challenge: Literal["http-01", "dns-01"] = "http-01"
    authorities: Annotated[
        list[Name], Meta(description="In the order in which they are tried; empty: all, as listed.")
    ] = []


class Eab(Struct, forbid_unknown_fields=True, frozen=True):
    """External account binding (RFC 8555, 7.3.4)."""

    key_id: Annotated[str, Meta(min_length=1)]
    key_file: Annotated[str, Meta(min_length=1, description="File with the HMAC key, base64url; mode 0600.")]


class Authority(Struct, forbid_unknown_fields=True, frozen=True):
    """A certificate authority that speaks ACME."""

    name: Name
    directory: Annotated[str, Meta(pattern=r"^https?://", description="Address of its directory; https.")]
    ca_file: Annotated[
        str, Meta(description="Roots that its own certificate is checked with; else the system's.")
    ] = ""
    contact: Annotated[list[Annotated[str, Meta(pattern=r"^mailto:")]], Meta(max_length=5)] = []
    terms_agreed: Annotated[bool, Meta(description="Its terms of service are agreed to.")] = False
    eab: Eab | None = None
    tries_a_day: Annotated[int, Meta(ge=1, description="Most orders begun there in 24 h.")] = 50
    timeout: Annotated[Duration, Meta(description="Longest time for one call to it.")] = "15s"


class HttpChallenge(Struct, forbid_unknown_fields=True, frozen=True):
    """http-01: a listener that serves nothing but challenges."""

    listen: Address


class DnsChallenge(Struct, forbid_unknown_fields=True, frozen=True):
    """dns-01: a command that sets and removes a TXT record: COMMAND... add|remove NAME VALUE."""

    command: Annotated[list[str], Meta(min_length=1)]
    limit: Annotated[Duration, Meta(description="Longest time for one run of it.")] = "60s"
    settle: Annotated[Duration, Meta(description="Wait between the command and the challenge.")] = "0s"


class Backoff(Struct, forbid_unknown_fields=True, frozen=True):
    """Wait after an error: doubled each time, with jitter, unless the authority names one."""

    first: Duration = "1m"
    most: Duration = "6h"


class Acme(Struct, forbid_unknown_fields=True, frozen=True):
    """Certificates obtained and renewed by the program itself."""

    authorities: Annotated[list[Authority], Meta(min_length=1, max_length=8)]
    http: HttpChallenge | None = None
    dns: DnsChallenge | None = None
    renew_at: Annotated[
        float, Meta(ge=0.05, le=0.9, description="Share of the lifetime left at which renewal begins.")
    ] = 1 / 3
    spread: Annotated[float, Meta(ge=0, le=0.5, description="Jitter: share of the time before renewal.")] = (
        0.1
    )
    backoff: Backoff = msgspec.field(default_factory=Backoff)
    order_limit: Annotated[Duration, Meta(description="An order not done by then is given up.")] = "1h"
    use_ari: Annotated[bool, Meta(description="Ask the authority for its window (RFC 9773).")] = True


class TokenIssuer(Struct, forbid_unknown_fields=True, frozen=True):
    """Who signs callers' tokens."""

    name: Name
    issuer: Annotated[str, Meta(min_length=1, max_length=256, description="`iss` of its tokens.")]
    algorithms: Annotated[
        list[Literal["ES256", "ES384", "ES512", "RS256", "RS384", "PS256", "PS384", "Ed25519"]],
        Meta(min_length=1, description="Each of its keys must fit exactly one of them."),
    ]
    keys_file: Annotated[str, Meta(min_length=1, description="JWKS; looked at twice a second.")]


class Subject(Struct, forbid_unknown_fields=True, frozen=True):
    issuer: Name
    subject: Annotated[str, Meta(min_length=1, max_length=256)]


class CallerEntry(Struct, forbid_unknown_fields=True, frozen=True):
    """A caller, how it proves who it is, and what it may do."""

    name: Name
    tenants: Annotated[list[str], Meta(min_length=1)]
    subjects: list[Subject] = []
    names: Annotated[list[str], Meta(description="DNS names or URIs in its client certificate.")] = []
    classes: Annotated[list[str] | None, Meta(description="Those it may ask for; missing: all.")] = None
    rate: Annotated[float, Meta(ge=0, description="Jobs a second; 0: no bound.")] = 0.0
    burst: Annotated[float, Meta(ge=1, description="Jobs at once beyond the rate.")] = 1.0
    most_open: Annotated[int, Meta(ge=0, description="Open jobs; 0: no bound.")] = 0


class ClientCertificates(Struct, forbid_unknown_fields=True, frozen=True):
    """Certificates that clients may show at the front over TLS."""

    ca_file: Annotated[str, Meta(min_length=1, description="The partners' authorities, PEM.")]


class Identity(Struct, forbid_unknown_fields=True, frozen=True):
    """Callers must prove who they are, at every front."""

    audience: Annotated[str, Meta(min_length=1, description="`aud` of tokens for here.")]
    callers: Annotated[list[CallerEntry], Meta(min_length=1)]
    issuers: list[TokenIssuer] = []
    certificates: ClientCertificates | None = None
    skew: Annotated[Duration, Meta(description="That clocks may differ by.")] = "30s"
    longest: Annotated[Duration, Meta(description="Longest life of a token.")] = "1d"


class Operator(Struct, forbid_unknown_fields=True, frozen=True):
    """reedspoke's operator file."""

    version: Literal[1]
    log: Log = msgspec.field(default_factory=Log)
    tls: Tls | None = None
    certificates: Annotated[list[Certificate], Meta(max_length=1000)] = []
    acme: Acme | None = None
    identity: Identity | None = None
    fleet: Fleet | None = None
    bookings: Bookings | None = None
