"""`python3 -m reedspoke.control_plane`: run a control plane node with the settings file."""

from __future__ import annotations

import sys

from reedspoke.common.early_signals import remember_signals


def run() -> int:
    """Run the program and return its exit status.

    The program is imported after the signal handlers are installed, so that a signal during the import is
    not lost.
    """
    remember_signals()
    from reedspoke.control_plane.program import main

    return main()


if __name__ == "__main__":
    sys.exit(run())
