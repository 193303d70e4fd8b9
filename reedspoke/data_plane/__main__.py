"""`python3 -m reedspoke.data_plane`: runs a data plane node with the settings of the settings file."""

from __future__ import annotations

import sys

from reedspoke.common.early_signals import remember_signals


def run() -> int:
    """Run `program.main` and return its exit status.

    The program is imported only after `remember_signals`, so that a signal during the import is not lost.
    """
    remember_signals()
    from reedspoke.data_plane.program import main

    return main()


if __name__ == "__main__":
    sys.exit(run())
