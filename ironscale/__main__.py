"""Starts one sidecar: `python -m ironscale`."""

from __future__ import annotations

import os
import signal
import sys

import uvloop

from ironscale.net.config import ConfigError
from ironscale.net.sidecar import serve


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # hazard: it would end the process
    try:
        uvloop.run(serve(os.environ))
    except ConfigError as error:
        print(f"ironscale: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"ironscale: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
