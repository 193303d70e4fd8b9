"""Tokens: what is accepted, and the known attacks by name (RFC 8725 and its references)."""

from __future__ import annotations

import base64
import hmac
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from joserfc import jws
from joserfc.jwk import ECKey, RSAKey

from reedspoke.identity.keys import (
    KeySet,
    KeyState,
    KeyValidity,
    UnusableKeyError,
    VerificationKey,
    parse_jwk,
)
from reedspoke.identity.token import SECOND_US, Claims, TokenPolicy, TokenRejectedError, verify_token

NOW = 1_800_000_000 * SECOND_US
POLICY = TokenPolicy("reedspoke")
EC, OTHER, RSA = ECKey.generate_key("P-256"), ECKey.generate_key("P-256"), RSAKey.generate_key(2048)


def public(key: ECKey | RSAKey, kid: str, **more: Any) -> dict[str, Any]:
    return {**key.as_dict(private=False), "kid": kid, **more}


def key(kid: str = "k1", validity: KeyValidity | None = None) -> VerificationKey:
    return parse_jwk(public(EC, kid), "https://portal", ["ES256"], validity or KeyValidity())


KEY_SET = KeySet([key(), parse_jwk(public(RSA, "r1"), "https://portal", ["RS256"], KeyValidity())])
GOOD = {
    "iss": "https://portal",
    "aud": "reedspoke",
    "sub": "gateway",
    "exp": 1_800_000_060,
    "iat": 1_799_999_990,
}


def signed(claims: dict[str, Any] | bytes = b"", by: Any = EC, alg: str = "ES256", **header: Any) -> str:
    told = claims if isinstance(claims, bytes) and claims else json.dumps(claims or GOOD).encode()
    registry = jws.JWSRegistry(algorithms=[alg, "none"], strict_check_header=False)
    return jws.serialize_compact({"alg": alg, "kid": "k1", **header}, told, by, registry=registry)


def b64(told: object) -> str:
    data = told if isinstance(told, bytes) else json.dumps(told).encode()
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def rejected(token: str, key_set: KeySet = KEY_SET, policy: TokenPolicy = POLICY, now: int = NOW) -> str:
    with pytest.raises(TokenRejectedError) as error:
        verify_token(token, key_set, policy, now)
    return error.value.reason


def test_a_good_token_is_accepted() -> None:
    assert verify_token(signed(), KEY_SET, POLICY, NOW) == Claims(
        "https://portal", "gateway", "k1", 1_800_000_060 * SECOND_US
    )
    assert verify_token(signed(by=RSA, alg="RS256", kid="r1"), KEY_SET, POLICY, NOW).kid == "r1"


def hmac_signed(secret: bytes) -> str:
    """By hand: the library would not let a public key be a secret."""
    text = f"{b64({'alg': 'HS256', 'kid': 'r1'})}.{b64(GOOD)}"
    return f"{text}.{b64(hmac.digest(secret, text.encode(), 'sha256'))}"


TWICE = b'{"alg":"none","alg":"ES256","kid":"k1"}'
ATTACKS = {
    "none": f"{b64({'alg': 'none', 'kid': 'k1'})}.{b64(GOOD)}.",
    "none with a signature": f"{b64({'alg': 'none', 'kid': 'k1'})}.{b64(GOOD)}.{b64(b'x')}",
    "None in other letters": f"{b64({'alg': 'nOnE', 'kid': 'k1'})}.{b64(GOOD)}.{b64(b'x')}",
    "hmac with the public key as text": hmac_signed(json.dumps(public(RSA, "r1")).encode()),
    "hmac with the public key as pem": hmac_signed(RSA.as_pem(private=False)),
    "another algorithm of the same key": signed(by=RSA, alg="PS256", kid="r1"),
    "another key under a known kid": signed(by=OTHER),
    "a key of its own in the header": signed(by=OTHER, jwk=public(OTHER, "k1")),
    "a key by address": signed(by=OTHER, jku="https://evil.example/keys"),
    "a chain by address": signed(by=OTHER, x5u="https://evil.example/chain"),
    "kid as a path": signed(kid="../../dev/null"),
    "kid as a query": signed(kid="k1' OR '1'='1"),
    "kid that is no text": f"{b64({'alg': 'ES256', 'kid': ['k1']})}.{b64(GOOD)}.eA",
    "no kid": f"{b64({'alg': 'ES256'})}.{b64(GOOD)}.eA",
    "crit": f"{b64({'alg': 'ES256', 'kid': 'k1', 'crit': ['exp']})}.{b64(GOOD)}.{b64(b'x' * 64)}",
    "zero signature (CVE-2022-21449)": signed().rpartition(".")[0] + "." + b64(bytes(64)),
    "empty signature": signed().rpartition(".")[0] + ".",
    "another payload": ".".join(
        (signed().split(".")[0], b64({**GOOD, "sub": "root"}), signed().split(".")[2])
    ),
    "nested": signed(signed().encode()),
    "encrypted": f"{b64({'alg': 'dir', 'enc': 'A256GCM', 'kid': 'k1'})}..eA.eA.eA",
    "of another kind": signed(typ="logout+jwt"),
    "claims said twice": signed(
        b'{"iss":"https://portal","aud":"reedspoke","sub":"a","sub":"b","exp":1800000060}'
    ),
    "header said twice": f"{b64(TWICE)}.{b64(GOOD)}.eA",
    "wrong issuer": signed({**GOOD, "iss": "https://other"}),
    "wrong audience": signed({**GOOD, "aud": "billing"}),
    "audience as part of a text": signed({**GOOD, "aud": "not-reedspoke"}),
    "no expiry": signed({name: value for name, value in GOOD.items() if name != "exp"}),
    "expiry without end": signed({**GOOD, "exp": 9_999_999_999}),
    "expiry as text": signed({**GOOD, "exp": "1800000060"}),
    "expiry true": signed({**GOOD, "exp": True}),
    "expiry not a number": signed(json.dumps({**GOOD, "exp": float("inf")}).encode()),
    "no subject": signed({**GOOD, "sub": ""}),
    "binding that is unknown": signed({**GOOD, "cnf": {"jkt": "x"}}),
    "64 KB": signed({**GOOD, "pad": "x" * 65536}),
    "deep": signed(b'{"a":' * 2000 + b"1" + b"}" * 2000),
    "padding": signed() + "==",
    "white space": signed().replace(".", ". "),
}


@pytest.mark.parametrize("name", ATTACKS)
def test_known_attacks_are_rejected(name: str) -> None:
    assert rejected(ATTACKS[name])


@pytest.mark.parametrize(
    ("claim", "at", "accepted"),
    [
        ("exp", -30, False),
        ("exp", -29, True),
        ("nbf", 30, True),
        ("nbf", 31, False),
        ("iat", 30, True),
        ("iat", 31, False),
    ],
)
def test_clocks_may_differ_by_the_skew_and_no_more(claim: str, at: int, accepted: bool) -> None:
    token = signed({**GOOD, claim: 1_800_000_000 + at})
    if accepted:
        verify_token(token, KEY_SET, POLICY, NOW)
    else:
        assert rejected(token) in ("expired", "not_yet")


def test_a_key_that_is_rotated_out_counts_until_its_overlap_ends() -> None:
    validity = KeyValidity(NOW, NOW + 100 * SECOND_US, NOW + 200 * SECOND_US)
    key_set = KeySet([key(validity=validity)])
    states = [validity.state(NOW + at * SECOND_US) for at in (-1, 0, 100, 200)]
    assert states == [KeyState.ANNOUNCED, KeyState.IN_USE, KeyState.RETIRING, KeyState.GONE]
    long = signed({**GOOD, "exp": 1_800_001_000})
    verify_token(long, key_set, POLICY, NOW + 199 * SECOND_US)
    assert rejected(long, key_set, now=NOW + 231 * SECOND_US) == "key_gone"
    assert rejected(long, key_set, now=NOW - 31 * SECOND_US) == "key_not_in_use"
    assert rejected(signed(), KeySet([key(validity=KeyValidity(leaked=True))])) == "key_gone"


@pytest.mark.parametrize(
    ("jwk", "algorithms"),
    [
        ({"kty": "oct", "k": "c2VjcmV0", "kid": "s"}, ["HS256"]),
        (EC.as_dict(private=True) | {"kid": "k"}, ["ES256"]),
        (public(EC, "k", use="enc"), ["ES256"]), (public(EC, "k", alg="ES384"), ["ES256", "ES384"]),
        (public(RSA, "k"), ["RS256", "PS256"]), (public(RSA, "k"), ["ES256"]), (public(EC, ""), ["ES256"]),
        (public(EC, "k", x="AA"), ["ES256"]), (public(EC, "k", crv="P-384"), ["ES384"]),
    ],
)  # fmt: skip
def test_keys_that_cannot_be_used(jwk: dict[str, Any], algorithms: list[str]) -> None:
    with pytest.raises(UnusableKeyError):
        parse_jwk(jwk, "https://portal", algorithms, KeyValidity())


def test_one_kid_for_two_keys_is_no_key_set() -> None:
    with pytest.raises(UnusableKeyError, match="twice"):
        KeySet([key(), key()])


@given(
    st.text(max_size=300) | st.from_regex(r"[A-Za-z0-9_-]{0,80}\.[A-Za-z0-9_-]{0,80}\.[A-Za-z0-9_-]{0,80}")
)
@settings(max_examples=300, derandomize=True)
def test_no_text_is_fatal_or_accepted(token: str) -> None:
    assert rejected(token)


@given(st.integers(0, 10_000), st.integers(0, 255))
@settings(max_examples=200, derandomize=True, deadline=None)
def test_a_token_changed_anywhere_is_not_accepted(at: int, to: int) -> None:
    token = signed()
    place = at % len(token)
    if token[place] != chr(to):
        assert rejected(token[:place] + chr(to) + token[place + 1 :])
