"""The format of stored files: a first line with the kind, the format version and a digest of the rest."""

from __future__ import annotations

import hashlib

from reedspoke.errors import ReedspokeError


class CorruptFileError(ReedspokeError):
    """A stored file is damaged or of another format; the text says why without quoting the content."""

    code = "file-torn"
    remedy = "nothing at first: the file is skipped; restore it if the message is repeated"


def seal(kind: bytes, format_version: int, body: bytes) -> bytes:
    """Add the first line to a body."""
    return b"%b %d %b\n" % (kind, format_version, hashlib.sha256(body).hexdigest().encode()) + body


def unseal(kind: bytes, format_version: int, raw: bytes) -> bytes:
    """Check the first line and return the body.

    Raises CorruptFileError for a damaged file, another kind of file, or another format version.
    """
    first, _, body = raw.partition(b"\n")
    words = first.split(b" ")
    if len(words) != 3 or words[0] != kind or not words[1].isdigit():
        raise CorruptFileError("it is not a file of this program")
    if int(words[1][:9]) != format_version:
        raise CorruptFileError(f"its form is {int(words[1][:9])}, this program knows {format_version}")
    if hashlib.sha256(body).hexdigest().encode() != words[2]:
        raise CorruptFileError("its digest does not match its content")
    return body
