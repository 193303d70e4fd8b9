"""`python -m reedspoke` starts one real scheduler; PROXY_* tell it what it needs."""

import sys

from reedspoke.net.node import main

if __name__ == "__main__":
    sys.exit(main())
