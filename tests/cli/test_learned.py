"""`ironscale learned`: what a file holds, for people and scripts, and how it is thrown away."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from ironscale.cli.learned import learned
from ironscale.cli.output import CliError, Exit
from ironscale.learned.codec import encode
from ironscale.learned.store import SnapshotFile
from ironscale.learned.timestamps import current_timestamp, machine_boot_id
from tests.learned.samples import snapshot, upstream_sample


def call(*arguments: str) -> Result:
    return CliRunner().invoke(learned, arguments)


def error_of(result: Result, code: Exit) -> str:
    assert isinstance(result.exception, CliError) and result.exception.code is code
    return str(result.exception)


@pytest.fixture
def file(tmp_path: Path) -> Path:
    taken = current_timestamp(machine_boot_id())
    upstreams = (upstream_sample("up-0", age_us=0),
                 upstream_sample("up-1", slots=0.9, timeout_doublings=3, age_us=0, first_hand=False),
                 upstream_sample("up-2", slots=1 / 64, age_us=20_000_000),
                 upstream_sample("up-3", age_us=7 * 86_400_000_000))
    store = SnapshotFile(tmp_path / "n0.learned")
    store.save(encode(snapshot(0, taken_at=replace(taken, wall_us=taken.wall_us - 3_600_000_000), upstreams=upstreams)))
    return tmp_path / "n0.learned"


def test_what_it_holds_is_shown_with_what_it_is_worth(file: Path) -> None:
    result = call("show", str(file))
    assert result.exit_code == 0, result.output
    for words in ("n0: written", "the clock stepped by +3600.0 s since", "version 2", "silent", "another", "nothing"):
        assert words in result.output, words


def test_as_json_for_scripts(file: Path) -> None:
    found = json.loads(call("show", str(file), "-o", "json").output)
    by_name = {one["name"]: one for one in found["upstreams"]}
    assert found["sidecar"] == "n0" and 0 <= found["ageSeconds"] < 60
    assert by_name["up-0"]["worthNow"] == pytest.approx(2.5, rel=0.1) and by_name["up-3"]["worthNow"] is None
    assert by_name["up-1"]["worthNow"] == 0.125 and by_name["up-1"]["firstHand"] is False
    assert 0.2 < by_name["up-2"]["worthNow"] < 0.6  # two half-lives of ten seconds


@pytest.mark.parametrize(("data", "words"), [
    (None, "expected a file, got nothing"), (b"rubbish", "expected it to begin with"), (b"", "expected it to begin"),
])
def test_what_can_not_be_used_is_one_line(data: bytes | None, words: str, tmp_path: Path) -> None:
    path = tmp_path / "x.learned"
    if data is not None:
        path.write_bytes(data)
    assert words in error_of(call("show", str(path)), Exit.USAGE)
    (tmp_path / "x.learned.1").write_bytes(encode(snapshot()))
    if data is not None:
        assert f"ironscale learned show {path}.1" in error_of(call("show", str(path)), Exit.USAGE)


def test_a_time_in_the_future_is_shown_and_said(tmp_path: Path) -> None:
    taken = current_timestamp(machine_boot_id())
    path = tmp_path / "n0.learned"
    path.write_bytes(encode(snapshot(taken_at=replace(taken, running_us=taken.running_us + 10**10))))
    found = json.loads(call("show", str(path), "-o", "json").output)
    assert found["ageSeconds"] is None and "a sidecar would not use it" in found["note"]
    assert found["upstreams"][0]["worthNow"] is None


def test_thrown_away_with_the_one_before(file: Path) -> None:
    SnapshotFile(file).save(file.read_bytes())
    result = call("forget", str(file))
    assert result.exit_code == 0 and str(file) in result.output
    assert not file.exists() and not Path(f"{file}.1").exists()
    assert call("forget", str(file)).exit_code == 0


def test_what_a_running_sidecar_holds_is_kept(file: Path) -> None:
    held = SnapshotFile(file)
    assert held.acquire()
    assert "a running sidecar holds it" in error_of(call("forget", str(file)), Exit.CONFLICT)
    assert file.exists()
    assert call("forget", "--force", str(file)).exit_code == 0
    assert not file.exists()


def test_nothing_else_is_removed(tmp_path: Path) -> None:
    other = tmp_path / "precious.db"
    other.write_text("x")
    assert "NAME.learned" in error_of(call("forget", str(other)), Exit.USAGE)
    assert other.exists()
    assert "expected a folder" in error_of(call("forget", str(tmp_path / "no" / "n0.learned")), Exit.USAGE)
