"""Signals that come before a program has its event loop: remembered, and obeyed once it has one.

Without this, SIGHUP or SIGTERM during the imports would end the process by the signal itself. This module
imports nothing that takes time, and each program calls `remember_signals` before it imports its own parts.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop

REMEMBERED = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

_came: list[int] = []


def remember_signals() -> None:
    """From now on these signals only leave a note, until the event loop handles them."""
    for number in REMEMBERED:
        signal.signal(number, _remember)


def handle_signals(
    loop: AbstractEventLoop, on_end: Callable[[], None], on_reload: Callable[[], None]
) -> None:
    """Have the loop handle these signals from now on, the remembered ones first."""
    handlers: dict[int, Callable[[], None]] = {
        signal.SIGHUP: on_reload,
        signal.SIGTERM: on_end,
        signal.SIGINT: on_end,
    }
    for number, handler in handlers.items():
        loop.add_signal_handler(number, handler)
    for number in _came:
        handlers[number]()
    _came.clear()


def _remember(number: int, frame: FrameType | None) -> None:
    _came.append(number)
