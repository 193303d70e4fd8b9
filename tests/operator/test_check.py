"""The operator file: what is refused names its key, the schema says the same as the program."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import jsonschema
import pytest
from hypothesis import given
from hypothesis import strategies as st

from reedspoke.operator.check import OperatorError, load, parse, reloaded
from reedspoke.operator.schema import schema, text
from reedspoke.units import parse_seconds
from tests.peers import ROOT

EXAMPLE = ROOT / "deploy" / "operator.example.json"


def good() -> dict[str, Any]:
    return json.loads(EXAMPLE.read_text())  # type: ignore[no-any-return]


def change(path: str, value: object) -> bytes:
    told = good()
    place: Any = told
    *way, last = [int(part) if part.isdigit() else part for part in path.split("/")]
    for part in way:
        place = place[part]
    if value is None:
        del place[last]
    else:
        place[last] = value
    return json.dumps(told).encode()


def test_the_example_is_good_and_the_schema_is_the_committed_one() -> None:
    load(EXAMPLE)
    jsonschema.Draft202012Validator.check_schema(schema())
    jsonschema.validate(good(), schema())
    assert (ROOT / "deploy" / "operator.schema.json").read_text() == text()


@pytest.mark.parametrize(
    ("path", "value", "key"),
    [
        ("colour", "red", "colour: unknown key"), ("tls/colour", 1, "tls.colour: unknown key"),
        ("version", 2, "version"), ("version", None, "version: is missing"),
        ("tls/handshake", "2", "tls.handshake: no duration"), ("tls/handshake", 2, "tls.handshake"),
        ("tls/handshake", "2 s", "tls.handshake: no duration"), ("tls/handshake", "1d", "at most 2s"),
        ("tls/listen", "everywhere", "tls.listen: no ip:port"),
        ("tls/listen", "1.2.3.4:0", "tls.listen: no port"),
        ("tls/listen", "999.1.1.1:80", "tls.listen: no ip:port"), ("tls/minimum", "1.1", "tls.minimum"),
        ("tls/handshakes", 0, "tls.handshakes"), ("tls/listen", None, "tls.listen: is missing"),
        ("tls", None, "tls: is missing"), ("certificates", [], "certificates: tls is on"),
        ("certificates/0/hosts", ["No Name"], "certificates[0].hosts[0]"),
        ("certificates/0/hosts", ["*.example.org"], "dns-01 alone"),
        ("certificates/1/name", "api", "certificates[1].name: 'api' is there twice"),
        ("certificates/1/hosts", ["api.example.org"], "certificates[1].hosts: api.example.org stands in api"),
        ("certificates/0/authorities", ["nobody"], "certificates[0].authorities"),
        ("certificates/0/challenge", "tls-alpn-01", "certificates[0].challenge"),
        ("acme/http", None, "acme.http: is missing"), ("acme/dns", None, "acme.dns: is missing"),
        ("acme/http/listen", "0.0.0.0:8443", "acme.http.listen: is the same as tls.listen"),
        ("acme/authorities", [], "acme.authorities"), ("acme/renew_at", 1.5, "acme.renew_at"),
        ("acme/authorities/0/directory", "http://ca.example.net/d", "must begin with https"),
        ("acme/authorities/0/name", "spare", "acme.authorities[1].name"),
        ("acme/authorities/0/timeout", "0s", "acme.authorities[0].timeout"),
        ("acme/backoff/first", "7h", "acme.backoff.first"), ("log/form", "xml", "log.form"),
        ("acme/authorities/0/tries_a_day", 0, "acme.authorities[0].tries_a_day"),
    ],
)  # fmt: skip
def test_what_is_wrong_is_refused_by_its_key(path: str, value: object, key: str) -> None:
    with pytest.raises(OperatorError) as told:
        parse(change(path, value))
    assert key in str(told.value)
    assert "\n" not in str(told.value)


def test_what_cannot_change_in_service_leaves_the_old_in_force(tmp_path: Path) -> None:
    file = tmp_path / "operator.json"
    old = load(EXAMPLE)
    file.write_bytes(change("tls/listen", "127.0.0.1:9443"))
    with pytest.raises(OperatorError, match=r"tls\.listen: cannot change in service"):
        reloaded(old, file)
    file.write_bytes(change("tls/handshakes", 10))
    new = reloaded(old, file)
    assert new.tls is not None
    assert new.tls.handshakes == 10


@pytest.mark.parametrize("raw", [b"", b"{", b"[]", b"null", b'{"version": 1, "version": "x"}', b"\xff\xfe"])
def test_no_bytes_are_fatal(raw: bytes) -> None:
    with pytest.raises(OperatorError):
        parse(raw)


@given(st.binary(max_size=200))
def test_any_bytes_are_told(raw: bytes) -> None:
    with pytest.raises(OperatorError):
        parse(raw)


@pytest.mark.parametrize(
    ("told", "meant"), [("250ms", 0.25), ("1.5s", 1.5), ("2m", 120), ("1h", 3600), ("30d", 2_592_000)]
)
def test_durations(told: str, meant: float) -> None:
    assert parse_seconds(told) == pytest.approx(meant)
