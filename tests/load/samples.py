"""Scenarios for tests: small, and changed by text."""

from __future__ import annotations

from pathlib import Path

from ironscale.load.scenario import Scenario, parse

VIEW = '[[class]]\nname = "view"\ndeadline_ms = 5000\naim_ms = 300\n'
SUBMIT = (
    '[[class]]\nname = "submit"\nshare = 0.5\neffect = "at_most_once"\ndeadline_ms = 5000\nbody_bytes = [10, 100]\n'
)
MARK = '[[class]]\nname = "mark"\nshare = 0.5\neffect = "deduplicated"\ndeadline_ms = 5000\n'
TARGET = '[target]\naddress = "127.0.0.1:9"\n'


def text(*parts: str, seconds: float = 2, rate: float = 200, shape: str = "constant", head: str = "") -> str:
    return "\n".join(
        [f'seed = "t"\nduration_s = {seconds}\n{head}', f'[[arrivals]]\nshape = "{shape}"\nrate = {rate}\n', *parts]
    )


def scenario(*parts: str, seconds: float = 2, rate: float = 200, shape: str = "constant", head: str = "") -> Scenario:
    return parse(text(*parts, seconds=seconds, rate=rate, shape=shape, head=head), "t.toml", Path("."))
