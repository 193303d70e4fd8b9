"""The commands: each sends its requests and returns what is to be printed. All raise OperatorError."""

from __future__ import annotations

import argparse
from collections.abc import Callable
from pathlib import Path

import msgspec

from reedspoke.common.configuration_parsing import parse_configuration
from reedspoke.operator_cli.client import ApiRequest, ApiResponse, OperatorClient
from reedspoke.operator_cli.errors import OperatorError, OperatorErrorCode
from reedspoke.operator_cli.rendering import Members, StatusFields, member_table, status_table

CONFIGURATION_PATH = "/reedspoke/configuration"
STATUS_PATH = "/reedspoke/status"
NOT_FOUND = 404
NO_GENERATION = 0
JSON_HEADERS = {"Content-Type": "application/json"}
MAX_QUOTED_CHARACTERS = 500  # of a body in an error message


class Generation(msgspec.Struct):
    """The one field of a configuration that a change builds on."""

    generation: int


class RejectionDetail(msgspec.Struct):
    """The error that a control scheduler answers with."""

    code: int
    name: str
    message: str


class Rejection(msgspec.Struct):
    """The body of an error response."""

    error: RejectionDetail


def get_configuration(client: OperatorClient, options: argparse.Namespace) -> str:
    """`config get`: prints the configuration, or writes its exact bytes to a file."""
    response = accepted(client.send(ApiRequest("GET", CONFIGURATION_PATH)))
    if options.output is None:
        return pretty(response.body)
    write_file(options.output, response.body)
    return f"generation {generation_of(response)} written to {options.output}"


def put_configuration(client: OperatorClient, options: argparse.Namespace) -> str:
    """`config put`: replaces the configuration."""
    document = read_file(options.file)
    generation = parse_configuration(document).generation
    match = current_generation(client) if options.match is None else options.match
    headers = {**JSON_HEADERS, "If-Match": str(match)}
    response = accepted(client.send(ApiRequest("PUT", CONFIGURATION_PATH, document, headers)))
    return f"generation {generation} acknowledged by {response.address}"


def check_configuration(options: argparse.Namespace) -> str:
    """`config check`: validates a file, without any request. Raises FleetError for an invalid one."""
    configuration = parse_configuration(read_file(options.file))
    return (
        f"generation {configuration.generation} is valid: "
        f"{len(configuration.routes)} routes, {len(configuration.upstreams)} upstreams"
    )


def show_status(client: OperatorClient, options: argparse.Namespace) -> str:
    """`status`: what one control scheduler reports."""
    response = accepted(client.send(ApiRequest("GET", STATUS_PATH)))
    return pretty(response.body) if options.json else status_table(decode_fields(response))


def show_members(client: OperatorClient, options: argparse.Namespace) -> str:
    """`members`: the schedulers of the fleet."""
    members = decode_members(accepted(client.send(ApiRequest("GET", STATUS_PATH))))
    return pretty(msgspec.json.encode(members)) if options.json else member_table(members)


COMMANDS: dict[str, Callable[[OperatorClient, argparse.Namespace], str]] = {
    "get": get_configuration,
    "put": put_configuration,
    "status": show_status,
    "members": show_members,
}


def current_generation(client: OperatorClient) -> int:
    """Generation of the newest configuration, 0 where there is none yet."""
    response = client.send(ApiRequest("GET", CONFIGURATION_PATH))
    if response.status == NOT_FOUND:
        return NO_GENERATION
    return generation_of(accepted(response))


def generation_of(response: ApiResponse) -> int:
    """The generation of the configuration in the response."""
    try:
        return msgspec.json.decode(response.body, type=Generation).generation
    except msgspec.DecodeError as error:
        raise malformed(response, error) from error


def accepted(response: ApiResponse) -> ApiResponse:
    """The response where it is a success. Raises OperatorError for a rejection."""
    if response.is_success:
        return response
    text = f"{response.address} answered {response.status}: {rejection_text(response.body)}"
    raise OperatorError(OperatorErrorCode.REFUSED, text)


def rejection_text(body: bytes) -> str:
    """What the body of an error response says."""
    try:
        detail = msgspec.json.decode(body, type=Rejection).error
    except msgspec.DecodeError:
        return body.decode("utf-8", "replace").strip()[:MAX_QUOTED_CHARACTERS]
    return f"E{detail.code} {detail.name}: {detail.message}"


def decode_fields(response: ApiResponse) -> StatusFields:
    """The fields of a status, whatever they are: a newer control plane may report more."""
    try:
        return msgspec.json.decode(response.body, type=StatusFields)
    except msgspec.DecodeError as error:
        raise malformed(response, error) from error


def decode_members(response: ApiResponse) -> Members:
    """The members of the fleet in a status."""
    try:
        return msgspec.json.decode(response.body, type=Members)
    except msgspec.DecodeError as error:
        raise malformed(response, error) from error


def malformed(response: ApiResponse, error: Exception) -> OperatorError:
    """The error for a response that cannot be decoded."""
    return OperatorError(OperatorErrorCode.MALFORMED_ANSWER, f"{response.address}: {error}")


def pretty(body: bytes) -> str:
    """Indented JSON, or the text as it is where it is not JSON."""
    try:
        return msgspec.json.format(body, indent=2).decode()
    except msgspec.DecodeError:
        return body.decode("utf-8", "replace")


def read_file(path: Path) -> bytes:
    """The content of a file. Raises OperatorError."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise OperatorError(OperatorErrorCode.FILE_UNREADABLE, f"{path}: {error.strerror}") from error


def write_file(path: Path, content: bytes) -> None:
    """Writes a file. Raises OperatorError."""
    try:
        path.write_bytes(content)
    except OSError as error:
        raise OperatorError(OperatorErrorCode.FILE_UNREADABLE, f"{path}: {error.strerror}") from error
