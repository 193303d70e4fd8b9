"""`python -m reedspoke.lab.fleet_soak.node MODULE`: runs a program of the fleet with stand-ins around it."""

from __future__ import annotations

import os

from reedspoke.common.early_signals import remember_signals

ENTERED_LINE = b'{"event": "entered"}\n'  # from here on no signal ends the process unasked


def run() -> None:
    """Remember signals as the program itself would, say so, then import the rest."""
    remember_signals()
    os.write(1, ENTERED_LINE)
    from reedspoke.lab.fleet_soak.node_run import main

    main()


if __name__ == "__main__":
    run()
