"""Whether a request may come in, and as whose: the one answer from token, certificate, rights and limits.

Pure; no clock. A rejection is made before the decision module hears of the job; what was accepted stays
accepted, whatever happens to its token meanwhile. Times are microseconds of Unix time.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from reedspoke.identity.callers import (
    SECOND_US,
    UNAUTHORIZED,
    Caller,
    CallerDeniedError,
    CallerRegistry,
)
from reedspoke.identity.keys import KeySet
from reedspoke.identity.token import Claims, TokenPolicy, TokenRejectedError, verify_token
from reedspoke.identity.verified_tokens import VerifiedTokenCache, short_digest

AUDIT_INTERVAL = 10 * SECOND_US  # between audit lines about one caller and reason
MAX_AUDITED = 1000  # pairs of caller and reason that are remembered
MAX_AUTHORIZATION_BYTES = 16 * 1024
MAX_LOGGED_TENANT_LENGTH = 64


@dataclass(slots=True, frozen=True)
class ClientCertificate:
    """Of a client, as the handshake has verified it."""

    names: tuple[str, ...]
    thumbprint: str  # SHA-256, base64url


@dataclass(slots=True, frozen=True)
class Authorization:
    """A request that was let in; holds a place among its caller's open jobs until `Authorizer.release`."""

    caller: str
    tenant: str
    kid: str = ""  # of the key that signed its token, "" where it came without one


@dataclass(slots=True)
class AuditState:
    """When a line about one caller and reason was written last, and how many rejections came since."""

    written_at: int
    suppressed: int = 0


class Authorizer:
    """Owns the cache of verified tokens, the counters by outcome and the audit lines not yet fetched."""

    def __init__(
        self,
        policy: TokenPolicy,
        callers: CallerRegistry,
        keys: KeySet,
        verified_tokens: VerifiedTokenCache | None = None,
    ) -> None:
        self.policy, self.callers, self.keys = policy, callers, keys
        self.verified_tokens = verified_tokens or VerifiedTokenCache()
        self.counts: Counter[str] = Counter()  # "admitted", or the reason of the rejection
        self._audited: dict[tuple[str, str], AuditState] = {}  # by caller and reason
        self.audit_lines: list[str] = []  # for the log, since they were fetched last

    def is_still_valid(self, authorization: Authorization) -> bool:
        """Whether its key has not been withdrawn. A token that has expired meanwhile changes nothing."""
        if not authorization.kid:
            return True
        key = self.keys.find(authorization.kid)
        return key is not None and not key.validity.leaked

    def update(self, policy: TokenPolicy, keys: KeySet) -> None:
        """New keys: what was verified by one that is gone, or is another now, is verified again."""
        signers = {claims.kid for claims in self.verified_tokens.claims()}
        changed = frozenset(kid for kid in signers if keys.find(kid) != self.keys.find(kid))
        self.verified_tokens.remove_signed_by(changed)
        if policy != self.policy:
            self.verified_tokens.remove_signed_by(frozenset(signers))
        self.policy, self.keys = policy, keys

    def authorize(
        self,
        authorization: list[bytes],
        certificate: ClientCertificate | None,
        tenant: str,
        cls: str,
        now: int,
    ) -> Authorization:
        """`authorization`: the values of that field, one for each time it came. Raises CallerDeniedError."""
        caller_name, token = "", ""
        try:
            token = bearer_token(authorization)
            claims = self._claims(token, now) if token else None
            by_token = None
            if claims is not None:
                by_token = self.callers.find_by_token(claims.issuer, claims.subject)
                caller_name = by_token.name
            caller = self._caller(claims, by_token, certificate)
            caller_name = caller.name
            proven_tenant = self.callers.authorize_tenant(caller, tenant, cls)
            self.callers.open_job(caller, now)
        except CallerDeniedError as error:
            self._audit(error.reason, error.caller or caller_name, tenant, token, now)
            raise
        self.counts["admitted"] += 1
        return Authorization(caller.name, proven_tenant, claims.kid if claims is not None else "")

    def release(self, authorization: Authorization) -> None:
        """The request has its final response, or its client has gone."""
        self.callers.close_job(authorization.caller)

    def _claims(self, token: str, now: int) -> Claims:
        cached = self.verified_tokens.find(token, now)
        if cached is not None:
            return cached
        try:
            claims = verify_token(token, self.keys, self.policy, now)
        except TokenRejectedError as error:
            raise CallerDeniedError(error.reason, UNAUTHORIZED) from None
        key = self.keys.find(claims.kid)
        assert key is not None
        until = claims.expires + self.policy.skew
        if key.validity.gone:
            until = min(until, key.validity.gone + self.policy.skew)
        self.verified_tokens.add(token, claims, until)
        return claims

    def _caller(
        self, claims: Claims | None, by_token: Caller | None, certificate: ClientCertificate | None
    ) -> Caller:
        by_certificate = None
        if certificate is not None:
            try:
                by_certificate = self.callers.find_by_certificate(certificate.names)
            except CallerDeniedError:
                if by_token is None:  # a token may come over a connection whose certificate means nobody
                    raise
        bound_to = claims.bound_to if claims is not None else ""
        thumbprint = certificate.thumbprint if certificate is not None else ""
        return self.callers.combine(by_token, by_certificate, bound_to, thumbprint)

    def _audit(self, reason: str, caller: str, tenant: str, token: str, now: int) -> None:
        """A line for the first rejection of a caller for a reason, then one each `AUDIT_INTERVAL` with how
        many there were.
        """
        self.counts[reason] += 1
        state = self._audited.get((caller, reason))
        if state is not None and now - state.written_at < AUDIT_INTERVAL:
            state.suppressed += 1
            return
        if len(self._audited) >= MAX_AUDITED:
            self._audited.clear()
        self._audited[(caller, reason)] = AuditState(now)
        self.audit_lines.append(_audit_line(reason, caller, tenant, token, state))


def _audit_line(reason: str, caller: str, tenant: str, token: str, state: AuditState | None) -> str:
    who = caller or "nobody known"
    requested = "".join(
        char if char.isalnum() or char in "-_." else "?" for char in tenant[:MAX_LOGGED_TENANT_LENGTH]
    )
    digest = f", token {short_digest(token)}" if token else ""
    suppressed = state.suppressed if state is not None else 0
    more = f", {suppressed} more since the last line" if suppressed else ""
    return f"identity: {who} rejected: {reason}, requested tenant: {requested or 'none'}{digest}{more}"


def bearer_token(authorization: list[bytes]) -> str:
    """The token, "" where there is none. Raises CallerDeniedError for another scheme, and for two of them."""
    if not authorization:
        return ""
    if len(authorization) > 1 or len(authorization[0]) > MAX_AUTHORIZATION_BYTES:
        raise CallerDeniedError("malformed", UNAUTHORIZED)
    scheme, _, token = authorization[0].decode("latin-1").partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        raise CallerDeniedError("scheme", UNAUTHORIZED)
    return token.strip()
