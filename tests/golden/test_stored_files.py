"""Files that an earlier version has written are read, and the same content is written to the byte.

The files below `data` were written by that version and are never edited.
"""

from __future__ import annotations

import json
import secrets
import shutil
from pathlib import Path
from typing import Any

import msgspec
import pytest

from reedspoke.acme.account import Account
from reedspoke.acme.record import Record as RenewalRecord
from reedspoke.acme.record import packed, unpacked
from reedspoke.control_plane.replication.log_records import RestoredState, restore
from reedspoke.control_plane.storage import log_opening
from reedspoke.fleet.replicated_log.log_state import ChangeKind, LogChange
from reedspoke.fleet.replicated_log.log_store import LogStore
from reedspoke.fleet.replicated_log.replicated_log import ReplicatedLog
from reedspoke.identity.signing import SigningKeyEntry
from reedspoke.net.handover import Orders
from reedspoke.sealed import seal, unseal

DATA = Path(__file__).parent / "data"
CONTROL_LOG: dict[str, Any] = json.loads((DATA / "control_log.json").read_text())
REPLICATED_LOG: dict[str, Any] = json.loads((DATA / "replicated_log.json").read_text())
STORED: dict[str, str] = json.loads((DATA / "stored_files.json").read_text())


class RecordingMachine:
    """A state machine that remembers all that is applied to it."""

    def __init__(self) -> None:
        self.applied: list[tuple[int, bytes]] = []

    def apply(self, number: int, data: bytes) -> None:
        self.applied.append((number, data))

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.applied)

    def restore(self, data: bytes) -> None:
        self.applied = msgspec.msgpack.decode(data, type=list[tuple[int, bytes]])


@pytest.fixture(autouse=True)
def fixed_folder_id(monkeypatch: pytest.MonkeyPatch) -> None:
    """A new folder gets the id that the earlier version's folder had."""
    monkeypatch.setattr(secrets, "token_hex", lambda _: CONTROL_LOG["folder_id"])


@pytest.mark.parametrize("name", sorted(CONTROL_LOG["states"]))
def test_an_earlier_control_log_yields_its_state(tmp_path: Path, name: str) -> None:
    shutil.copy(DATA / name, tmp_path / "control.log")
    opened = log_opening.open_log(tmp_path)
    opened.writer.close()
    expected = CONTROL_LOG["states"][name]
    assert opened.folder_id == expected["folder_id"]
    assert [record.hex() for record in opened.records] == expected["records"]
    assert described(restore(opened.records)) == {
        key: value for key, value in expected.items() if key not in ("folder_id", "records")
    }


def described(state: RestoredState) -> dict[str, Any]:
    """A restored state as the earlier version described it."""
    assert state.entry is not None
    return {
        "seeds": list(state.seeds),
        "view": state.view and state.view.number,
        "chain": state.view and [link.member.address for link in state.view.chain],
        "acceptors": sorted(state.acceptors),
        "generation": state.entry.generation,
        "sequence": state.entry.sequence,
        "document": state.entry.document.decode(),
        "history": state.history.packed().hex(),
        "synced_since": state.synced_since,
    }


def test_a_control_log_is_written_as_earlier(tmp_path: Path) -> None:
    opened = log_opening.open_log(tmp_path)
    for batch in CONTROL_LOG["batches"]:
        opened.writer.append([bytes.fromhex(record) for record in batch])
    opened.writer.close()
    assert (tmp_path / "control.log").read_bytes() == (DATA / "control.log").read_bytes()


def test_a_control_log_is_rewritten_as_earlier(tmp_path: Path) -> None:
    shutil.copy(DATA / "control.log", tmp_path)
    opened = log_opening.open_log(tmp_path)
    opened.writer.rewrite([bytes.fromhex(record) for batch in CONTROL_LOG["batches"] for record in batch])
    opened.writer.close()
    assert [path.name for path in tmp_path.iterdir()] == ["control.log.2"]
    assert (tmp_path / "control.log.2").read_bytes() == (DATA / "control.log.2").read_bytes()


@pytest.fixture
def replicated_log_folder(tmp_path: Path) -> Path:
    """A copy of the earlier version's folder."""
    folder = tmp_path / "log"
    shutil.copytree(DATA / "replicated-log", folder)
    folder.chmod(0o700)
    return folder


def loaded(folder: Path) -> tuple[ReplicatedLog, LogStore]:
    replicated_log = ReplicatedLog(1, (0, 1, 2), 5, RecordingMachine(), 1000)
    store = LogStore(str(folder), "bookings")
    line = store.load(replicated_log)
    assert "28 entries behind 129 from bookings.whole, 33 changes" in line
    return replicated_log, store


def test_an_earlier_replicated_log_is_read(replicated_log_folder: Path) -> None:
    replicated_log, store = loaded(replicated_log_folder)
    store.close()
    state = replicated_log.state.persistent_state()
    assert (state.snapshot_index, state.snapshot_term, state.current_term) == (
        REPLICATED_LOG["base"],
        REPLICATED_LOG["base_token"],
        REPLICATED_LOG["promised"],
    )
    assert state.snapshot.hex() == REPLICATED_LOG["past"]
    assert [[entry.term, entry.data.hex()] for entry in state.entries] == REPLICATED_LOG["entries"]


def test_a_replicated_log_is_written_as_earlier(replicated_log_folder: Path) -> None:
    replicated_log, store = loaded(replicated_log_folder)
    store.save([LogChange(ChangeKind.REWRITE)], replicated_log)
    store.close()
    for name in ("bookings.whole", "bookings.log"):
        assert (replicated_log_folder / name).read_bytes() == (DATA / f"{name}.rewritten").read_bytes()


def test_kinds_of_changes_on_disk() -> None:
    assert [kind.value for kind in ChangeKind] == ["promise", "append", "cut", "whole"]


def test_a_sealed_file_has_its_earlier_bytes() -> None:
    assert seal(b"reedspoke-x", 3, b"body\n").hex() == STORED["sealed"]
    assert unseal(b"reedspoke-x", 3, bytes.fromhex(STORED["sealed"])) == b"body\n"


def test_operators_orders_of_a_handover_have_their_earlier_bytes() -> None:
    orders = Orders(name="one", version=4, suspended={"h1": ("127.0.0.1", 80)}, drained=True)
    assert msgspec.json.encode(orders).decode() == STORED["handover_orders"]
    assert msgspec.json.decode(STORED["handover_orders"], type=Orders) == orders


def test_a_renewal_has_its_earlier_bytes() -> None:
    record = unpacked(STORED["acme_record"].encode(), RenewalRecord)
    assert record == RenewalRecord(
        name="a.test",
        hosts=["a.test"],
        authority="ca",
        order="https://x/1",
        key="KEY",
        begun=5,
        certificate="https://x/2",
        published=[("h", "t", "c")],
        failures=2,
        strikes={"ca": 1},
        problem="p",
        issuer="ca",
        window=(1, 2),
        window_of="3",
        hurried=True,
        ask_at=9,
    )
    assert packed(record).decode() == STORED["acme_record"]


def test_an_account_has_its_earlier_bytes() -> None:
    account = unpacked(STORED["acme_account"].encode(), Account)
    assert account == Account(key="PEM", uri="https://x/acct/1", next_key="NEXT")
    assert packed(account).decode() == STORED["acme_account"]


def test_a_ring_of_signing_keys_has_its_earlier_bytes() -> None:
    entry = SigningKeyEntry(kid="k", algorithm="ES256", starts=1, retires=2, gone=3, leaked=True)
    assert msgspec.json.encode([entry]).decode() == STORED["key_ring"]
    assert msgspec.json.decode(STORED["key_ring"], type=list[SigningKeyEntry]) == [entry]
