"""Tests that the OpenAPI files match the code: paths, methods, statuses, error codes and fields."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import jsonschema
import msgspec
import pytest

from reedspoke.common.configuration import Document
from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.api.error_responses import error_response, http_status_of, malformed_request_body
from reedspoke.control_plane.api.http_messages import Request
from reedspoke.control_plane.api.operator_api import OPERATIONS
from reedspoke.control_plane.api.schemas import (
    Accepted,
    ErrorAnswer,
    StatusAnswer,
    TallyChange,
    TallyTotal,
)
from reedspoke.control_plane.workers.platform_client import LIST_PATH, PAGE_PARAMETER
from reedspoke.control_plane.workers.platform_messages import PlatformPage, parse_page
from tests.control_plane_process.stand_ins import configuration_document, platform_instance

FOLDER = Path(__file__).resolve().parents[2] / "openapi"
OPERATOR = json.loads((FOLDER / "operator.json").read_text())
WORKER = json.loads((FOLDER / "worker.json").read_text())
SCHEMAS = "#/components/schemas/{name}"


def components(*types: Any) -> dict[str, Any]:
    """Return the JSON schemas of these types."""
    return msgspec.json.schema_components(types, ref_template=SCHEMAS)[1]


def validate(file: dict[str, Any], name: str, document: Any) -> None:
    """Validate a document against a schema of the OpenAPI file."""
    jsonschema.validate(document, file | {"$ref": f"#/components/schemas/{name}"})


def test_the_operator_file_has_the_paths_and_methods_of_the_code() -> None:
    described = {path: {method.upper() for method in methods} for path, methods in OPERATOR["paths"].items()}
    assert described == {path: set(methods) for path, methods in OPERATIONS.items()}


@pytest.mark.parametrize(
    ("path", "method"), [(path, method) for path, methods in OPERATIONS.items() for method in methods]
)
def test_the_operator_file_has_the_statuses_and_error_codes_of_the_code(path: str, method: str) -> None:
    expected: dict[str, set[int]] = {"200": set()}
    for code in OPERATIONS[path][method].errors:
        expected.setdefault(str(http_status_of(code)), set()).add(int(code))
    responses = OPERATOR["paths"][path][method.lower()]["responses"]
    assert {
        status: set(response.get("x-error-codes", ())) for status, response in responses.items()
    } == expected


def test_the_operator_file_has_the_fields_of_the_code() -> None:
    assert OPERATOR["components"]["schemas"] == components(
        Accepted, ErrorAnswer, StatusAnswer, TallyChange, TallyTotal, Document
    )


def test_every_answer_with_an_error_has_the_described_body() -> None:
    for code in ErrorCode:
        validate(OPERATOR, "ErrorAnswer", json.loads(error_response(_error(code)).body))
    for status in (400, 413, 431, 501, 505):
        validate(OPERATOR, "ErrorAnswer", json.loads(malformed_request_body(status, "text")))


def test_a_valid_configuration_matches_its_description() -> None:
    validate(OPERATOR, "Document", json.loads(configuration_document(3)))


def test_the_put_requires_if_match() -> None:
    (parameter,) = OPERATOR["paths"]["/reedspoke/configuration"]["put"]["parameters"]
    assert (parameter["name"], parameter["in"], parameter["required"]) == ("If-Match", "header", True)


def test_the_worker_file_has_the_platform_call_of_the_code() -> None:
    call = WORKER["paths"][LIST_PATH]["get"]
    assert PAGE_PARAMETER in [parameter["name"] for parameter in call["parameters"]]
    schema = call["responses"]["200"]["content"]["application/json"]["schema"]
    assert schema == {"$ref": SCHEMAS.format(name="PlatformPage")}


def test_the_worker_file_has_the_fields_of_the_code() -> None:
    described = WORKER["components"]["schemas"]
    used = components(PlatformPage)
    assert {name: described.get(name) for name in used} == used


def test_a_page_of_the_platform_matches_its_description() -> None:
    page = {"instances": [platform_instance("i-1")], "next_token": None}
    validate(WORKER, "PlatformPage", page)
    assert parse_page(json.dumps(page).encode()).instances[0].instance_id == "i-1"


@pytest.mark.parametrize("file", [OPERATOR, WORKER])
def test_each_operation_has_an_id_and_each_reference_resolves(file: dict[str, Any]) -> None:
    assert file["openapi"].startswith("3.1.")
    operations = [operation for methods in file["paths"].values() for operation in methods.values()]
    names = [operation["operationId"] for operation in operations]
    assert len(set(names)) == len(names)
    for reference in references(file):
        assert reference.removeprefix("#/components/schemas/") in file["components"]["schemas"]


def references(value: Any) -> list[str]:
    """Return all values of `$ref` in a JSON value."""
    if isinstance(value, dict):
        own = [value["$ref"]] if isinstance(value.get("$ref"), str) else []
        return own + [found for item in value.values() for found in references(item)]
    if isinstance(value, list):
        return [found for item in value for found in references(item)]
    return []


def _error(code: ErrorCode) -> Any:
    from reedspoke.common.errors import FleetError

    return FleetError(code, "text")


def test_a_request_has_the_fields_that_handlers_use() -> None:
    names = {field.name for field in msgspec.structs.fields(Request)}
    assert names == {"method", "path", "headers", "body", "is_abandoned"}
