"""Messages of the record, as they stand on the wire: part of the frames between schedulers (`frames.py`)."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Number = Annotated[int, Meta(ge=0, le=0xFFFF)]  # a record's mark
Whole = Annotated[int, Meta(ge=0, le=0xFFFF_FFFF)]
Ballot = Annotated[int, Meta(ge=0)]


class Read(Struct, frozen=True, array_like=True, tag=0):
    """A holder asks what is remembered of a record; from now on no lower token is heeded."""

    token: Ballot


class Remember(Struct, frozen=True, array_like=True, tag=1):
    token: Ballot
    life: Whole
    blank: bool
    last_token: int
    last: Whole


class Fetch(Struct, frozen=True, array_like=True, tag=2):
    """A holder that takes up asks for the entry of that number, or for what is folded from byte `at` on."""

    token: Ballot
    number: Whole
    at: Whole


class Append(Struct, frozen=True, array_like=True, tag=3):
    """An entry behind one of the token `before`; without `entry_token` there is none, and what counts is
    `agreed`: up to there all is agreed on."""

    token: Ballot
    number: Whole
    before: int
    entry_token: Ballot
    agreed: Whole
    data: Annotated[bytes, Meta(max_length=150)]


class Confirm(Struct, frozen=True, array_like=True, tag=4):
    token: Ballot
    number: Whole
    life: Whole


class Lacking(Struct, frozen=True, array_like=True, tag=5):
    """It has what the holder has up to that number at the most; of a folded past `at` bytes. With a later
    token than the holder's it says that one."""

    token: Ballot
    number: Whole
    life: Whole
    blank: bool
    at: Whole = 0


class Fold(Struct, frozen=True, array_like=True, tag=6):
    """A piece of what all entries up to `base` were folded into."""

    token: Ballot
    base: Whole
    base_token: Ballot
    at: Whole
    whole: Whole
    check: Whole
    data: Annotated[bytes, Meta(max_length=150)]


class Found(Struct, frozen=True, array_like=True, tag=7):
    """All granters have answered, and too few remember: that life is blank no more, with nothing."""

    token: Ballot
    life: Whole


class Recover(Struct, frozen=True, array_like=True, tag=8):
    life: Whole


class Recovered(Struct, frozen=True, array_like=True, tag=9):
    """To that life: the highest token heeded here, our own where we serve by one, and our last entry's
    number."""

    life: Whole
    promised: Ballot
    serves: Ballot
    last: Whole


Word = Read | Remember | Fetch | Append | Confirm | Lacking | Fold | Found | Recover | Recovered


class Recorded(Struct, frozen=True, array_like=True, tag=12):
    """A word on a record, by its mark."""

    record: Number
    word: Word


class Asked(Struct, frozen=True, array_like=True, tag=13):
    """To the holder of a record: put that into it. `number`: the asker's own, for the answer."""

    number: Whole
    data: Annotated[bytes, Meta(max_length=150)]


class Answered(Struct, frozen=True, array_like=True, tag=14):
    number: Whole
    data: Annotated[bytes, Meta(max_length=150)]
