"""Runs a module as `python -m` does, and ends with the process that started it:
`python parent_death.py PARENT MODULE [ARGUMENT ...]`.

A generator that is killed with SIGKILL can end nobody; so the kernel tells its children (prctl(2), PR_SET_PDEATHSIG),
and they end as they do at any SIGTERM. Linux only.
"""

from __future__ import annotations

import ctypes
import os
import runpy
import signal
import sys

PR_SET_PDEATHSIG = 1


def tie(parent: int) -> None:
    """From now on the end of `parent`, a process id, is a SIGTERM here. Raises OSError if the kernel refuses."""
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_PDEATHSIG, signal.SIGTERM, 0, 0, 0) != 0:
        raise OSError(ctypes.get_errno(), "prctl(PR_SET_PDEATHSIG)")
    if os.getppid() != parent:  # hazard: it ended before the kernel knew
        sys.exit(0)


def main() -> None:
    tie(int(sys.argv[1]))
    module = sys.argv[2]
    del sys.argv[1:3]  # what is left is the module's own
    sys.path[0] = os.getcwd()  # where `python -m` looks first, in place of this file's folder
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
