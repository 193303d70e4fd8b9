"""The commands: each makes its calls and returns what is to be printed."""

from __future__ import annotations

import argparse
from collections.abc import Callable
from pathlib import Path

import msgspec

from reedspoke.common.configuration_parsing import parse_configuration
from reedspoke.operator_cli.client import Answer, Call, OperatorClient
from reedspoke.operator_cli.errors import OperatorError, OperatorErrorCode
from reedspoke.operator_cli.rendering import Members, StatusFields, member_table, status_table

CONFIGURATION_PATH = "/reedspoke/configuration"
STATUS_PATH = "/reedspoke/status"
NOT_FOUND = 404
NO_GENERATION = 0
JSON_HEADERS = {"Content-Type": "application/json"}
MOST_QUOTED = 500  # characters of a body in an error message


class Generation(msgspec.Struct):
    """The one field of a configuration that a change builds on."""

    generation: int


class RefusalDetail(msgspec.Struct):
    """What a control scheduler says is wrong."""

    code: int
    name: str
    message: str


class Refusal(msgspec.Struct):
    """Body of an error answer."""

    error: RefusalDetail


def get_configuration(client: OperatorClient, options: argparse.Namespace) -> str:
    """`config get`."""
    answer = accepted(client.send(Call("GET", CONFIGURATION_PATH)))
    if options.output is None:
        return pretty(answer.body)
    write_file(options.output, answer.body)
    return f"generation {generation_of(answer)} written to {options.output}"


def put_configuration(client: OperatorClient, options: argparse.Namespace) -> str:
    """`config put`."""
    document = read_file(options.file)
    generation = parse_configuration(document).generation
    match = current_generation(client) if options.match is None else options.match
    headers = {**JSON_HEADERS, "If-Match": str(match)}
    answer = accepted(client.send(Call("PUT", CONFIGURATION_PATH, document, headers)))
    return f"generation {generation} acknowledged by {answer.address}"


def check_configuration(options: argparse.Namespace) -> str:
    """`config check`."""
    configuration = parse_configuration(read_file(options.file))
    return (
        f"generation {configuration.generation} is valid: "
        f"{len(configuration.routes)} routes, {len(configuration.upstreams)} upstreams"
    )


def show_status(client: OperatorClient, options: argparse.Namespace) -> str:
    """`status`."""
    answer = accepted(client.send(Call("GET", STATUS_PATH)))
    return pretty(answer.body) if options.json else status_table(decode_fields(answer))


def show_members(client: OperatorClient, options: argparse.Namespace) -> str:
    """`members`."""
    members = decode_members(accepted(client.send(Call("GET", STATUS_PATH))))
    return pretty(msgspec.json.encode(members)) if options.json else member_table(members)


COMMANDS: dict[str, Callable[[OperatorClient, argparse.Namespace], str]] = {
    "get": get_configuration,
    "put": put_configuration,
    "status": show_status,
    "members": show_members,
}


def current_generation(client: OperatorClient) -> int:
    """Generation of the newest configuration, 0 where there is none yet."""
    answer = client.send(Call("GET", CONFIGURATION_PATH))
    if answer.status == NOT_FOUND:
        return NO_GENERATION
    return generation_of(accepted(answer))


def generation_of(answer: Answer) -> int:
    try:
        return msgspec.json.decode(answer.body, type=Generation).generation
    except msgspec.DecodeError as error:
        raise malformed(answer, error) from error


def accepted(answer: Answer) -> Answer:
    """The answer where it is a success. Raises OperatorError for a refusal."""
    if answer.success:
        return answer
    text = f"{answer.address} answered {answer.status}: {refusal_text(answer.body)}"
    raise OperatorError(OperatorErrorCode.REFUSED, text)


def refusal_text(body: bytes) -> str:
    """What the body of an error answer says."""
    try:
        detail = msgspec.json.decode(body, type=Refusal).error
    except msgspec.DecodeError:
        return body.decode("utf-8", "replace").strip()[:MOST_QUOTED]
    return f"E{detail.code} {detail.name}: {detail.message}"


def decode_fields(answer: Answer) -> StatusFields:
    """The body's fields, whatever they are: a newer control plane may tell more."""
    try:
        return msgspec.json.decode(answer.body, type=StatusFields)
    except msgspec.DecodeError as error:
        raise malformed(answer, error) from error


def decode_members(answer: Answer) -> Members:
    """Who is in the fleet, out of a status."""
    try:
        return msgspec.json.decode(answer.body, type=Members)
    except msgspec.DecodeError as error:
        raise malformed(answer, error) from error


def malformed(answer: Answer, error: Exception) -> OperatorError:
    return OperatorError(OperatorErrorCode.MALFORMED_ANSWER, f"{answer.address}: {error}")


def pretty(body: bytes) -> str:
    """JSON with indents, or the bytes as they are where they are no JSON."""
    try:
        return msgspec.json.format(body, indent=2).decode()
    except msgspec.DecodeError:
        return body.decode("utf-8", "replace")


def read_file(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise OperatorError(OperatorErrorCode.FILE_UNREADABLE, f"{path}: {error.strerror}") from error


def write_file(path: Path, content: bytes) -> None:
    try:
        path.write_bytes(content)
    except OSError as error:
        raise OperatorError(OperatorErrorCode.FILE_UNREADABLE, f"{path}: {error.strerror}") from error
