"""The form of files in the store: a first line with the kind, the form's number and a digest of the rest."""

from __future__ import annotations

import hashlib

from reedspoke.errors import ReedspokeError


class CorruptFileError(ReedspokeError):
    """What was read is not what was written; the text says why and holds nothing of it."""

    code = "file-torn"
    remedy = "nothing at once: the file is passed over; restore it if the message comes again"


def seal(kind: bytes, format_version: int, body: bytes) -> bytes:
    return b"%b %d %b\n" % (kind, format_version, hashlib.sha256(body).hexdigest().encode()) + body


def unseal(kind: bytes, format_version: int, raw: bytes) -> bytes:
    """The body. Raises CorruptFileError for what is torn, foreign, or of another form."""
    first, _, body = raw.partition(b"\n")
    words = first.split(b" ")
    if len(words) != 3 or words[0] != kind or not words[1].isdigit():
        raise CorruptFileError("it is no file of this program")
    if int(words[1][:9]) != format_version:
        raise CorruptFileError(f"its form is {int(words[1][:9])}, this program knows {format_version}")
    if hashlib.sha256(body).hexdigest().encode() != words[2]:
        raise CorruptFileError("it is torn")
    return body
