"""The result file: it survives a round trip, and values that don't follow from its points are refused."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from ironscale.scale.result import Reading, Result, ResultError, build_slope, load, parse

AT = "2026-01-01T00:00:00Z"


def sample_result() -> Result:
    found = Result("0123456789abcdef", {"cores": 8, "memory_mb": 24_000})
    found.add(build_slope("agent.rest.cpu_percent", "agent that leads", "hollow instances", "% of a core",
                    {250: [3.0, 3.1], 750: [9.0, 9.2], 2300: [27.9, 28.4]}, AT),
              Reading("agent.back.last_s", "agent that leads", "s", (10.1, 10.6), AT, "after SIGKILL"))
    return found


def test_a_result_survives_a_round_trip_and_entries_replace_by_name(tmp_path: Path) -> None:
    found = sample_result()
    path = tmp_path / "r.json"
    found.write(path)
    assert load(path) == found and [entry.name for entry in tmp_path.iterdir()] == ["r.json"]
    found.add(Reading("agent.rest.cpu_percent", "agent that leads", "% of a core", (5.0,), AT))
    assert not found.slopes and len(found.readings) == 2 and parse(found.to_json(), "r") == found
    assert found.readings["agent.back.last_s"].scatter == pytest.approx(0.5)


def changed(*path: Any, to: Any) -> Callable[[Any], None]:
    def work(data: Any) -> None:
        for key in path[:-1]:
            data = data[key]
        if to is None:
            del data[path[-1]]
        else:
            data[path[-1]] = to

    return work


@pytest.mark.parametrize(("work", "line"), [
    (changed("version", to=2), "r.json: format: expected ironscale-scale 1, got 'ironscale-scale 2'"),
    (changed("machine", "cores", to=None), "machine.cores: expected a value, got 'nothing'"),
    (changed("size_digest", to=""), "size_digest: expected a text"),
    (changed("slopes", 0, "role", to="cook"), r"slopes\[0\].role: expected one of .*, got 'cook'"),
    (changed("slopes", 0, "fit", "slope", to=0.5), r"slopes\[0\].fit.slope: expected 0.0122549, as its points give"),
    (changed("slopes", 0, "fit", "mean", to=None), r"slopes\[0\].fit.mean: expected a value, got 'nothing'"),
    (changed("slopes", 0, "points", 2, to=None), r"slopes\[0\].points: expected points at 3 sizes at least, got 2"),
    (changed("slopes", 0, "points", 0, 1, to="3"), r"slopes\[0\].points\[0\]\[1\]: expected a number, got '3'"),
    (changed("readings", 0, "repeats", to=[]), r"readings\[0\].repeats: expected a list of 1 numbers or more"),
])
def test_an_edited_result_gives_a_one_line_error(work: Callable[[Any], None], line: str) -> None:
    data = json.loads(sample_result().to_json())
    work(data)
    with pytest.raises(ResultError) as found:
        parse(json.dumps(data), "r.json")
    assert re.search(line, str(found.value)) and "\n" not in str(found.value), str(found.value)


def test_a_missing_file_and_invalid_json_are_refused(tmp_path: Path) -> None:
    with pytest.raises(ResultError, match="expected a file that can be read"):
        load(tmp_path / "none.json")
    with pytest.raises(ResultError, match="r: expected JSON"):
        parse("{", "r")
