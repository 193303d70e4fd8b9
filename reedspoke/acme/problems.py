"""What an authority's error means for what comes next (RFC 8555, 6.7). Pure."""

from __future__ import annotations

import email.utils

from reedspoke.acme.words import Trouble

SECOND = 1_000_000
PREFIX = "urn:ietf:params:acme:error:"
FINAL = frozenset((
    "rejectedIdentifier", "unsupportedIdentifier", "caa", "externalAccountRequired", "userActionRequired",
    "badCSR", "badPublicKey", "unsupportedContact", "invalidContact", "badSignatureAlgorithm", "unauthorized",
))  # fmt: skip
PROOF = frozenset(("connection", "dns", "tls", "incorrectResponse"))


def trouble(kind: str, status: int, about_order: bool = False) -> Trouble:
    """`kind`: the problem's type; `about_order`: the call was about an order that is known here."""
    code = kind.removeprefix(PREFIX)
    if code == "rateLimited" or status == 429:
        return Trouble.LIMITED
    if code == "accountDoesNotExist":
        return Trouble.NO_ACCOUNT
    if code in PROOF or (about_order and (status == 404 or code == "unauthorized")):
        return Trouble.DEAD
    if code in FINAL:
        return Trouble.REFUSED
    if about_order and 400 <= status < 500 and code == "malformed":
        return Trouble.DEAD
    return Trouble.UNREACHABLE


def retry_after(told: str | None, now: int) -> int:
    """us, from seconds or a date; 0 where it is missing or is neither. `now`: us of Unix time."""
    told = (told or "").strip()
    if told.isascii() and told.isdigit():
        return min(int(told[:9]), 10**8) * SECOND
    try:
        at = email.utils.parsedate_to_datetime(told)
        return max(0, int(at.timestamp() * SECOND) - now)
    except (TypeError, ValueError, OverflowError):
        return 0
