"""Signals that come before a program has its event loop: recorded, and handled once it has one.

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

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

_pending: list[int] = []  # in the order in which they came


def remember_signals() -> None:
    """Record the handled signals from now on, until `handle_signals` passes them to the event loop."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, _record)


def handle_signals(
    loop: AbstractEventLoop, on_end: Callable[[], None], on_reload: Callable[[], None]
) -> None:
    """Have the loop handle these signals from now on, the recorded ones first.

    SIGHUP calls `on_reload`; SIGTERM and SIGINT call `on_end`.
    """
    handlers: dict[int, Callable[[], None]] = {
        signal.SIGHUP: on_reload,
        signal.SIGTERM: on_end,
        signal.SIGINT: on_end,
    }
    for number, handler in handlers.items():
        loop.add_signal_handler(number, handler)
    for number in _pending:
        handlers[number]()
    _pending.clear()


def ignore_signals(loop: AbstractEventLoop) -> None:
    """Ignore what the loop has handled: once it is closed, a late signal would end the process by itself."""
    for number in HANDLED_SIGNALS:
        if loop.remove_signal_handler(number):
            signal.signal(number, signal.SIG_IGN)


def _record(number: int, frame: FrameType | None) -> None:
    _pending.append(number)
