"""The command line against scripted control schedulers."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from reedspoke.operator_cli.__main__ import main
from reedspoke.operator_cli.errors import ExitCode
from tests.operator_cli.stub_server import ScriptedAnswer, stub_server
from tests.ports import free_port

DOCUMENT = msgspec.json.encode(
    {
        "generation": 7,
        "routes": [
            {
                "name": "r",
                "hostname": "h.example",
                "path_prefix": "/a/",
                "route_type": "idempotent",
                "timeout_ms": 1000,
                "upstream": "u",
            }
        ],
        "upstreams": [{"name": "u"}],
    }
)
STATUS = msgspec.json.encode(
    {
        "node_name": "control-0",
        "generation": 7,
        "chain": ["a:1", "b:1"],
        "voters": ["a:1"],
        "edges": ["edge-3"],
    }
)
REFUSAL = b'{"error":{"code":208,"name":"configuration_stale_match","message":"9 is current"}}'


def unused_address() -> str:
    return f"127.0.0.1:{free_port()}"


@pytest.fixture
def document(tmp_path: Path) -> Path:
    path = tmp_path / "configuration.json"
    path.write_bytes(DOCUMENT)
    return path


def test_get_prints_the_configuration(capsys: pytest.CaptureFixture[str]) -> None:
    with stub_server(ScriptedAnswer(200, DOCUMENT)) as stub:
        assert main(["--address", stub.address, "config", "get"]) == ExitCode.DONE
    assert msgspec.json.decode(capsys.readouterr().out) == msgspec.json.decode(DOCUMENT)


def test_get_writes_the_exact_bytes_to_a_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    target = tmp_path / "out.json"
    with stub_server(ScriptedAnswer(200, DOCUMENT)) as stub:
        main(["--address", stub.address, "config", "get", "--output", str(target)])
    assert target.read_bytes() == DOCUMENT
    assert "generation 7" in capsys.readouterr().out


def test_put_sends_the_match_that_is_given(document: Path, capsys: pytest.CaptureFixture[str]) -> None:
    with stub_server(ScriptedAnswer(200, b"{}")) as stub:
        arguments = ["--address", stub.address, "config", "put", str(document), "--match", "5"]
        assert main(arguments) == ExitCode.DONE
    (received,) = stub.received
    assert (received.method, received.match, received.body) == ("PUT", "5", DOCUMENT)
    assert "generation 7 acknowledged" in capsys.readouterr().out


def test_put_without_match_builds_on_the_current_generation(document: Path) -> None:
    current = ScriptedAnswer(200, DOCUMENT.replace(b'"generation":7', b'"generation":4'))
    with stub_server(current, ScriptedAnswer(200, b"{}")) as stub:
        assert main(["--address", stub.address, "config", "put", str(document)]) == ExitCode.DONE
    assert [(received.method, received.match) for received in stub.received] == [("GET", None), ("PUT", "4")]


def test_put_without_match_begins_at_0(document: Path) -> None:
    with stub_server(
        ScriptedAnswer(404), ScriptedAnswer(404), ScriptedAnswer(404), ScriptedAnswer(200)
    ) as stub:
        assert main(["--address", stub.address, "config", "put", str(document)]) == ExitCode.DONE
    assert stub.received[-1].match == "0"


def test_put_follows_a_redirect(document: Path) -> None:
    with stub_server(ScriptedAnswer(200, b"{}")) as head:
        location = f"http://{head.address}/reedspoke/configuration"
        with stub_server(ScriptedAnswer(307, location=location)) as other:
            arguments = ["--address", other.address, "config", "put", str(document), "--match", "0"]
            assert main(arguments) == ExitCode.DONE
    assert head.received[0].body == DOCUMENT


def test_a_circle_of_redirects_ends(document: Path, capsys: pytest.CaptureFixture[str]) -> None:
    with stub_server(ScriptedAnswer(307)) as stub:
        stub.answers[0].location = f"http://{stub.address}/reedspoke/configuration"
        arguments = ["--address", stub.address, "config", "put", str(document), "--match", "0"]
        assert main(arguments) == ExitCode.NO_ANSWER
    assert len(stub.received) == 3
    assert capsys.readouterr().err.startswith("E604 ")


def test_a_refusal_is_final_and_shows_the_code(document: Path, capsys: pytest.CaptureFixture[str]) -> None:
    with stub_server(ScriptedAnswer(412, REFUSAL)) as stub:
        arguments = ["--address", stub.address, "config", "put", str(document), "--match", "5"]
        assert main(arguments) == ExitCode.REFUSED
    assert len(stub.received) == 1
    captured = capsys.readouterr()
    assert captured.out == ""
    assert captured.err.startswith("E602 refused: ")
    assert "E208 configuration_stale_match: 9 is current" in captured.err


def test_the_next_address_is_tried_after_a_failure() -> None:
    with (
        stub_server(ScriptedAnswer(503)) as busy,
        stub_server(ScriptedAnswer(200, DOCUMENT)) as good,
    ):
        addresses = f"{unused_address()},{busy.address},{good.address}"
        assert main(["--address", addresses, "config", "get"]) == ExitCode.DONE
    assert len(busy.received) == 1


def test_nobody_answers(capsys: pytest.CaptureFixture[str]) -> None:
    arguments = ["--address", unused_address(), "--timeout", "0.3", "status"]
    assert main(arguments) == ExitCode.NO_ANSWER
    assert capsys.readouterr().err.startswith("E601 no_answer: ")


def test_check_needs_no_address(document: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["config", "check", str(document)]) == ExitCode.DONE
    assert "generation 7 is valid: 1 routes, 1 upstreams" in capsys.readouterr().out


def test_check_names_the_fault(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "wrong.json"
    path.write_bytes(DOCUMENT.replace(b'"upstream":"u"', b'"upstream":"x"'))
    assert main(["config", "check", str(path)]) == ExitCode.LOCAL_FILE
    assert capsys.readouterr().err.startswith("E203 ")


def test_an_invalid_file_is_not_sent(tmp_path: Path) -> None:
    path = tmp_path / "wrong.json"
    path.write_bytes(b"{")
    with stub_server(ScriptedAnswer(200)) as stub:
        assert main(["--address", stub.address, "config", "put", str(path)]) == ExitCode.LOCAL_FILE
    assert stub.received == []


def test_a_file_that_is_missing(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["config", "check", str(tmp_path / "none.json")]) == ExitCode.LOCAL_FILE
    assert capsys.readouterr().err.startswith("E603 ")


@pytest.mark.parametrize("address", ["", "somewhere", ":80", "1.2.3.4:x"])
def test_a_wrong_address(address: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--address", address, "status"]) == ExitCode.USAGE
    assert capsys.readouterr().err.startswith("E606 ")


def test_status_as_a_table_and_as_json(capsys: pytest.CaptureFixture[str]) -> None:
    with stub_server(ScriptedAnswer(200, STATUS)) as stub:
        main(["--address", stub.address, "status"])
        table = capsys.readouterr().out
        main(["--address", stub.address, "status", "--json"])
    assert "node_name   control-0" in table
    assert msgspec.json.decode(capsys.readouterr().out) == msgspec.json.decode(STATUS)


def test_members_as_a_table_and_as_json(capsys: pytest.CaptureFixture[str]) -> None:
    with stub_server(ScriptedAnswer(200, STATUS)) as stub:
        main(["--address", stub.address, "members"])
        rows = [line.split() for line in capsys.readouterr().out.splitlines()]
        main(["--address", stub.address, "members", "--json"])
    assert rows[1:] == [["chain", "a:1"], ["chain", "b:1"], ["voter", "a:1"], ["edge", "edge-3"]]
    assert msgspec.json.decode(capsys.readouterr().out)["edges"] == ["edge-3"]


def test_an_answer_that_is_no_json(capsys: pytest.CaptureFixture[str]) -> None:
    with stub_server(ScriptedAnswer(200, b"<html>")) as stub:
        assert main(["--address", stub.address, "members"]) == ExitCode.NO_ANSWER
    assert capsys.readouterr().err.startswith("E605 ")
