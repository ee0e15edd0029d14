"""Published versions under drawn faults, many seeds: `python -m bench.published [--seeds 0:2000] [--jobs 4]`.

Each seed is a play in virtual time (`ironscale.stage.published_simulation`), checked by
`ironscale.stage.published_checkers`. Printed:
what did not hold, with its seed, and how long versions took to be held by who could reach them.
"""

from __future__ import annotations

import argparse
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from ironscale.stage.history import Entry, of
from ironscale.stage.published_checkers import account, check
from ironscale.stage.published_simulation import PLANTS, play_seed


def waits_s(entries: list[Entry]) -> list[float]:
    """From each commit to each time that an instance was at or past it, where it was behind it then."""
    commits = [(entry["version"], entry["at_us"]) for entry in of(entries, "commit")]
    held: dict[str, list[tuple[int, int]]] = {}
    for entry in of(entries, "runs"):
        held.setdefault(entry["who"], []).append((entry["at_us"], entry["position"]))
    return [(next((at for at, position in moments if position >= version and at >= at_us), at_us) - at_us) / 1e6
            for moments in held.values() for version, at_us in commits]


def one(seed: int, plant: str) -> tuple[int, list[str], list[float], dict[str, int]]:
    entries = play_seed(seed, plant=plant)
    return seed, check(entries), waits_s(entries), account(entries)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="0:2000", help="FIRST:END")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--plant", choices=PLANTS, default="")
    given = parser.parse_args()
    first, end = map(int, given.seeds.split(":"))
    start_s, broken, found, seen = time.monotonic(), 0, list[float](), dict[str, int]()
    with ProcessPoolExecutor(given.jobs) as pool:
        for seed, wrong, waits, counts in pool.map(partial(one, plant=given.plant), range(first, end), chunksize=8):
            broken += bool(wrong)
            found += waits
            for name, count in counts.items():
                seen[name] = seen.get(name, 0) + count
            for text in wrong[:3]:
                print(f"seed {seed}: {text}")
    found.sort()
    print(f"{end - first} seeds in {time.monotonic() - start_s:.0f} s, {broken} broken; {seen}")
    if found:
        print("from commit to held, cuts and all, s: " + ", ".join(
            f"{name} {found[min(len(found) - 1, int(share * len(found)))]:.2f}"
            for name, share in (("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999), ("most", 1.0))))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
