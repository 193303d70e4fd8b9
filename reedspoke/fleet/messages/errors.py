"""Errors of the fleet's messages."""

from __future__ import annotations

from reedspoke.errors import ReedspokeError


class FrameError(ReedspokeError, ValueError):
    """The received bytes are not a frame of this protocol; the text names the reason."""

    code = "frame-malformed"
    remedy = "check which hosts send to the fleet's address, and that all members run the same version"
