"""Which discovery is in force after each order of the events that name, replace or take back its address."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.control.configured_sidecar import ConfiguredSidecar, Event, ExpectedAddress, walk_of_all_transitions
from tests.sockets import run

PLAY_TIMEOUT_S = 240.0


def play(folder: Path, events: list[Event], has_environment: bool) -> None:
    """Plays the events with one sidecar."""

    async def test() -> None:
        sidecar = ConfiguredSidecar(folder, has_environment)
        played: list[str] = []
        try:
            await sidecar.start()
            await sidecar.check()
            for event in events:
                played.append(str(event))
                await sidecar.play(event)
        except AssertionError as error:
            raise AssertionError(f"after {len(played)} events, the last of them {played[-6:]}: {error}") from error
        finally:
            await sidecar.stop()

    run(test, PLAY_TIMEOUT_S)


# Guards against a reload, a restart or a way back that takes back a discovery which is still rolled out or published.
@pytest.mark.parametrize("has_environment", [False, True], ids=["file", "environment"])
def test_the_discovery_in_force_follows_from_its_sources_in_any_order(tmp_path: Path, has_environment: bool) -> None:
    play(tmp_path, walk_of_all_transitions(ExpectedAddress(has_environment, has_environment)), has_environment)
