"""Ids and amounts as bytes, little endian: 8 bytes an id, and as few bytes an amount as the largest needs."""

from __future__ import annotations

import sys
from array import array
from collections.abc import Sequence

ID_CODE = "Q"
AMOUNT_CODE = "q"
AMOUNT_CODES = ("b", "h", "i", AMOUNT_CODE)
ID_BYTES = array(ID_CODE).itemsize


def pack_ids(ids: Sequence[int]) -> bytes:
    """The bytes of these ids."""
    return _to_bytes(array(ID_CODE, ids))


def unpack_ids(packed: bytes) -> array[int]:
    """The ids in these bytes. Raises ValueError where they are no whole number of ids."""
    return _from_bytes(ID_CODE, packed)


def pack_amounts(amounts: Sequence[int]) -> bytes:
    """The bytes of these amounts, in the smallest width that holds them all."""
    for code in AMOUNT_CODES[:-1]:
        try:
            return _to_bytes(array(code, amounts))
        except OverflowError:
            continue
    return _to_bytes(array(AMOUNT_CODE, amounts))


def unpack_amounts(packed: bytes, count: int) -> array[int]:
    """The `count` amounts in these bytes. Raises ValueError where that is no width of amounts."""
    for code in AMOUNT_CODES:
        if array(code).itemsize * count == len(packed):
            return _from_bytes(code, packed)
    raise ValueError(f"{len(packed)} bytes for {count} amounts")


def _to_bytes(values: array[int]) -> bytes:
    if sys.byteorder == "big":
        values.byteswap()
    return values.tobytes()


def _from_bytes(code: str, packed: bytes) -> array[int]:
    values = array(code)
    values.frombytes(packed)
    if sys.byteorder == "big":
        values.byteswap()
    return values
