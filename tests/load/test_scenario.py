"""Scenario files: every wrong one is refused whole, in one line that says where."""

from __future__ import annotations

from importlib import resources
from pathlib import Path

import pytest

from ironscale.load.scenario import ScenarioError, load, parse
from tests.load.samples import MARK, SUBMIT, TARGET, VIEW, scenario, text

UPSTREAMS = "[[upstreams]]\ncount = 3\n"


@pytest.mark.parametrize(
    ("parts", "where", "expected"),
    [
        ((TARGET,), "class", "[[class]]"),
        ((VIEW,), "target.address", "HOST:PORT, or [[upstreams]]"),
        ((VIEW, VIEW, TARGET), "class", "names that differ, got 'view' twice"),
        ((VIEW, TARGET, UPSTREAMS), "target.address", "none beside [[upstreams]]"),
        ((VIEW, '[target]\naddress = "here"\n'), "target.address", "HOST:PORT"),
        ((VIEW, '[target]\naddress = "127.0.0.1:9"\npath = "api"\n'), "target.path", "begins with /"),
        ((VIEW, TARGET, "[clients]\nconections = 3\n"), "clients.conections", "one of connections"),
        ((VIEW, TARGET, "[clients]\ngives_up = [0.9, 0.2]\n"), "clients.gives_up", "low no greater than high"),
        ((VIEW, TARGET, '[clients]\nzipf = "much"\n'), "clients.zipf", "a number from 0 to 10, got 'much'"),
        ((VIEW, TARGET, "[clients]\nzipf = nan\n"), "clients.zipf", "a number from 0 to 10"),
        ((VIEW + "body_bytes = [1, 5]\n", TARGET), "class[0].body_bytes", "safe to repeat"),
        (
            (VIEW, UPSTREAMS, '[[fault]]\nkind = "pause"\nat_s = 1\nupstreams = [3]\n'),
            "fault[0].upstreams",
            "from 0 to 2, got [3]",
        ),
        ((VIEW, UPSTREAMS, '[[fault]]\nkind = "pause"\nat_s = 9\n'), "fault[0].at_s", "less than the 2 s"),
        ((VIEW, UPSTREAMS, '[[fault]]\nkind = "meteor"\nat_s = 1\n'), "fault[0].kind", "one of pause"),
        ((VIEW, TARGET, '[[fault]]\nkind = "pause"\nat_s = 1\n'), "fault[0]", "[[upstreams]]"),
        ((VIEW, TARGET, "[sidecars]\ncount = 1\n"), "sidecars.count", "[[upstreams]]"),
        ((VIEW, UPSTREAMS, '[target]\nprotocol = "plain"\n[sidecars]\n'), "target.protocol", "'sidecar'"),
        (
            (VIEW, TARGET, '[[arrivals]]\nshape = "day"\npeak = 5\nfrom_hour = 8\nto_hour = 8\n'),
            "arrivals[1].to_hour",
            "more than from_hour",
        ),
        ((VIEW, TARGET, '[[arrivals]]\nshape = "burst"\nrate = 5\non_s = 1\n'), "arrivals[1].off_s", "got nothing"),
        (
            (VIEW, TARGET, '[[arrivals]]\nshape = "trace"\nfile = "not-there.jsonl"\n'),
            "arrivals[1].file",
            "not-there.jsonl",
        ),
    ],
)
def test_what_cannot_be_run_is_named(parts: tuple[str, ...], where: str, expected: str) -> None:
    with pytest.raises(ScenarioError) as found:
        scenario(*parts)
    said = str(found.value)
    assert said.startswith(f"t.toml: {where}: ") and expected in said and "\n" not in said


def test_files_that_cannot_be_read_are_named(tmp_path: Path) -> None:
    for name, content, expected in (("a", b"\xff", "UTF-8"), ("b", b"seed = [", "TOML")):
        (tmp_path / name).write_bytes(content)
        with pytest.raises(ScenarioError, match=expected):
            load(tmp_path / name)
    with pytest.raises(ScenarioError, match="can be read"):
        load(tmp_path / "none")


def test_no_arrival_at_all_is_an_error_and_not_an_empty_success() -> None:
    with pytest.raises(ScenarioError, match="at least one"):
        scenario(VIEW, TARGET, rate=0).schedule()


def test_the_schedule_holds_all_sources_in_order_and_ends_with_the_run() -> None:
    found = scenario(
        VIEW, SUBMIT, MARK, TARGET, '[[arrivals]]\nshape = "poisson"\nrate = 50\nstart_s = 1\nfor_s = 5\n'
    ).schedule()
    assert list(found.at_us) == sorted(found.at_us) and found.at_us[-1] < 2_000_000
    assert abs(sum(1 for t in found.at_us if t < 1_000_000) - 200) <= 1
    assert abs(sum(1 for t in found.at_us if t >= 1_000_000) - 250) < 40


def test_the_examples_are_runnable() -> None:
    for entry in resources.files("ironscale.load").joinpath("examples").iterdir():
        if entry.name.endswith(".toml"):
            assert len(parse(entry.read_text(encoding="utf-8"), entry.name, Path(".")).schedule())


def test_a_scenario_is_the_same_from_its_own_text() -> None:
    one = scenario(VIEW, TARGET)
    assert parse(one.text, "t.toml", Path(".")).digest() == one.digest()
    assert text(VIEW) != text(SUBMIT)
