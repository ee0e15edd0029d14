"""A process that does nothing until it is ended: `python -m tests.scale.sleeper FILE [deaf]`; FILE says it is there."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

if __name__ == "__main__":
    if "deaf" in sys.argv:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
    Path(sys.argv[1]).touch()
    while True:
        signal.pause()
