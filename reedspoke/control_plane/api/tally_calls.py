"""Parses the paths and bodies of the applications' tally requests."""

from __future__ import annotations

import re
from hashlib import blake2b

import msgspec

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.api.http_messages import Request
from reedspoke.control_plane.api.schemas import TallyChange
from reedspoke.control_plane.tallies.messages import TallyAdd

TALLY_PREFIX = "/reedspoke/tallies/"
TALLY_PATH = "/reedspoke/tallies/{tally}"
MAX_NAME_LENGTH = 128
MAX_AMOUNT = 2**53  # Larger JSON numbers are not exact in all parsers.
ID_BYTES = 8
HEX_ID = re.compile("[0-9a-f]{16}")  # An id of this form is parsed as a number instead of hashed.


def tally_name(path: str) -> str:
    """Return the name of the tally in a path. Raises FleetError if the name is too long."""
    name = path.removeprefix(TALLY_PREFIX)
    if len(name) > MAX_NAME_LENGTH:
        raise FleetError(
            ErrorCode.TALLY_MALFORMED, f"the tally's name has more than {MAX_NAME_LENGTH} characters"
        )
    return name


def parse_tally_add(request: Request) -> TallyAdd:
    """Parse a request to add to a tally. Raises FleetError if its name or body is invalid."""
    name = tally_name(request.path)
    try:
        change = msgspec.json.decode(request.body, type=TallyChange)
    except msgspec.DecodeError as error:
        raise FleetError(ErrorCode.TALLY_MALFORMED, str(error)) from error
    if not change.instance_id:
        raise FleetError(ErrorCode.TALLY_MALFORMED, "instance_id is empty")
    if abs(change.held_by) > MAX_AMOUNT:
        raise FleetError(ErrorCode.TALLY_MALFORMED, f"held_by {change.held_by} is out of range")
    return TallyAdd(name, id_number(change.instance_id), change.held_by)


def id_number(instance_id: str) -> int:
    """Return the 64-bit number of an id: the value of 16 hexadecimal digits, otherwise a BLAKE2b hash."""
    if HEX_ID.fullmatch(instance_id):
        return int(instance_id, 16)
    return int.from_bytes(blake2b(instance_id.encode(), digest_size=ID_BYTES).digest(), "big")
