"""Answers to peers that lack adds: the missing entries if they are retained, else the state in chunks."""

from __future__ import annotations

from reedspoke.control_plane.tallies.counts import START
from reedspoke.control_plane.tallies.messages import TallyCursor, TallyEntries, TallyStateChunk, VersionVector
from reedspoke.control_plane.tallies.records import TallyState


def answer_pull(
    state: TallyState, vector: VersionVector, incarnation: int, entry_limit: int, id_limit: int
) -> list[TallyEntries | TallyStateChunk]:
    """Up to `entry_limit` adds that a peer with this vector lacks, or the first chunk of the state."""
    left = entry_limit
    answers: list[TallyEntries | TallyStateChunk] = []
    for origin, number in state.log.vector.items():
        known = vector.get(origin, 0)
        if number <= known or left <= 0:
            continue
        entries = state.log.entries_after(origin, known, left)
        if entries is None:
            return [state_chunk(state, START, incarnation, id_limit)]
        left -= len(entries.entries)
        answers.append(entries)
    return answers


def state_chunk(state: TallyState, after: TallyCursor, incarnation: int, id_limit: int) -> TallyStateChunk:
    """The part of the state after a position, up to `id_limit` ids."""
    part = state.counts.slice_after(after, id_limit)
    return TallyStateChunk(incarnation, after, part.next, dict(state.log.vector), part.items)
