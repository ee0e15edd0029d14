"""The size file: it is read completely, or refused with a one-line error."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from ironscale.scale.size import SizeError, load, parse

EXAMPLE = Path("ironscale/scale/examples/coming.toml")


def test_the_example_has_the_planned_size() -> None:
    size = load(EXAMPLE)
    keys = ("fleet.upstreams", "fleet.sidecars", "fleet.services", "fleet.calls_per_s", "fleet.depth", "fleet.regions",
            "fleet.zones", "promises.added_p99_ms", "promises.changes_per_day", "promises.force_s",
            "budget.cpu_percent", "budget.memory_mb", "budget.bytes_per_s", "budget.machines",
            "failures.machines_per_day", "failures.replaced_per_day")
    assert [size.value(key) for key in keys] == [
        2300, 2300, 230, 520_000, 22, 3, 12, 1.5, 5700, 12, 3.3, 64, 27_000, 10, 8, 430]
    assert round(size.calls_per_s_each) == 226
    with pytest.raises(KeyError):
        size.value("fleet.calls_per_s_each")


@pytest.mark.parametrize(("was", "now", "line"), [
    ("depth = 22", "", "coming.toml: fleet.depth: expected a whole number from 1 to 100, got nothing"),
    ("depth = 22", "depth = true", "fleet.depth: expected a whole number from 1 to 100, got True"),
    ("depth = 22", "deep = 22", "fleet.depth: expected a whole number"),
    ("depth = 22", "depth = 22\ndeep = 1", "fleet.deep: expected one of .*, got this key"),
    ("zones = 12", "zones = 2", "fleet.zones: expected a zone in each of 3 regions at least, got 2"),
    ("services = 230", "services = 5_000", "fleet.services: expected an upstream .*, got 5000"),
    ("[budget]", "[budgets]", r"coming.toml: budget: expected a table \[budget\], got nothing"),
    ("sizes = [250, 750, 2_300]", "sizes = [250, 750]", r"play.sizes: expected a list of 3 to 10 .*, got \[250, 750\]"),
    ("sizes = [250, 750, 2_300]", "sizes = [250, 250, 750]", "play.sizes: expected .*rising"),
    ("repeats = 3", "lease_s = 3", r"play.lease_s: expected seconds of two heartbeats \(4\) or more, got 3"),
    ("repeats = 3", "most_processes = 301", "play.most_processes: expected a whole number from 4 to 300, got 301"),
    ("repeats = 3", "most_memory_share = 0.6", "play.most_memory_share: expected a number from 0.01 to 0.5, got 0.6"),
    ("force_s = 12", "force_s = nan", "promises.force_s: expected seconds"),
    ("[fleet]", "[fleet", "coming.toml: expected TOML, got"),
])
def test_an_invalid_size_file_gives_a_one_line_error(was: str, now: str, line: str) -> None:
    text = EXAMPLE.read_text(encoding="utf-8")
    assert was in text
    with pytest.raises(SizeError) as found:
        parse(text.replace(was, now), "coming.toml")
    assert re.search(line, str(found.value)) and "\n" not in str(found.value)


def test_the_digest_covers_what_influences_a_measured_value() -> None:
    text = EXAMPLE.read_text(encoding="utf-8")

    def digest(was: str, now: str) -> str:
        assert was in text
        return parse(text.replace(was, now), "a").digest

    same = {parse(text, "a").digest, digest("# each with its sidecar", ""), digest("repeats = 3", "repeats = 2")}
    others = {digest("depth = 22", "depth = 21"), digest("repeats = 3", "term_s = 3"), digest("= 12  ", "= 11  ")}
    assert len(same) == 1 and len(others) == 3 and not same & others
