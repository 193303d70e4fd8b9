"""`python -m reedspoke` starts one scheduler, which the PROXY_* environment variables configure.

With arguments, or with an operator file named in the environment, it is the command line.
"""

import gc
import os
import sys


def main() -> int:
    """Run the scheduler or a command. Returns the exit status."""
    # Hundreds of processes may start at once. Everything that is created during the start lives until the
    # end, so garbage collection is enabled only by `serve`, after the start.
    gc.disable()
    if len(sys.argv) < 2 and not os.environ.get("REEDSPOKE_OPERATOR"):
        from reedspoke.start import main as run_scheduler

        return run_scheduler()
    gc.enable()
    try:
        from reedspoke.cli.main import main as command
    except ModuleNotFoundError as error:
        print(
            f"reedspoke: {error.name} is not installed: it is listed in requirements-operator.txt",
            file=sys.stderr,
        )
        return 2
    return command()


if __name__ == "__main__":
    sys.exit(main())
