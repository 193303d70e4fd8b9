"""Limits, plans, records and problems, each alone; and a disk that is full when a certificate is
installed."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from reedspoke.acme import words
from reedspoke.acme.challenges import HttpAnswers
from reedspoke.acme.driver import Driver
from reedspoke.acme.engine import Engine
from reedspoke.acme.limits import DAY, Limits, Pause, backoff
from reedspoke.acme.plan import Life, Policy, chance
from reedspoke.acme.problems import retry_after, trouble
from reedspoke.acme.record import Record, packed, unpacked
from reedspoke.acme.words import Trouble
from reedspoke.lab.issuing import Issuer
from reedspoke.sealed import CorruptFileError
from reedspoke.tls.certificate import Pair
from reedspoke.tls.meters import Meters
from reedspoke.tls.store import Store
from tests.acme.desk import NOW, RULES, wanted
from tests.ports import free_port
from tests.tls.test_certificate import made


def test_pause_keeps_its_length_where_the_clock_is_set_back() -> None:
    pause = Pause()
    pause.begin(1000, 500)
    assert pause.left(1200) == 300
    assert pause.left(100) == 500
    assert pause.left(350) == 250
    pause.begin(350, 10)
    assert pause.left(350) == 250, "a shorter one shortens nothing"


@given(st.integers(1, 1000), st.integers(1, 10**6), st.integers(0, 10**9), st.floats(0, 0.999))
def test_back_off_is_bounded_and_never_nothing(failures: int, first: int, more: int, luck: float) -> None:
    assert first // 2 <= backoff(failures, first, first + more, luck) <= first + more


def test_orders_of_a_day_are_a_budget() -> None:
    limits = Limits()
    for at in range(3):
        limits.count(NOW + at)
    assert limits.left(NOW + 10, 4) == 0
    assert limits.left(NOW + 10, 3) == DAY - 10
    assert limits.left(NOW + DAY, 3) == 0


@given(st.integers(0, 1000), st.floats(0.05, 0.9), st.floats(0, 0.5))
def test_renewal_is_due_within_the_lifetime_and_leaves_the_margin(
    at: int, share: float, spread: float
) -> None:
    life, policy = Life(NOW, NOW + 90 * DAY, f"{at}"), Policy(share, spread)
    due = policy.due("api", life)
    assert NOW <= due <= life.ends - policy.margin(life)
    assert 0 <= chance("api", at) < 1


@pytest.mark.parametrize(
    ("kind", "status", "about_order", "meant"),
    [
        ("rateLimited", 429, False, Trouble.LIMITED), ("", 429, True, Trouble.LIMITED),
        ("rejectedIdentifier", 403, False, Trouble.REFUSED), ("caa", 403, True, Trouble.REFUSED),
        ("accountDoesNotExist", 400, True, Trouble.NO_ACCOUNT), ("malformed", 404, True, Trouble.DEAD),
        ("badNonce", 400, True, Trouble.UNREACHABLE), ("serverInternal", 500, True, Trouble.UNREACHABLE),
        ("", 502, False, Trouble.UNREACHABLE), ("unauthorized", 403, False, Trouble.REFUSED),
        ("unauthorized", 403, True, Trouble.DEAD), ("connection", 400, True, Trouble.DEAD),
    ],
)  # fmt: skip
def test_what_an_error_means(kind: str, status: int, about_order: bool, meant: Trouble) -> None:
    told = f"urn:ietf:params:acme:error:{kind}" if kind else "about:blank"
    assert trouble(told, status, about_order) is meant


@pytest.mark.parametrize(
    ("told", "span"),
    [("120", 120_000_000), ("", 0), (None, 0), ("soon", 0), ("-5", 0), ("9" * 40, 10**14),
     ("Wed, 21 Oct 2015 07:28:00 GMT", 0), ("Fri, 15 Jan 2027 08:00:10 GMT", 10_000_000)],
)  # fmt: skip
def test_retry_after_is_seconds_or_a_date(told: str | None, span: int) -> None:
    assert retry_after(told, NOW) == span


@given(st.binary(max_size=300))
def test_no_bytes_on_disk_are_fatal_or_taken_for_a_record(raw: bytes) -> None:
    with pytest.raises(CorruptFileError):
        unpacked(raw, Record)


def test_a_record_cut_at_any_byte_is_told() -> None:
    whole = packed(Record("api", ["api.example.org"], key="secret"))
    assert unpacked(whole, Record).key == "secret"
    for at in range(len(whole)):
        with pytest.raises(CorruptFileError):
            unpacked(whole[:at], Record)
    with pytest.raises(CorruptFileError, match="its form is 2"):
        unpacked(whole.replace(b" 1 ", b" 2 ", 1), Record)


def test_a_full_disk_at_install_leaves_the_old_certificate(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = Store(tmp_path / "store")
    issuer = Issuer("first")
    old, new = made(issuer, ["api.example.org"]), made(issuer, ["api.example.org"])
    store.install("api", old)
    put: list[Pair] = []
    driver = Driver(Engine(), store, Meters(), lambda _, found: put.append(found))
    driver.engine.want([wanted()], RULES)

    class Caller:
        def fetch(self, _: str) -> bytes:
            return new.chain_pem()

    def full(*_: object) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    step = words.Fetch(
        "api", "first", "url", ("api.example.org",), new.pem[: new.pem.find(b"-----BEGIN CERT")].decode()
    )
    monkeypatch.setattr("os.write", full)
    with pytest.raises(OSError, match="No space"):
        driver._blocking(Caller(), step)  # type: ignore[arg-type]
    assert not put
    assert [file.name for file in store.folder.iterdir()] == ["api.pem"]
    monkeypatch.undo()
    found = store.load("api")
    assert found is not None
    assert found.serial == old.serial


def test_a_claim_tells_what_another_process_has_installed_meanwhile(tmp_path: Path) -> None:
    """Guards against a second order where the lock is got between a release and the next look."""
    store = Store(tmp_path / "store")
    driver = Driver(Engine(), store, Meters(), lambda *_: None)
    assert driver._claim("api") == words.Claimed(True)
    installed = made(Issuer("first"), ["api.example.org"])
    store.install("api", installed)
    found = words.Installed(installed.begins, installed.ends, installed.serial, installed.hosts)
    driver.close()
    assert Driver(Engine(), store, Meters(), lambda *_: None)._claim("api") == words.Claimed(True, found)


def test_a_claim_passes_over_a_broken_certificate(tmp_path: Path) -> None:
    store = Store(tmp_path / "store")
    store.write("api.pem", b"-----BEGIN CERTIFICATE-----\n")
    assert Driver(Engine(), store, Meters(), lambda *_: None)._claim("api") == words.Claimed(True)


def test_what_cannot_be_written_is_not_built_upon(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against orders that are forgotten: the state could not be kept, so nothing is begun."""

    async def play() -> tuple[Engine, list[object]]:
        engine, called = Engine(), list[object]()
        driver = Driver(engine, Store(tmp_path / "store"), Meters(), lambda *_: None, lambda: NOW)
        engine.want([wanted()], RULES)

        async def call(step: words.Wait) -> None:
            called.append(step)
            if isinstance(step, words.Enrol):
                driver._outcome(step, words.Enrolled())

        def full(*_: object) -> None:
            raise OSError(errno.ENOSPC, "No space left on device")

        monkeypatch.setattr(driver, "_call", call)
        monkeypatch.setattr(driver.store, "write", full)
        driver.do(engine.tick(NOW))
        for _ in range(200):
            await asyncio.sleep(0.005)
            if engine.renewals["api"].record.failures:
                break
        driver.close()
        return engine, called

    engine, called = asyncio.run(play())
    assert [type(step) for step in called] == [words.Enrol]
    assert "No space left" in engine.renewals["api"].record.problem


async def asked(port: int, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    answer = await asyncio.wait_for(reader.read(), 4)
    writer.close()
    return answer


def test_challenge_listener_serves_challenges_and_nothing_else() -> None:
    async def play() -> None:
        port = free_port()
        answers = HttpAnswers(("127.0.0.1", port))
        answers.publish("token-1", "token-1.print")
        place = "GET /.well-known/acme-challenge/{} HTTP/1.1\r\nHost: n\r\n\r\n"
        found = await asked(port, place.format("token-1").encode())
        assert found.startswith(b"HTTP/1.1 200 ")
        assert found.endswith(b"\r\n\r\ntoken-1.print")
        for data, status in (
            (place.format("token-2").encode(), b"404"), (place.format("").encode(), b"404"),
            (b"GET / HTTP/1.1\r\nHost: n\r\n\r\n", b"404"), (b"POST / HTTP/1.1\r\nHost: n\r\n\r\n", b"405"),
            (b"GET /../store/api.pem HTTP/1.1\r\nHost: n\r\n\r\n", b"404"), (b"nonsense\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\nX: " + b"x" * 20_000, b"431"),
        ):  # fmt: skip
            assert (await asked(port, data)).split()[1] == status
        silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(20)]
        since = asyncio.get_running_loop().time()
        assert b" 200 " in await asked(port, place.format("token-1").encode()), "those that hang go after 2 s"
        assert asyncio.get_running_loop().time() - since < 3
        answers.withdraw("token-1")
        assert b" 404 " in await asked(port, place.format("token-1").encode())
        for _, writer in silent:
            writer.close()
        answers.close()

    asyncio.run(play())
