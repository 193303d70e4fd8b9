"""`python -m reedspoke` starts one real scheduler; PROXY_* tell it what it needs. With arguments, or with an
operator file named in the environment, it is the command line."""

import gc
import os
import sys


def main() -> int:
    # Guards the start of hundreds of processes at once: all that is made here stays, and `serve` lets the
    # collector begin once it stands.
    gc.disable()
    if len(sys.argv) < 2 and not os.environ.get("REEDSPOKE_OPERATOR"):
        from reedspoke.start import main as run_scheduler

        return run_scheduler()
    gc.enable()
    try:
        from reedspoke.cli.main import main as command
    except ModuleNotFoundError as error:
        print(
            f"reedspoke: {error.name} is not installed: requirements-operator.txt names it", file=sys.stderr
        )
        return 2
    return command()


if __name__ == "__main__":
    sys.exit(main())
