"""The values that the chain replicates: entries, committed configurations and ids of accepted changes."""

from __future__ import annotations

from hashlib import sha256

from msgspec import Struct


class Entry(Struct, array_like=True, frozen=True):
    """One accepted change of the configuration; `view` is the view in which the head accepted it."""

    sequence: int
    view: int
    generation: int
    document: bytes


class CommittedConfiguration(Struct, array_like=True, frozen=True):
    """A configuration that every member of the chain has on disk."""

    sequence: int
    generation: int
    document: bytes
    view: int = 0  # the view in which the head accepted it


class ChangeId(Struct, array_like=True, frozen=True):
    """Id of an accepted change: its generation and the SHA-256 of its document.

    A resubmitted change has the same id, so that it is acknowledged again without being applied twice.
    """

    generation: int
    digest: bytes


def committed_configuration(entry: Entry) -> CommittedConfiguration:
    """The configuration of a committed entry."""
    return CommittedConfiguration(entry.sequence, entry.generation, entry.document, entry.view)


def change_id_of(entry: Entry) -> ChangeId:
    """The id of this entry in the history of accepted changes."""
    return ChangeId(entry.generation, sha256(entry.document).digest())
