"""Size limits of a frame and its header."""

from __future__ import annotations

MAX_DATAGRAM_BYTES = 256  # the platform invalidates a run in which a longer datagram is sent
MAX_FRAME_BYTES = MAX_DATAGRAM_BYTES * 4 // 5  # a frame also has to fit the limit as base 85 text
HEADER_BYTES = 5
MAX_ARRAY_HEADER_BYTES = 3
MAX_HEADER_BYTES = HEADER_BYTES + MAX_ARRAY_HEADER_BYTES
