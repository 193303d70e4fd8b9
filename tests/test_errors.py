"""Every error says what an operator can do, has a code that stays, a row on the on-call page, and a test."""

from __future__ import annotations

import asyncio
import importlib
import json
import pkgutil
import re
from collections.abc import Callable, Iterator

import pytest

import reedspoke
from reedspoke.acme.challenges import CommandError, command
from reedspoke.common.errors import NumberedError
from reedspoke.common.transport import FramingError
from reedspoke.control_plane.workers.platform_client import PlatformError, PlatformRateError
from reedspoke.data_plane.event_stream import EventTooLargeError
from reedspoke.errors import ReedspokeError
from reedspoke.lab.program import LabError, Program
from reedspoke.net.config import ConfigError
from reedspoke.net.http import Head
from reedspoke.net.operators import NoSuchCallError, parse_call
from reedspoke.settings import UnknownValueError, lookup
from tests.peers import ROOT

BASES = ("ReedspokeError", "NumberedError", "FleetError", "PlatformError")
ONCALL = (ROOT / "docs" / "oncall.md").read_text()
TESTS = {path: path.read_text() for path in (ROOT / "tests").rglob("*.py")}


def walk(kind: type[ReedspokeError] = ReedspokeError) -> Iterator[type[ReedspokeError]]:
    for one in kind.__subclasses__():
        yield one
        yield from walk(one)


def kinds() -> list[type[ReedspokeError]]:
    for found in pkgutil.walk_packages(reedspoke.__path__, "reedspoke."):
        if not found.name.endswith("__main__"):
            importlib.import_module(found.name)
    return sorted(
        (one for one in walk() if one.__module__.startswith("reedspoke.")), key=lambda one: one.code
    )


KINDS = kinds()


class Stopped:
    """A program of the laboratory that has ended."""

    _process = None

    def tail(self) -> str:
        return "it ended"


SEEN = {  # raised in a process, or behind a door: by the test that sees what becomes of them
    "TroubleError": "acme/test_process.py::test_each_misbehaviour_of_the_authority_is_got_over",
    "ForbiddenError": "identity/test_extension.py::test_callers_of_one_connection_are_told_apart",
    "ClientDroppedError": "test_lifecycle.py::test_each_client_state_at_a_shutdown",
    "WireError": "test_adapter.py::test_malformed_input_ends_with_one_plain_message",
    "KeySetError": "identity/test_extension.py::test_an_identity_that_cannot_be_used_ends_the_start",
    "SigningError": (
        "identity/test_extension.py::test_signing_tool_makes_keys_and_tokens_that_a_scheduler_believes"
    ),
    "NoBookingError": "booking/test_part.py::test_the_door_tells_what_is_no_booking",
    "ElsewhereError": "booking/test_part.py::test_who_grants_nothing_says_who_does",
    "ResetError": "acme/test_process.py::test_each_misbehaviour_of_the_authority_is_got_over",
    "LostError": "fleet/test_record.py::test_each_mutation_is_caught",
    "TwoHoldersError": "fleet/lease/test_participant.py::test_each_mutation_is_caught",
    "TokenError": "fleet/lease/test_participant.py::test_each_mutation_is_caught",
}
RAISED: dict[type[ReedspokeError], Callable[[], object]] = {
    UnknownValueError: lambda: lookup({}, "sometimes", "how"),
    NoSuchCallError: lambda: parse_call(Head(1, b"GET", memoryview(b"/v1/nothing"))),
    CommandError: lambda: command(["false"], "add", "name", "value", 5.0),
    LabError: lambda: asyncio.run(Program.ready(Stopped())),  # type: ignore[arg-type]
}


@pytest.mark.parametrize("kind", RAISED, ids=lambda kind: kind.__name__)
def test_an_error_is_raised_with_its_remedy(kind: type[ReedspokeError]) -> None:
    with pytest.raises(kind) as found:
        RAISED[kind]()
    assert kind.remedy in found.value.one_line()


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.__name__)
def test_an_error_says_what_can_be_done(kind: type[ReedspokeError]) -> None:
    assert re.fullmatch(r"[a-z]+(-[a-z]+)*", kind.code)
    assert len(kind.remedy) > 10
    assert f"`{kind.code}`" in ONCALL
    lab = kind.code.startswith("lab-")
    assert lab or any(kind.__name__ in text or kind.code in text for text in TESTS.values()), (
        "raised in no test"
    )


def test_codes_are_unique_and_there_is_no_other_base() -> None:
    assert len({kind.code for kind in KINDS}) == len(KINDS) >= 28
    others = [
        f"{path.name}: {name}"
        for path in (ROOT / "reedspoke").rglob("*.py")
        for name, base in re.findall(r"class (\w+Error)\((\w+)", path.read_text())
        if base not in BASES and name not in ("ReedspokeError", "ProblemError", "NumberedError")
    ]
    assert not others


def numbered(kind: type[NumberedError] = NumberedError) -> Iterator[type[NumberedError]]:
    for one in kind.__subclasses__():
        yield one
        yield from numbered(one)


def test_an_error_of_the_fleet_has_a_number_with_a_row() -> None:
    """What is raised by its class alone; `tests/operator_cli/test_error_table.py` has all the numbers."""
    assert len(set(numbered())) >= 6
    page = (ROOT / "docs" / "errors.md").read_text()
    for error in (PlatformError("no"), PlatformRateError("no"), FramingError("no"), EventTooLargeError()):
        assert f"| {int(error.code)} | `{error.code.name.lower()}` |" in page
        assert str(error).startswith(f"E{int(error.code)} ")


def test_the_forms_of_an_error() -> None:
    error = ConfigError("listen: no ip:port")
    assert error.one_line().startswith("listen: no ip:port [configuration-unusable: ")
    assert "\n" not in error.one_line()
    told = json.loads(error.problem(400, key="listen"))
    assert (told["type"], told["status"], told["key"]) == (
        "urn:reedspoke:configuration-unusable",
        400,
        "listen",
    )
    assert told["remedy"] == error.fields()["remedy"] == ConfigError.remedy
