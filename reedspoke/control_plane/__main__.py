"""`python3 -m reedspoke.control_plane`: run a control scheduler by the settings file."""

from __future__ import annotations

import sys

from reedspoke.common.early_signals import remember_signals


def run() -> int:
    """Exit status, as `program.main` has it. The program is imported once signals are remembered."""
    remember_signals()
    from reedspoke.control_plane.program import main

    return main()


if __name__ == "__main__":
    sys.exit(run())
