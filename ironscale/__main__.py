"""Starts one sidecar: `python -m ironscale`."""

from __future__ import annotations

import os
import sys

import uvloop

from ironscale.net.config import ConfigError, load
from ironscale.net.sidecar import serve


def main() -> int:
    try:
        config = load(os.environ)
        uvloop.run(serve(config))
    except ConfigError as error:
        print(f"ironscale: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"ironscale: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
