"""Compiled decisions: `python -m bench.compiled FOLDER [--seeds 12]` (extra `dev`, a C compiler, Python's headers).

Copies the package to FOLDER, which must not exist, compiles the decisions there with mypyc, and plays the same
seeds in both trees in virtual time: every event, send and end must be the same. A difference is named and ends it with
status 1, and FOLDER is then not to be used. `python -m bench.cost --vs FOLDER` measures what it saves.
"""

from __future__ import annotations

import argparse
import hashlib
import os
import shutil
import subprocess
import sys
import time
from pathlib import Path

from bench.stage import Fault, S, Stage
from ironscale import balance
from ironscale import interface as api

ROOT = Path(__file__).parent.parent
MODULES = [f"ironscale/{name}.py" for name in ("interface", "confidence", "sum_tree", "balance")]
FAULTS = (Fault("silent", 4 * S, 7 * S, zone=1), Fault("reset", 8 * S, 9 * S, zone=2),
          Fault("half", 9 * S, 12 * S, kind=1))


class Watched(Stage):
    """Writes down all that goes into the decisions and what comes of it."""

    def __init__(self, seed: int) -> None:
        self.digest, self.count = hashlib.sha256(), 0
        super().__init__(seed, sides=3, nodes=9, rate_per_s=150.0, faults=FAULTS)

    def note(self, *what: object) -> None:
        self.count += 1
        self.digest.update(repr((self.now_us, *what)).encode())

    def tell(self, index: int, event: api.Event) -> None:
        self.note(index, event)
        super().tell(index, event)

    def send(self, index: int, action: api.Send) -> None:
        self.note(index, action)
        super().send(index, action)

    def finish(self, index: int, ident: int, how: str) -> None:
        self.note(index, ident, how)
        super().finish(index, ident, how)


def play(seeds: int) -> list[str]:
    lines = []
    for seed in range(1, seeds + 1):
        stage = Watched(seed)
        start_s = time.process_time()
        stage.run(14 * S)
        lines.append(f"{seed} {stage.count} {stage.digest.hexdigest()} {time.process_time() - start_s:.2f}")
    return lines


def played(tree: Path, seeds: int, compiled: bool) -> list[str]:
    wanted = "compiled" if compiled else "plain"
    found = subprocess.run([sys.executable, "-B", "-m", "bench.compiled", wanted, "--play", "--seeds", str(seeds)],
                           cwd=tree, env={**os.environ, "PYTHONPATH": str(tree)}, check=True, text=True,
                           stdout=subprocess.PIPE)
    return found.stdout.splitlines()


def build(folder: Path) -> None:
    folder.mkdir(parents=True)
    for name in ("ironscale", "bench"):
        shutil.copytree(ROOT / name, folder / name, ignore=shutil.ignore_patterns("__pycache__", "*.so"))
    subprocess.run([sys.executable, "-m", "mypyc", "--config-file", os.devnull, *MODULES], cwd=folder, check=True,
                   stdout=sys.stderr)
    shutil.rmtree(folder / "build")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else "")
    parser.add_argument("folder")
    parser.add_argument("--seeds", type=int, default=12)
    parser.add_argument("--play", action="store_true", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.play:
        # hazard: the same modules twice would agree with each other
        is_compiled = not str(balance.__file__).endswith(".py")
        if is_compiled != (arguments.folder == "compiled"):
            print(f"expected {arguments.folder} decisions, found {balance.__file__}", file=sys.stderr)
            return 2
        print(*play(arguments.seeds), sep="\n")
        return 0
    folder = Path(arguments.folder).resolve()
    if folder.exists():
        print(f"{folder}: expected a folder that does not exist yet, found one", file=sys.stderr)
        return 2
    build(folder)
    plain, compiled = played(ROOT, arguments.seeds, False), played(folder, arguments.seeds, True)
    events = saved = 0.0
    for one, other in zip(plain, compiled, strict=True):
        if one.split()[:3] != other.split()[:3]:
            print(f"seed {one.split()[0]}: expected the same actions, found plain {one}, compiled {other}",
                  file=sys.stderr)
            return 1
        events += int(one.split()[1])
        saved += float(other.split()[3]) / float(one.split()[3]) / len(plain)
    print(f"{len(plain)} seeds, {events:.0f} events and actions: the same; CPU of a play {saved:.2f} of plain")
    return 0


if __name__ == "__main__":
    sys.exit(main())
