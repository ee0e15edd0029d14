"""What second answers of upstreams do, and what the defence costs: `python -m bench.surplus [--seconds 6]`.

One real sidecar, three upstreams, a closed loop of clients. Prints for each lateness of second answers: requests, how
many were served, rules broken, and connections to upstreams opened for each request. `--workers` sets the load.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

import uvloop

from tests.faults.site import Site
from tests.faults.surplus import Lateness, copies_due, send_closed_loop, surplus_site


async def measure(lateness: Lateness, seconds: float, workers: int, folder: Path) -> str:
    """One play; returns its line."""
    site = Site(folder)
    try:
        sidecar = await surplus_site(site, lateness, 1).serving(3)
        await send_closed_loop(sidecar.clients, seconds, workers, 1)
        requests = len(site.ledger.calls)
        attempts = sum(len(call.arrivals) for call in site.ledger.calls.values())
        opened = sum(upstream.opened for upstream in site.upstreams)
        return (f"{lateness.name}: {requests} requests, served {site.ledger.results()['200'] / requests:.3f}, "
                f"{copies_due(site)} second answers due, {len(site.ledger.violations())} rules broken, "
                f"{opened / attempts:.3f} connections an attempt")
    finally:
        await site.stop()


def main(argv: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="bench.surplus", description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--workers", type=int, default=8)
    options = parser.parse_args(argv)
    for lateness in Lateness:
        with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            print(runner.run(measure(lateness, options.seconds, options.workers, Path(folder))), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
