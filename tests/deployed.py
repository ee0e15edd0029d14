"""Builds and starts the commands of deploy/balancer.toml for tests."""

from __future__ import annotations

import fcntl
import functools
import subprocess
import tempfile
import tomllib
from hashlib import blake2b
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


@functools.cache
def build() -> None:
    """Creates `.venv`. A lock serializes the test workers: two builds at once would clear each other's unfinished
    environment."""
    lock_name = blake2b(str(ROOT).encode(), digest_size=8).hexdigest()
    with open(Path(tempfile.gettempdir()) / f"ironscale-build-{lock_name}.lock", "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=ROOT, check=True, timeout=300)
