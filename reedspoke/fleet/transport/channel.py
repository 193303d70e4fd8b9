"""One scheduler's channel for frames: it encodes sent frames and decides which received frames are accepted.

The channel owns the sequence number of sent frames and the last known incarnation of each peer. It also
stores the past incarnations of a peer, because their last frames may arrive after the first ones of the next
incarnation and must not overwrite newer state. This module performs no I/O.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from reedspoke.fleet.messages.errors import FrameError
from reedspoke.fleet.messages.frame import FIELD_MASK, Frame, Message, decode_frame, encode_frames
from reedspoke.fleet.transport.authentication import FrameKeys

MAX_PAST_INCARNATIONS = 8  # stored for each peer
UNKNOWN_SENDER = -1


class FrameChannel:
    """Encodes messages as frames and decodes the frames of peers.

    `counters` has the number of received frames by result: `accepted`, `unauthenticated`, `malformed`,
    `unknown_sender` (not a peer, or not the one with the source address) and `stale` (a past incarnation).
    """

    def __init__(self, node_id: int, members: int, incarnation: int, keys: FrameKeys | None = None) -> None:
        """If `keys` is given, frames are signed and only signed frames are accepted."""
        self.keys = keys
        self.node_id, self.members, self.incarnation = node_id, members, incarnation & FIELD_MASK
        self.counters: Counter[str] = Counter()
        self._incarnations: dict[int, int] = {}
        self._past_incarnations: dict[int, list[int]] = {}
        self._sequence = 0

    def encode(self, messages: Iterable[Message]) -> list[bytes]:
        """Returns the datagrams that carry the messages."""
        bodies = encode_frames(self.node_id, self.incarnation, self._sequence + 1, messages)
        self._sequence = self._sequence + len(bodies) & FIELD_MASK
        return [self.keys.sign(body) for body in bodies] if self.keys is not None else bodies

    def receive(self, datagram: bytes, sender: int = UNKNOWN_SENDER) -> Frame | None:
        """Returns the frame of a datagram from the member `sender`, or None if the frame is not accepted."""
        body = self.keys.verify(datagram) if self.keys is not None else datagram
        if body is None:
            self.counters["unauthenticated"] += 1
            return None
        try:
            frame = decode_frame(body)
        except FrameError:
            self.counters["malformed"] += 1
            return None
        if not self._is_from_peer(frame, sender):
            self.counters["unknown_sender"] += 1
            return None
        if not self._update_incarnation(frame):
            self.counters["stale"] += 1
            return None
        self.counters["accepted"] += 1
        return frame

    def _is_from_peer(self, frame: Frame, sender: int) -> bool:
        is_peer = frame.sender != self.node_id and frame.sender < self.members
        return is_peer and sender in (UNKNOWN_SENDER, frame.sender)

    def _update_incarnation(self, frame: Frame) -> bool:
        """Stores the sender's incarnation. Returns False for a past incarnation of the sender."""
        past = self._past_incarnations.setdefault(frame.sender, [])
        if frame.incarnation in past:
            return False
        previous = self._incarnations.get(frame.sender)
        if previous is not None and previous != frame.incarnation:
            past.append(previous)
            del past[:-MAX_PAST_INCARNATIONS]
        self._incarnations[frame.sender] = frame.incarnation
        return True
