"""Encoded commands and outcomes fit in the frames between schedulers."""

from __future__ import annotations

from reedspoke.booking.messages import (
    MAX_OUTCOME_BYTES,
    BookingOutcome,
    BookingStatus,
    FreeWindow,
    ReserveCommand,
    encode_command,
    encode_outcome,
)


def test_encoded_commands_and_outcomes_fit_a_frame() -> None:
    longest = "n" * 24
    data = encode_command(
        ReserveCommand(longest, 65535, longest, longest, 65535, 2**32 - 1, 2**32 - 1, 65535, 65535)
    )
    assert len(data) <= 150
    outcome = BookingOutcome(
        BookingStatus.REFUSED,
        longest,
        (longest,) * 5,
        (FreeWindow(2**31, 2**31),) * 3,
        longest,
        longest,
        9,
        2**31,
        2**31,
        9,
    )
    assert len(encode_outcome(outcome)) <= MAX_OUTCOME_BYTES
