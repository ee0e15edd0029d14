"""Clients that connect all the time while a listener closes, again and again: `python -m bench.closing [--closes 500]`.

Prints how many of their requests were answered, and how many were reset after their connect had succeeded; with
`--shared`, as a successor listens on the same port.
"""

from __future__ import annotations

import argparse
import sys

from tests.faults.closing import play


def main(argv: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="bench.closing", description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--closes", type=int, default=500)
    parser.add_argument("--shared", action="store_true", help="a successor listens before each close")
    options = parser.parse_args(argv)
    counts = play(options.closes, options.shared)
    print(f"{options.closes} closes: {counts.answered} answered, {counts.slow} of them after 0.1 s, "
          f"{counts.reset} reset, {counts.refused} refused")
    return int(counts.reset > 0)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
