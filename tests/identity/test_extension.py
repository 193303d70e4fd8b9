"""Who may come in at the listeners of the real program, and the signing tool."""

from __future__ import annotations

import json
import os
import signal
import ssl
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.serialization import Encoding, NoEncryption, PrivateFormat
from joserfc import jws
from joserfc.jwk import ECKey

from reedspoke.lab.issuing import Issuer
from tests.acme.world import API, World
from tests.identity.test_token import EC, public
from tests.peers import ROOT, SETTINGS, Node, Start, Wire, ask


def token(sub: str = "gw", by: ECKey = EC, kid: str = "k1", **claims: Any) -> str:
    now = int(time.time())
    told = {"iss": "https://portal", "aud": "reedspoke", "sub": sub, "iat": now, "exp": now + 60, **claims}
    return jws.serialize_compact({"alg": "ES256", "kid": kid}, json.dumps(told).encode(), by, ["ES256"])


def with_token(told: str, name: str = "1a", tenant: str = "acme", cls: str = "quote") -> bytes:
    more = f"Authorization: Bearer {told}\r\n"
    return ask(name, cls=cls, more=more).replace(b"X-Tenant: acme", f"X-Tenant: {tenant}".encode())


def keys(file: Path, *listed: dict[str, Any]) -> None:
    fresh = file.with_suffix(".new")
    fresh.write_text(json.dumps({"keys": list(listed)}))
    os.rename(fresh, file)


def identity(folder: Path) -> dict[str, Any]:
    keys(folder / "keys.json", public(EC, "k1"))
    return {
        "audience": "reedspoke",
        "issuers": [
            {"name": "portal", "issuer": "https://portal", "algorithms": ["ES256"],
             "keys_file": str(folder / "keys.json")}
        ],
        "callers": [
            {"name": "gateway", "tenants": ["acme"], "classes": ["quote"],
             "subjects": [{"issuer": "portal", "subject": "gw"}]},
            {"name": "other", "tenants": ["globex"], "subjects": [{"issuer": "portal", "subject": "globex"}]},
        ],
    }  # fmt: skip


def hears_nothing_good(world: World, context: ssl.SSLContext) -> None:
    """In TLS 1.3 a client hears of its own certificate's refusal with the first answer."""
    wire = world.dial(API, context)
    wire.send(ask("5e"))
    wire.message()


def served(node: Node, client: Wire, *wires: Wire) -> Wire:
    wire = node.next_wire(*wires)
    leg = wire.message()
    assert "authorization" not in leg.fields, "what a caller proves with does not go on"
    wire.serve(leg)
    assert client.message().status == 200
    return wire


def test_callers_of_one_connection_are_told_apart(start: Start, tmp_path: Path) -> None:
    node = start(hosts=1, operator={"version": 1, "identity": identity(tmp_path)})
    client = node.client(
        with_token(token()) + with_token(token(), "2b", cls="book") + with_token(token("globex"), "3c")
        + with_token(token(), "4d")
    )  # fmt: skip
    wire = served(node, client)
    forbidden = [client.message(), client.message()]
    assert [answer.status for answer in forbidden] == [403, 403]
    assert json.loads(forbidden[0].body)["type"] == "urn:reedspoke:problem:forbidden"
    served(node, client, wire)
    client.send(ask("5e"))
    answer = client.message()
    assert (answer.status, answer.fields["www-authenticate"]) == (401, "Bearer")
    assert client.ended()
    told = node.call("/v1/metrics").body.decode()
    assert 'reedspoke_identity_total{reason="admitted"} 2' in told
    assert 'scheduler_aborted_total{service="book"} 0' in told, "the module has not heard of it"
    node.logged("identity: gateway rejected: class, requested tenant: acme")


def test_keys_and_rights_change_under_a_kept_connection(start: Start, tmp_path: Path) -> None:
    told = {"version": 1, "identity": identity(tmp_path)}
    node = start(hosts=1, operator=told)
    client = node.client(with_token(token()))
    wire = served(node, client)
    fresh = ECKey.generate_key("P-256")
    keys(tmp_path / "keys.json", public(EC, "k1"), public(fresh, "k2"))
    node.logged("identity: 2 keys")
    for at, by in enumerate((token(), token(by=fresh, kid="k2"))):
        client.send(with_token(by, f"o{at}"))
        served(node, client, wire)
    keys(tmp_path / "keys.json", {**public(EC, "k1"), "reedspoke": {"leaked": True}}, public(fresh, "k2"))
    while node.log().count("identity: 2 keys") < 2:
        time.sleep(0.02)
    client.send(with_token(token(), "x1"))
    assert client.message().status == 401
    (tmp_path / "keys.json").write_text('{"keys": []}')
    node.logged("what is in force stays")
    other = node.client(with_token(token(by=fresh, kid="k2"), "y1"))
    served(node, other, wire)
    told["identity"]["callers"][0]["tenants"] = ["globex"]  # type: ignore[index]
    node.operator.write_text(json.dumps({**told, "log": {"form": "json"}}))
    node.process.send_signal(signal.SIGHUP)
    node.logged("log: cannot change in service")
    other.send(with_token(token(by=fresh, kid="k2"), "y2"))
    served(node, other, wire)
    node.operator.write_text(json.dumps(told))
    keys(tmp_path / "keys.json", public(fresh, "k2"))
    node.process.send_signal(signal.SIGHUP)
    node.logged("identity: 1 keys, 2 callers")
    other.send(with_token(token(by=fresh, kid="k2"), "z1"))
    assert other.message().status == 403


def test_client_certificates_at_the_front_over_tls(start: Start, world: World, tmp_path: Path) -> None:
    world.authority()
    partners, strangers = Issuer("partners"), Issuer("strangers")
    (tmp_path / "partners.pem").write_bytes(partners.root_pem())
    told = identity(tmp_path)
    told["certificates"] = {"ca_file": str(tmp_path / "partners.pem")}
    told["callers"].append({"name": "steiner", "tenants": ["acme"], "names": ["gw.steiner.example"]})
    node = start(hosts=1, operator={**world.operator(), "identity": told})

    def context(issuer: Issuer, host: str, client: bool = True) -> ssl.SSLContext:
        made, secret = world.context(), ec.generate_private_key(ec.SECP256R1())
        leaf = issuer.issue(secret.public_key(), [host], 3600, client=client)
        file = tmp_path / f"{host}-{client}-{issuer.name}.pem"
        pem = secret.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
        file.write_bytes(pem + issuer.chain(leaf))
        made.load_cert_chain(file)
        return made

    world.secure()
    good = world.dial(API, context(partners, "gw.steiner.example"))
    good.send(ask(cls="book"))
    wire = served(node, good)
    good.send(ask("2b").replace(b"X-Tenant: acme", b"X-Tenant: globex"))
    assert good.message().status == 403, "its certificate is good, and it asks for another's tenant"
    good.send(with_token(token(), "3c"))
    assert good.message().status == 403, "token and certificate disagree"
    unknown = world.dial(API, context(partners, "nobody.example"))
    unknown.send(ask("4d"))
    assert unknown.message().status == 403
    for bad in (
        context(strangers, "gw.steiner.example"),
        context(partners, "gw.steiner.example", client=False),
    ):
        with pytest.raises((ssl.SSLError, ConnectionError, EOFError)):
            hears_nothing_good(world, bad)
    none = world.secure()
    none.send(with_token(token(), "6f"))
    served(node, none, wire)


@pytest.mark.parametrize("change", ["keys_file", "ca_file"])
def test_an_identity_that_cannot_be_used_ends_the_start(tmp_path: Path, change: str) -> None:
    told = identity(tmp_path)
    config, file = tmp_path / "config.json", tmp_path / "operator.json"
    config.write_text(
        json.dumps({"listen": "127.0.0.1:8080", "discovery": "127.0.0.1:9", "settings": SETTINGS})
    )
    operator: dict[str, Any] = {"version": 1, "identity": told}
    if change == "keys_file":
        (tmp_path / "keys.json").write_text('{"keys": [{"kty": "oct", "k": "x", "kid": "s"}]}')
    else:
        told["certificates"] = {"ca_file": str(tmp_path / "none.pem")}
        operator["tls"] = {"listen": "127.0.0.1:9", "store": str(tmp_path / "store")}
        operator["certificates"] = [{"name": "api", "hosts": [API]}]
    file.write_text(json.dumps(operator))
    run = subprocess.run(
        [sys.executable, "-m", "reedspoke", "run", "--config", str(config), "--operator", str(file)],
        cwd=ROOT, capture_output=True, text=True, timeout=30, check=False,
    )  # fmt: skip
    assert run.returncode == 2
    assert run.stderr.count("\n") == 1
    assert ("keys.json" if change == "keys_file" else "ca_file") in run.stderr


def test_a_job_that_waits_as_its_key_is_withdrawn_is_never_sent(start: Start, tmp_path: Path) -> None:
    """Taken is taken once a leg is out; what has none is refused at once."""
    node = start(hosts=1, operator={"version": 1, "identity": identity(tmp_path)})
    running = node.client(with_token(token()))
    wire = node.next_wire()
    leg = wire.message()
    wire.begin()
    wire.state(leg, "started")
    node.list(node.hosts[0].entry("Terminating"), full=True)
    node.watch.begin()
    keys(tmp_path / "keys.json", {**public(EC, "k1"), "reedspoke": {"leaked": True}})
    node.logged("identity: 1 keys")
    wire.state(leg, "done", result="late")
    wire.end()
    assert running.message().body == b"late"


def test_signing_tool_makes_keys_and_tokens_that_a_scheduler_believes(tmp_path: Path) -> None:
    folder, set_ = tmp_path / "keys", tmp_path / "set.json"
    secret = tmp_path / "passphrase"
    secret.write_text("correct horse\n")

    def tool(*words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "reedspoke", *words], cwd=ROOT, capture_output=True, text=True,
            timeout=30, check=False, env={**os.environ, "REEDSPOKE_KEYS": str(folder)},
        )  # fmt: skip

    def made(*words: str) -> str:
        told = tool("keys", "--passphrase-file", str(secret), *words)
        assert told.returncode == 0, told.stderr
        return told.stdout.strip()

    def believed(text: str) -> int:
        made("jwks", "--out", str(set_))
        places = ("--jwks", str(set_), "--issuer", "https://portal", "--audience", "reedspoke")
        return tool("token", "verify", text, *places).returncode

    issue = (
        "token",
        "issue",
        "--passphrase-file",
        str(secret),
        "--issuer",
        "https://portal",
        "--subject",
        "gw",
    )
    first = made("generate")
    assert (folder / f"{first}.key").stat().st_mode & 0o777 == 0o600
    assert b"ENCRYPTED" in (folder / f"{first}.key").read_bytes()
    text = tool(*issue, "--audience", "reedspoke").stdout.strip()
    assert believed(text) == 0
    assert believed(text[:-4] + "AAAA") == 1
    second = made("rotate", "--announce", "0s", "--overlap", "1h")
    assert believed(text) == 0, "the overlap"
    assert f"{first:<16} ES256    retiring" in made("list")
    newer = tool(*issue, "--audience", "reedspoke").stdout.strip()
    assert json.loads(tool("token", "verify", newer, "--jwks", str(set_), "--issuer", "https://portal",
                           "--audience", "reedspoke").stdout)["kid"] == second  # fmt: skip
    made("retire", first, "--leaked")
    assert believed(text) == 1
    wrong = tool("token", "issue", "--issuer", "i", "--subject", "s", "--audience", "a")
    assert (wrong.returncode, wrong.stderr.count("\n")) == (1, 1)
    assert "the passphrase is another" in wrong.stderr
