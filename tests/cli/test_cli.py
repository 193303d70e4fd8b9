"""The command line, and that the platform's program has nothing of it."""

from __future__ import annotations

import json
import logging
import os
import subprocess
import sys
from io import StringIO
from pathlib import Path

import pytest

from reedspoke import logs
from tests.peers import ROOT, Start

NEW = ("cli", "operator", "tls", "acme", "lab", "identity", "logs", "assembly", "fleet", "booking")
LIBRARIES = (
    "click", "structlog", "acme", "josepy", "joserfc", "requests", "cryptography", "prometheus_client",
    "numpy", "sortedcontainers", "dateutil", "zstandard",
)  # fmt: skip


def run(*words: str, **environ: str) -> subprocess.CompletedProcess[str]:
    kept = {
        name: value for name, value in os.environ.items() if not name.startswith(("PROXY_", "REEDSPOKE_"))
    }
    return subprocess.run(
        [sys.executable, "-m", "reedspoke", *words], cwd=ROOT, env={**kept, **environ}, capture_output=True,
        text=True, timeout=60, check=False,
    )  # fmt: skip


def test_the_platform_s_program_imports_nothing_of_the_new(start: Start) -> None:
    node = start(hosts=1)
    assert node.stop() == 0
    run_ = subprocess.run(
        [sys.executable, "-X", "importtime", "-m", "reedspoke"], cwd=ROOT, capture_output=True, text=True,
        env={**os.environ, "PROXY_CONFIG": str(node.config.with_name("none"))}, timeout=30, check=False,
    )  # fmt: skip
    assert run_.returncode == 2
    loaded = {
        line.rpartition("|")[2].strip() for line in run_.stderr.splitlines() if line.startswith("import time")
    }
    assert "reedspoke.net.node" in loaded
    unwanted = {f"reedspoke.{name}" for name in NEW} | set(LIBRARIES)
    assert not [name for name in loaded if any(name == one or name.startswith(one + ".") for one in unwanted)]


def test_decisions_of_new_parts_need_no_library_of_the_network() -> None:
    """The engine's modules and the handshakes' concern are as bare as the decision module."""
    code = (
        "import sys, reedspoke.acme.engine, reedspoke.tls.names, reedspoke.tls.handshakes; "
        "bare = {'acme', 'tornado', 'ssl', 'socket', 'asyncio', 'requests', 'cryptography'}; "
        "print(sorted(bare & set(sys.modules)))"
    )
    told = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert told.stdout.strip() == "[]"


@pytest.mark.parametrize(
    ("words", "status", "said"),
    [
        (("--help",), 0, "Commands"), (("--version",), 0, "reedspoke"), (("run", "--help"), 0, "--operator"),
        (("nothing",), 2, "nothing"), (("run",), 2, "--config"),
        (("lab", "acme", "--seconds", "-1"), 2, "--seconds"),
        (("certs", "list"), 2, "--operator"),
        (("config", "check", "/none/such"), 2, "/none/such: cannot be read"),
    ],
)  # fmt: skip
def test_statuses_and_messages(words: tuple[str, ...], status: int, said: str) -> None:
    told = run(*words)
    assert told.returncode == status, told.stderr
    assert said in told.stdout + told.stderr
    assert "Traceback" not in told.stderr
    if status:
        assert told.stderr.count("\n") == 1


def test_files_are_checked_before_they_are_put_in_place(tmp_path: Path) -> None:
    bad = tmp_path / "bad.json"
    bad.write_text('{"version": 1, "tls": {"listen": "127.0.0.1:1", "store": "s", "hanshake": "1s"}}')
    told = run("config", "check", "deploy/operator.example.json", str(bad))
    assert told.returncode == 2
    assert "operator.example.json: good" in told.stdout
    assert told.stderr.startswith(f"reedspoke: {bad}: tls.hanshake: unknown key [operator-file-unusable: ")
    assert told.stderr.count("\n") == 1
    started = run("run", "--config", "none.json", "--operator", str(bad))
    assert (started.returncode, started.stderr.count("\n")) == (2, 1)
    schema = json.loads(run("config", "schema").stdout)
    assert schema["$schema"].endswith("2020-12/schema")


@pytest.mark.parametrize("form", ["plain", "console", "json"])
def test_forms_of_the_log(form: str) -> None:
    root = logging.getLogger()
    before, level = root.handlers[:], root.level
    stream = StringIO()
    try:
        logs.configure(form, "info", stream)
        logging.getLogger("reedspoke").info("tls: handshake refused: %s", "no name")
        logging.getLogger("reedspoke").debug("not this")
        logging.getLogger("tornado.general").warning("SSL Error on 9")
    finally:
        root.handlers[:] = before
        root.setLevel(level)
    lines = stream.getvalue().splitlines()
    assert len(lines) == 1
    if form == "json":
        told = json.loads(lines[0])
        assert (told["about"], told["event"], told["level"]) == ("tls", "handshake refused: no name", "info")
    else:
        assert "tls: handshake refused: no name" in lines[0]
