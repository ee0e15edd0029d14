"""Starts one sidecar: `python -m ironscale`."""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Mapping

import uvloop

from ironscale.net.config import ConfigError
from ironscale.net.sidecar import Beside, serve


def main(environ: Mapping[str, str] = os.environ) -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # hazard: it would end the process
    try:
        beside, reuse_port = operated(environ)
        uvloop.run(serve(environ, beside, reuse_port))
    except ConfigError as error:
        print(f"ironscale: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"ironscale: {error}", file=sys.stderr)
        return 1
    return 0


def operated(environ: Mapping[str, str]) -> tuple[Beside | None, bool]:
    """What the operator file switches on. Nothing of it is loaded where no variable names one."""
    if not environ.get("GW_OPERATOR") and not environ.get("GW_AGENT"):
        return None, False
    from ironscale import operator_file

    try:
        found = operator_file.from_environment(environ)
        if found.control is None:
            return None, found.sidecar.reuse_port
        from ironscale.control.beside import beside

        return beside(found.control, environ), found.sidecar.reuse_port
    except operator_file.OperatorFileError as error:
        raise ConfigError(str(error)) from error


if __name__ == "__main__":
    sys.exit(main())
