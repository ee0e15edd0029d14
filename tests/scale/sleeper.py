"""A process that sleeps until it is killed: `python -m tests.scale.sleeper FILE [deaf]`. It creates FILE once it runs;
with `deaf` it ignores SIGTERM."""

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
