"""Whether a request may come in, and as whose: the one answer from token, certificate, rights and bounds.

No I/O and no clock of its own. A refusal is made before the decision module hears of the job; what was
taken stays taken, whatever happens to its token meanwhile. Times are us of Unix time.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from reedspoke.identity.believed import Believed, short
from reedspoke.identity.keys import Ring
from reedspoke.identity.rights import SECOND, Caller, DeniedError, Rights
from reedspoke.identity.token import Claims, Policy, RefusedError, verify

AUDIT_EVERY = 10 * SECOND  # between lines about one caller and reason
MOST_AUDITED = 1000
MOST_AUTHORIZATION = 16 * 1024


@dataclass(slots=True, frozen=True)
class Certificate:
    """Of a client, as the handshake has verified it."""

    names: tuple[str, ...]
    thumbprint: str  # SHA-256, base64url


@dataclass(slots=True, frozen=True)
class Admitted:
    caller: str
    tenant: str
    kid: str = ""


class Gate:
    def __init__(self, policy: Policy, rights: Rights, ring: Ring, believed: Believed | None = None) -> None:
        self.policy, self.rights, self.ring = policy, rights, ring
        self.believed = believed or Believed()
        self.counts: Counter[str] = Counter()
        self._audited: dict[tuple[str, str], tuple[int, int]] = {}  # (when told last, passed over since)
        self.lines: list[str] = []  # for the log, since they were fetched last

    def stands(self, admitted: Admitted, now: int) -> bool:
        """Its key is no withdrawn one. A token that has expired meanwhile changes nothing: taken is taken."""
        if not admitted.kid:
            return True
        key = self.ring.find(admitted.kid)
        return key is not None and not key.span.leaked

    def change(self, policy: Policy, ring: Ring) -> None:
        """New keys: what was believed by one that is gone, or is another now, is verified again."""
        gone = frozenset(
            kid
            for kid in {claims.kid for claims in self.believed.claims()}
            if ring.find(kid) != self.ring.find(kid)
        )
        self.believed.forget(gone)
        if policy != self.policy:
            self.believed.forget(frozenset(claims.kid for claims in self.believed.claims()))
        self.policy, self.ring = policy, ring

    def admit(
        self, authorization: list[bytes], certificate: Certificate | None, tenant: str, cls: str, now: int
    ) -> Admitted:
        """`authorization`: the values of that field, one for each time it came. Raises DeniedError. What is
        admitted holds a place among its caller's open jobs until `done`."""
        caller, token = "", ""
        try:
            token = bearer(authorization)
            claims = self._claims(token, now) if token else None
            by_token = self.rights.of_token(claims.issuer, claims.subject) if claims is not None else None
            caller = by_token.name if by_token is not None else ""
            found = self._caller(claims, by_token, certificate)
            caller = found.name
            proven = self.rights.tenant(found, tenant, cls)
            self.rights.take(found, now)
        except DeniedError as error:
            self._audit(error.reason, error.caller or caller, tenant, token, now)
            raise
        self.counts["admitted"] += 1
        return Admitted(found.name, proven, claims.kid if claims is not None else "")

    def done(self, admitted: Admitted) -> None:
        self.rights.give(admitted.caller)

    def _claims(self, token: str, now: int) -> Claims:
        if (claims := self.believed.find(token, now)) is not None:
            return claims
        try:
            claims = verify(token, self.ring, self.policy, now)
        except RefusedError as error:
            raise DeniedError(error.reason, 401) from None
        key = self.ring.find(claims.kid)
        assert key is not None
        until = claims.expires + self.policy.skew
        if key.span.gone:
            until = min(until, key.span.gone + self.policy.skew)
        self.believed.keep(token, claims, until)
        return claims

    def _caller(
        self, claims: Claims | None, by_token: Caller | None, certificate: Certificate | None
    ) -> Caller:
        by_certificate = None
        if certificate is not None:
            try:
                by_certificate = self.rights.of_certificate(certificate.names)
            except DeniedError:
                if by_token is None:  # a token may come over a connection whose certificate means nobody
                    raise
        bound = claims.bound_to if claims is not None else ""
        thumbprint = certificate.thumbprint if certificate is not None else ""
        return self.rights.both(by_token, by_certificate, bound, thumbprint)

    def _audit(self, reason: str, caller: str, tenant: str, token: str, now: int) -> None:
        """A line for the first refusal of a caller for a reason, then one each 10 s with how many there
        were."""
        self.counts[reason] += 1
        key = (caller, reason)
        at, passed = self._audited.get(key, (0, 0))
        if at and now - at < AUDIT_EVERY:
            self._audited[key] = (at, passed + 1)
            return
        if len(self._audited) >= MOST_AUDITED:
            self._audited.clear()
        self._audited[key] = (now, 0)
        who = caller or "nobody known"
        asked = "".join(char if char.isalnum() or char in "-_." else "?" for char in tenant[:64]) or "none"
        more = f", {passed} more since the last line" if passed else ""
        digest = f", token {short(token)}" if token else ""
        self.lines.append(f"identity: {who} refused: {reason}, tenant asked for: {asked}{digest}{more}")


def bearer(authorization: list[bytes]) -> str:
    """The token, "" where there is none. Raises DeniedError for another scheme, and for two of them."""
    if not authorization:
        return ""
    if len(authorization) > 1 or len(authorization[0]) > MOST_AUTHORIZATION:
        raise DeniedError("malformed", 401)
    scheme, _, token = authorization[0].decode("latin-1").partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        raise DeniedError("scheme", 401)
    return token.strip()
