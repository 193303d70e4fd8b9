"""Ids and amounts as little-endian bytes: 8 bytes per id, and the smallest width that holds all amounts."""

from __future__ import annotations

import sys
from array import array
from collections.abc import Sequence

ID_TYPE_CODE = "Q"
AMOUNT_TYPE_CODE = "q"
AMOUNT_TYPE_CODES = ("b", "h", "i", AMOUNT_TYPE_CODE)
ID_BYTES = array(ID_TYPE_CODE).itemsize


def pack_ids(ids: Sequence[int]) -> bytes:
    """Pack ids."""
    return _to_bytes(array(ID_TYPE_CODE, ids))


def unpack_ids(packed: bytes) -> array[int]:
    """Unpack ids. Raises ValueError if the length is not a multiple of the size of an id."""
    return _from_bytes(ID_TYPE_CODE, packed)


def pack_amounts(amounts: Sequence[int]) -> bytes:
    """Pack amounts in the smallest width that holds all of them."""
    for code in AMOUNT_TYPE_CODES[:-1]:
        try:
            return _to_bytes(array(code, amounts))
        except OverflowError:
            continue
    return _to_bytes(array(AMOUNT_TYPE_CODE, amounts))


def unpack_amounts(packed: bytes, count: int) -> array[int]:
    """Unpack `count` amounts. Raises ValueError if the length fits none of the widths."""
    for code in AMOUNT_TYPE_CODES:
        if array(code).itemsize * count == len(packed):
            return _from_bytes(code, packed)
    raise ValueError(f"{len(packed)} bytes do not hold {count} amounts of any width")


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
