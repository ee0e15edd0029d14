"""Which discovery is in force after each order of the events that name, replace or take back its address."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.control.configured_sidecar import (
    ConfiguredSidecar,
    Event,
    ExpectedAddress,
    Source,
    walk_of_all_transitions,
)
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


# Guards against a file under an overlay that seems not to have been read.
def test_the_log_tells_each_move_and_a_file_that_waits(tmp_path: Path) -> None:
    async def test() -> None:
        sidecar = ConfiguredSidecar(tmp_path)
        try:
            await sidecar.start()
            await sidecar.check()
            for event in (Event.ROLL_OUT, Event.SIGHUP, Event.EDIT_FILE, Event.ROLL_BACK, Event.RESTORE_FILE):
                await sidecar.play(event)
            assert [line.removeprefix("app-0: ") for line in sidecar.log().splitlines() if "discovery" in line] == [
                f"reconfigure: discovery is at {sidecar.address(Source.ROLLED_OUT)}",
                "reload: the file's discovery counts once no overlay names one",
                f"reconfigure: discovery is at {sidecar.address(Source.EDITED_FILE)}",
                f"reload: discovery is at {sidecar.address(Source.FILE)}"]
        finally:
            await sidecar.stop()

    run(test)
