"""`ironscale load` as a person types it."""

from __future__ import annotations

import json
import os
import random
import resource
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from ironscale.cli.load import load
from ironscale.cli.output import CliError, Exit
from tests.cli.signalled_command import MOMENTS
from tests.deployed import ROOT
from tests.load.samples import SUBMIT, VIEW, text

SCENARIO = text(VIEW, SUBMIT, '[target]\nprotocol = "plain"\n', "[[upstreams]]\n", seconds=1, rate=60)


def call(*arguments: object) -> Result:
    return CliRunner().invoke(load, [str(a) for a in arguments])


def error_of(result: Result, code: Exit) -> str:
    assert isinstance(result.exception, CliError) and result.exception.code is code, result.exception
    assert "\n" not in str(result.exception)
    return str(result.exception)


@pytest.fixture
def file(tmp_path: Path) -> Path:
    (tmp_path / "s.toml").write_text(SCENARIO)
    return tmp_path / "s.toml"


def test_a_run_its_files_and_the_same_run_again(file: Path, tmp_path: Path) -> None:
    one, page, two = tmp_path / "a.json", tmp_path / "a.html", tmp_path / "b.json"
    shown = call("run", file, "--json", one, "--html", page, "--title", "first")
    assert shown.exit_code == 0, shown.exception
    assert "first: 60 requests due in 1 s" in shown.output and "doubled: 0, lost: 0" in shown.output
    assert "from due" in shown.output and "from send" in shown.output
    assert page.read_text().startswith("<!doctype html>")
    assert sorted(p.name for p in tmp_path.iterdir()) == ["a.html", "a.json", "s.toml"]  # nothing half written
    assert call("run", one, "--json", two).exit_code == 0
    digests = {json.loads(p.read_text())["schedule_digest"] for p in (one, two)}
    assert len(digests) == 1
    compared = call("compare", one, two, "--output", "json")
    rows = json.loads(compared.output)["rows"]
    assert {row["verdict"] for row in rows} == {"too short to say"}
    table = call("compare", one, two)
    assert "VERDICT" in table.output and "p99.9 from due" in table.output
    assert call("page", one, tmp_path / "c.html").exit_code == 0


def test_a_seed_and_workers_on_the_command_line_are_in_the_result(file: Path, tmp_path: Path) -> None:
    shown = call("run", file, "--seed", "other", "--workers", 1, "--json", tmp_path / "a.json", "--output", "json")
    assert shown.exit_code == 0, shown.exception
    assert json.loads(shown.output)["totals"]["ends"] == {"served": 60}
    held = json.loads((tmp_path / "a.json").read_text())["scenario"]
    assert 'seed = "other"' in held and "workers = 1" in held


def test_strict_fails_where_the_generator_fell_behind_or_a_rule_broke(tmp_path: Path) -> None:
    tight = SCENARIO + "\n[watch]\nlag_ms = 0.1\nbusy = 0.01\n"  # nobody can keep to this
    (tmp_path / "s.toml").write_text(tight)
    assert call("run", tmp_path / "s.toml").exit_code == 0
    result = call("run", tmp_path / "s.toml", "--strict")
    assert result.exit_code == Exit.PARTIAL and "FELL BEHIND at 0 s" in result.output
    (tmp_path / "s.toml").write_text(
        SCENARIO + '\n[[fault]]\nkind = "twice"\nat_s = 0\n[watch]\nlag_ms = 60000\nbusy = 1\n'
    )
    result = call("run", tmp_path / "s.toml", "--strict")
    assert result.exit_code == Exit.PARTIAL and "RULE BROKEN: answers after the answer" in result.output


def test_check_sends_nothing_and_says_what_would_be(file: Path) -> None:
    found = json.loads(call("check", file, "--output", "json").output)
    assert (found["requests"], found["seconds"], sum(found["classes"].values())) == (60, 1.0, 60)
    assert "digest" in call("check", file).output


def test_bad_files_are_one_line_and_status_two(tmp_path: Path, file: Path) -> None:
    (tmp_path / "bad.toml").write_text("duration_s = 'long'")
    assert "duration_s: expected seconds" in error_of(call("run", tmp_path / "bad.toml"), Exit.USAGE)
    (tmp_path / "bad.json").write_text("{}")
    assert "format: expected" in error_of(call("run", tmp_path / "bad.json"), Exit.USAGE)
    assert "format: expected" in error_of(call("compare", tmp_path / "bad.json", tmp_path / "bad.json"), Exit.USAGE)
    (tmp_path / "log").write_text("nonsense")
    assert "expected an access log" in error_of(
        call("import", tmp_path / "log", "-O", tmp_path / "t.jsonl"), Exit.USAGE
    )
    assert not (tmp_path / "t.jsonl").exists()
    assert "NAME=PATTERN" in error_of(
        call("import", tmp_path / "log", "-O", tmp_path / "t", "--class", "x"), Exit.USAGE
    )
    assert "expected one of evening" in error_of(call("example", "nothing"), Exit.USAGE)
    failed = call("run", file, "--json", tmp_path / "no" / "a.json")
    assert "expected a file that can be written" in error_of(failed, Exit.FAILED)


def test_a_log_is_brought_in_and_replayed(tmp_path: Path) -> None:
    line = '1.2.3.4 - - [10/Oct/2026:13:55:{:02} +0400] "{} /x HTTP/1.1" 200 1\n'
    (tmp_path / "access.log").write_text(
        "".join(line.format(i // 20, "POST" if i % 4 == 0 else "GET") for i in range(40))
    )
    brought = call(
        "import",
        tmp_path / "access.log",
        "-O",
        tmp_path / "t.jsonl",
        "--class",
        "submit=POST *",
        "--class",
        "view=GET *",
    )
    assert brought.exit_code == 0 and "40 requests" in brought.output and "10 submit" in brought.output
    assert "1.2.3.4" not in (tmp_path / "t.jsonl").read_text()
    (tmp_path / "s.toml").write_text(
        'duration_s = 1\n[[arrivals]]\nshape = "trace"\nfile = "t.jsonl"\nspeed = 2\n'
        + VIEW
        + SUBMIT
        + '[target]\nprotocol = "plain"\n[[upstreams]]\n'
    )
    found = json.loads(call("check", tmp_path / "s.toml", "--output", "json").output)
    assert found["classes"] == {"view": 30, "submit": 10}


def test_examples_are_listed_and_printed(tmp_path: Path) -> None:
    listed = call("example").output
    assert all(name in listed for name in ("pause", "evening", "steps"))
    (tmp_path / "e.toml").write_text(call("example", "evening").output)
    assert json.loads(call("check", tmp_path / "e.toml", "--output", "json").output)["sidecars"] == 2


def run_command(folder: Path) -> list[str]:
    files = str(folder / "s.toml"), "--json", str(folder / "a.json")
    return [sys.executable, "-m", "ironscale.cli", "load", "run", *files]


def test_more_connections_than_descriptors_is_an_error_before_the_start(tmp_path: Path) -> None:
    (tmp_path / "s.toml").write_text(SCENARIO + "\n[clients]\nconnections = 100000\n")
    done = subprocess.run(
        run_command(tmp_path),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (1024, 1024)),
    )
    assert done.returncode == Exit.USAGE and done.stdout == ""
    (said,) = done.stderr.strip().splitlines()
    assert "clients.connections: expected 1,920 at most" in said and "1,024 files" in said and "got 100,000" in said
    assert not (tmp_path / "a.json").exists()


def test_ctrl_c_ends_everything_and_leaves_no_result(tmp_path: Path) -> None:
    from ironscale.control.processes import find_process_with_variable

    (tmp_path / "s.toml").write_text(SCENARIO.replace("duration_s = 1", "duration_s = 60"))
    mark = f"{tmp_path.name}-{os.getpid()}"
    process = subprocess.Popen(
        run_command(tmp_path),
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "LOAD_TEST": mark},
    )

    def others() -> int:
        """Workers and stand-ins that are there."""
        count = 0
        for entry in Path("/proc").iterdir():
            try:
                told = entry.name.isdecimal() and f"LOAD_TEST={mark}".encode() in (entry / "environ").read_bytes()
                count += bool(told) and int(entry.name) != process.pid
            except OSError:
                continue
        return count

    end_s = time.monotonic() + 60
    while others() < 3 and time.monotonic() < end_s:
        time.sleep(0.01)
    process.send_signal(signal.SIGINT)
    _, said = process.communicate(timeout=60)
    assert process.returncode == Exit.STOPPED and "stopped" in said and "Traceback" not in said
    assert find_process_with_variable("LOAD_TEST", mark) is None and not (tmp_path / "a.json").exists()


def test_sigint_ends_a_run_that_was_started_with_sigint_ignored(tmp_path: Path) -> None:
    """As a shell without job control starts its background jobs, a run of all tests in one of them as well."""
    stopped(tmp_path, "plays", signal.SIGINT, 1, True, seconds=60)


@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("seed", [1])
def test_a_signal_at_any_moment_ends_it_with_no_result_or_a_whole_one(moment: str, seed: int, tmp_path: Path) -> None:
    rng = random.Random(f"stopped {moment} {seed}")
    number, times, ignored = rng.choice((signal.SIGINT, signal.SIGTERM)), rng.choice((1, 2)), rng.random() < 0.3
    stopped(tmp_path, moment, number, times, ignored)


def stopped(folder: Path, moment: str, number: int, times: int, ignored: bool, seconds: int = 1) -> None:
    from ironscale.control.processes import find_process_with_variable

    (folder / "s.toml").write_text(SCENARIO.replace("duration_s = 1", f"duration_s = {seconds}"))
    files = str(folder / "s.toml"), "--json", str(folder / "a.json"), "--html", str(folder / "a.html")
    mark = f"{folder.name}-{os.getpid()}"
    done = subprocess.run(
        [sys.executable, "-m", "tests.cli.signalled_command", moment, str(int(number)), str(times), "load", "run",
         *files],
        cwd=ROOT,
        capture_output=True,  # to the end of all that hold its standard error
        text=True,
        timeout=50,
        check=False,
        env={**os.environ, "LOAD_TEST": mark},
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_IGN if ignored else signal.default_int_handler),
    )
    told = f"{moment}, signal {number}, {times} times, ignored at the start: {ignored}: {done.returncode} {done.stderr}"
    assert f"at: {moment}" in done.stderr and "Traceback" not in done.stderr, told
    left = sorted(path.name for path in folder.iterdir())
    if moment in ("writes", "tells"):
        assert done.returncode == Exit.DONE and left == ["a.html", "a.json", "s.toml"], told
    else:
        assert done.returncode == Exit.STOPPED and "stopped; what was sent" in done.stderr, told
        assert left == ["s.toml"], told
    assert find_process_with_variable("LOAD_TEST", mark) is None, told
