"""Errors of the fleet's messages."""

from __future__ import annotations

from reedspoke.errors import ReedspokeError


class FrameError(ReedspokeError, ValueError):
    """The bytes received are no frame of this protocol; the text says why."""

    code = "frame-malformed"
    remedy = "see who sends to the fleet's address, and that all members run one version"
