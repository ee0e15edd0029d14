"""What whole fleets send cold upstreams, seed by seed: `python -m bench.cold [--seeds 1000] [--first 0] [--jobs 4]`.

Real decisions in virtual time (tests/cold_fleet.py), the even seeds by the site's settings and the odd ones by what the
pages allow; `--chance` lets requests of one class differ in their work, too. By size: plays in which a cold upstream
fell by what sidecars sent that had been told of its start, the most of any window in shares of what is borne there,
and what the cold ones got of what they could do.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import time
from concurrent.futures import ProcessPoolExecutor

from tests.cold_fleet import FLEET_SIZES, Verdict, random_case, simulate


def played(about: tuple[int, int, float]) -> tuple[int, int, Verdict]:
    seed, instances, chance = about
    return seed, instances, simulate(random_case(seed, instances, chance))


def share(ordered: list[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def main(argv: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="bench.cold", description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--sizes", type=int, nargs="+", default=[*FLEET_SIZES])
    parser.add_argument("--jobs", type=int, default=4, help="processes, 1 to 8")
    parser.add_argument("--chance", type=float, default=0.0, help="how far the work of one class's requests differs")
    options = parser.parse_args(argv)
    if not (1 <= options.jobs <= 8 and options.seeds >= 1 and min(options.sizes) >= 1):
        parser.error("expected 1 to 8 jobs, one seed and sizes of 1 or more")
    begun_s, found = time.monotonic(), dict[int, list[tuple[int, Verdict]]]()
    seeds = range(options.first, options.first + options.seeds)
    plays = [(seed, size, options.chance) for seed in seeds for size in options.sizes]
    with ProcessPoolExecutor(options.jobs) as pool:
        for seed, size, verdict in pool.map(played, plays, chunksize=8):
            found.setdefault(size, []).append((seed, verdict))
    print(f"seeds {options.first} to {options.first + options.seeds - 1}, {time.monotonic() - begun_s:.0f} s")
    print("sidecars  broken: site, edge  of borne: p50, p99, most; of able: p10, p50, p90; served in time")
    for size, all_of in found.items():
        verdicts = [verdict for _, verdict in all_of]
        worst, used = (sorted(v.worst for v in verdicts), sorted(v.used for v in verdicts))
        broken = [[seed for seed, v in all_of if v.overloads and seed % 2 == odd] for odd in (0, 1)]
        shares = [share(worst, 0.5), share(worst, 0.99), worst[-1], *(share(used, part) for part in (0.1, 0.5, 0.9))]
        print(f"{size:8}  {len(broken[0]):12}  {len(broken[1]):4}  ", "  ".join(f"{one:6.2f}" for one in shares),
              f"  {statistics.mean(v.served for v in verdicts):6.4f}")
        if broken[0] or broken[1]:
            print(f"          seeds {' '.join(map(str, sorted(broken[0] + broken[1])[:20]))}")
    return 1 if any(v.overloads for all_of in found.values() for _, v in all_of) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
