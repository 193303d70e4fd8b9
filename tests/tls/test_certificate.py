"""What a certificate must be, the form in which it is kept, the store, and who gets which."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.serialization import Encoding, NoEncryption, PrivateFormat
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.lab.issuing import Issuer
from reedspoke.tls.certificate import Pair, UnfitError, fit, packed, pair, unpacked
from reedspoke.tls.names import Held, Names, Refusal
from reedspoke.tls.store import Store, StoreError
from tests.peers import ROOT

ISSUER = Issuer("test")
HOST = "api.example.org"


def key_pem(key: Any) -> bytes:
    return key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())  # type: ignore[no-any-return]


def made(issuer: Issuer, hosts: list[str], lifetime: float = 3600) -> Pair:
    key = ec.generate_private_key(ec.SECP256R1())
    return pair(key_pem(key), issuer.chain(issuer.issue(key.public_key(), hosts, lifetime)))


def test_only_what_belongs_together_is_a_pair() -> None:
    key, other = (ec.generate_private_key(ec.SECP256R1()) for _ in range(2))
    leaf = ISSUER.issue(key.public_key(), [HOST], 3600)
    assert pair(key_pem(key), ISSUER.chain(leaf)).hosts == (HOST,)
    with pytest.raises(UnfitError, match="another key"):
        pair(key_pem(other), ISSUER.chain(leaf))
    with pytest.raises(UnfitError, match="not issued by the next"):
        pair(key_pem(key), Issuer("stranger").chain(leaf))
    with pytest.raises(UnfitError, match="key is unreadable"):
        pair(b"no key", ISSUER.chain(leaf))
    with pytest.raises(UnfitError, match="too large"):
        pair(key_pem(key), ISSUER.chain(leaf) * 400)


def test_only_what_serves_these_names_now_is_fit() -> None:
    found = made(ISSUER, [HOST])
    now = found.begins + 10_000_000
    fit(found, [HOST], now)
    for hosts, at, why in (
        ([HOST, "b.example.org"], now, "not for b"), ([HOST], found.ends, "expired"),
        ([HOST], found.begins - 1, "not come"),
    ):  # fmt: skip
        with pytest.raises(UnfitError, match=why):
            fit(found, hosts, at)
    assert "PRIVATE" not in repr(found)


def test_a_file_cut_or_changed_at_any_byte_is_told() -> None:
    whole = packed(made(ISSUER, [HOST]))
    assert unpacked(whole).hosts == (HOST,)
    for at in range(0, len(whole), 7):
        with pytest.raises(UnfitError):
            unpacked(whole[:at])
        with pytest.raises(UnfitError):
            unpacked(whole[:at] + bytes([whole[at] ^ 1]) + whole[at + 1 :])


@given(st.binary(max_size=400))
@settings(max_examples=200)
def test_no_bytes_are_fatal(raw: bytes) -> None:
    with pytest.raises(UnfitError):
        unpacked(raw)
    with pytest.raises(UnfitError):
        pair(raw, raw)


def test_the_store_is_for_its_owner_alone(tmp_path: Path) -> None:
    store = Store(tmp_path / "store")
    assert store.folder.stat().st_mode & 0o777 == 0o700
    store.install("api", made(ISSUER, [HOST]))
    assert store.path("api.pem").stat().st_mode & 0o777 == 0o600
    store.path("api.pem").chmod(0o644)
    with pytest.raises(UnfitError, match="others can read it"):
        store.load("api")
    (tmp_path / "open").mkdir(mode=0o755)
    with pytest.raises(StoreError, match="must be 0700"):
        Store(tmp_path / "open")
    for name in ("../api.pem", ".hidden", "a/b", ""):
        with pytest.raises(StoreError):
            store.path(name)
    store.path("link.pem").symlink_to(tmp_path / "elsewhere")
    with pytest.raises(OSError, match="symbolic links"):
        store.load("link")


@pytest.mark.parametrize("dies", ["os.write", "os.fsync", "os.rename"])
def test_a_write_that_is_cut_off_leaves_the_old_pair_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, dies: str
) -> None:
    store, old, new = Store(tmp_path / "store"), made(ISSUER, [HOST]), made(ISSUER, [HOST])
    store.install("api", old)

    def fails(*_: object) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(dies, fails)
    with pytest.raises(OSError, match="No space"):
        store.install("api", new)
    monkeypatch.undo()
    found = store.load("api")
    assert found is not None
    assert found.serial == old.serial
    assert [file.name for file in store.folder.iterdir()] == ["api.pem"]


def test_a_lock_is_free_once_its_owner_is_dead(tmp_path: Path) -> None:
    store = Store(tmp_path / "store")
    code = (
        "import sys, time; from reedspoke.tls.store import Store; "
        "Store(sys.argv[1]).lock('api'); print('!', flush=True); time.sleep(60)"
    )
    owner = subprocess.Popen(
        [sys.executable, "-c", code, str(store.folder)], cwd=ROOT, stdout=subprocess.PIPE
    )
    assert owner.stdout is not None
    with owner.stdout:
        assert owner.stdout.readline() == b"!\n"
    assert store.lock("api") is None
    assert store.owner("api") == owner.pid
    owner.kill()
    owner.wait()
    fd = store.lock("api")
    assert fd is not None
    os.close(fd)
    assert store.owner("api") == 0


def test_who_gets_which_certificate() -> None:
    names: Names[str] = Names()
    names.want([("api", [HOST]), ("any", ["*.example.org"]), ("new", ["new.example.net"])])
    names.hold(Held("api", (HOST,), 100_000_000, "one"))
    names.hold(Held("any", ("*.example.org",), 100_000_000, "two"))

    def chosen(host: str | None, now: int = 0) -> str:
        found = names.choose(host, now)
        return found.reason if isinstance(found, Refusal) else found.what

    assert chosen(HOST) == chosen("API.example.org.") == "one"
    assert chosen("shop.example.org") == "two"
    assert chosen("a.b.example.org") == chosen("example.org") == chosen("example.com") == "unknown_name"
    assert chosen(None) == chosen("") == "no_name"
    assert chosen("new.example.net") == "no_certificate"
    assert chosen(HOST, 99_800_000) == "expired", "its clients would see it expire"
    names.want([("api", [HOST, "pay.example.net"])])
    assert chosen("pay.example.net") == "no_certificate", "the one in force does not have it as yet"
    assert chosen("shop.example.org") == "unknown_name"
