"""The state file of a supervised instance: what is written is read, and what can't be read hides nothing else."""

from __future__ import annotations

from pathlib import Path

import pytest

from ironscale.agent.instance_state import InstanceState, read_state


# Guards against a process that the next agent does not learn of.
@pytest.mark.parametrize("state", [
    InstanceState(), InstanceState("b1"), InstanceState("b1", 7, 9, True), InstanceState("", 0, 0, False, ("b2", "b3")),
    InstanceState("b1", 7, 9, True, ("b2",)), InstanceState("b1", 7, 9, False, ("b2", "b3"), "b3")])
def test_what_is_written_is_read(tmp_path: Path, state: InstanceState) -> None:
    path = tmp_path / "app-0.state"
    state.write(path)
    assert read_state(path) == state
    assert [one.name for one in tmp_path.iterdir()] == [path.name]


@pytest.mark.parametrize(("text", "state"), [
    ("", InstanceState()), ("[]", InstanceState()), ("\x00", InstanceState()),
    ('{"pid": "x", "held": true, "others": ["b2"]}', InstanceState(is_stopped=True, others=("b2",))),
    ('{"boot": "b1", "pid": 7, "ticks": 9, "others": 5}', InstanceState("b1", 7, 9)),
    ('{"boot": "b1", "pid": 7, "ticks": 9, "held": false}', InstanceState("b1", 7, 9)),  # of a former version
    ('{"boot": "b1", "pid": null}', InstanceState()),
])
# Guards against a damaged part of the file that hides the others.
def test_what_is_damaged_or_missing_reads_as_not_there(tmp_path: Path, text: str, state: InstanceState) -> None:
    path = tmp_path / "app-0.state"
    path.write_text(text)
    assert read_state(path) == state
    assert read_state(tmp_path / "none.state") == InstanceState()
