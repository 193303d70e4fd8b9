"""Names and content of the two files, the slots, one of which holds the log."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path

from msgspec import Struct

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.storage.log_format import HEADER, LogContent, encode_batch

CONTROL_LOG_NAME = "control.log"
OTHER_SLOT_SUFFIX = ".2"
OLD_TEMPORARY_SUFFIX = ".new"  # of the temporary file that a rewrite in the older format made
CORRUPT_SUFFIX = ".corrupt"
OTHER_SLOT_NAME = CONTROL_LOG_NAME + OTHER_SLOT_SUFFIX
SLOT_NAMES = (CONTROL_LOG_NAME, OTHER_SLOT_NAME)
OLD_TEMPORARY_NAME = CONTROL_LOG_NAME + OLD_TEMPORARY_SUFFIX
CORRUPT_LOG_NAME = CONTROL_LOG_NAME + CORRUPT_SUFFIX
FOLDER_ID_BYTES = 8
FIRST_REWRITE_NUMBER = 1
SINGLE_COPY_REWRITE_NUMBER = 0  # files of the older format hold no number and are older than any rewrite


def slot_content(folder_id: str, rewrite_number: int, records: Iterable[bytes]) -> bytes:
    """Encode a slot that holds these records."""
    return HEADER + encode_batch([folder_id.encode(), str(rewrite_number).encode(), *records])


class SlotContent(Struct):
    """The folder id, the number of the rewrite that made the slot, and the records."""

    folder_id: str
    rewrite_number: int
    records: list[bytes]


def parse_slot(read: LogContent) -> SlotContent:
    """Parse a slot that has at least one valid batch.

    Raises FleetError STORAGE_CORRUPT if the first batch does not begin with a folder id and a rewrite number.
    """
    first, *others = read.batches
    records = [record for batch in others for record in batch]
    if read.single_copies:
        return SlotContent(_folder_id_of(first), SINGLE_COPY_REWRITE_NUMBER, first[1:] + records)
    return SlotContent(_folder_id_of(first), _rewrite_number_of(first), first[2:] + records)


def _folder_id_of(first: Sequence[bytes]) -> str:
    try:
        folder_id = first[0].decode("ascii")
        bytes.fromhex(folder_id)
    except (ValueError, IndexError) as error:
        raise FleetError(
            ErrorCode.STORAGE_CORRUPT, "The first batch of the log holds no valid folder id."
        ) from error
    return folder_id


def _rewrite_number_of(first: Sequence[bytes]) -> int:
    try:
        return int(first[1])
    except (ValueError, IndexError) as error:
        raise FleetError(
            ErrorCode.STORAGE_CORRUPT, "The first batch of the log holds no valid rewrite number."
        ) from error


def slot_names(log_name: str) -> tuple[str, str]:
    """The file names of the two slots of a log."""
    return log_name, log_name + OTHER_SLOT_SUFFIX


def other_slot(path: Path) -> Path:
    """The path of the other slot of the same log."""
    name = path.name
    if name.endswith(OTHER_SLOT_SUFFIX):
        return path.with_name(name.removesuffix(OTHER_SLOT_SUFFIX))
    return path.with_name(name + OTHER_SLOT_SUFFIX)
