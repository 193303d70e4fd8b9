"""Renders tables as plain text."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec
from msgspec import Struct

COLUMN_GAP = "  "
StatusFields = dict[str, msgspec.Raw]


class Members(Struct, frozen=True):
    """The members of the fleet, as a status reports them."""

    chain: tuple[str, ...] = ()
    voters: tuple[str, ...] = ()
    peers: tuple[str, ...] = ()
    edges: tuple[str, ...] = ()


def render_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Columns as wide as their longest cell."""
    cells = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    padded_rows = (
        COLUMN_GAP.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)) for row in cells
    )
    return "\n".join(row.rstrip() for row in padded_rows)


def status_table(status: StatusFields) -> str:
    """A row for each field; what is nested is shown as JSON."""
    return render_table(("field", "value"), [(name, cell_text(value)) for name, value in status.items()])


def cell_text(value: msgspec.Raw) -> str:
    """A JSON value on one line; a string without its quotes."""
    text = bytes(value).decode()
    return str(msgspec.json.decode(text)) if text.startswith('"') else text


def member_table(members: Members) -> str:
    """A row for each scheduler, by role; the chain is listed from head to tail."""
    rows = [("chain", name) for name in members.chain]
    rows += [("voter", name) for name in members.voters]
    rows += [("peer", name) for name in members.peers]
    rows += [("edge", name) for name in members.edges]
    return render_table(("role", "scheduler"), rows)
