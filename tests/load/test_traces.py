"""Traces from other programs' logs: read right, or refused with the line named."""

from __future__ import annotations

import io
import json
from datetime import UTC, datetime
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironscale.load import traces as t
from tests.load.samples import SUBMIT, TARGET, VIEW, text

CLF = '10.0.0.1 - {user} [10/Oct/2026:13:55:{second:02} +0400] "{request}" 200 2326'
RULES = t.Rules((("submit", "POST /hand-in*"), ("view", "GET *")))


def bring(tmp_path: Path, content: str, form: str = "", rules: t.Rules = RULES, name: str = "log") -> t.Trace:
    path = tmp_path / name
    path.write_text(content, encoding="utf-8")
    return t.bring(path, form or t.detect(path), rules)


def refused(tmp_path: Path, content: str, form: str = "", rules: t.Rules = RULES, name: str = "log") -> str:
    with pytest.raises(t.TraceError) as found:
        bring(tmp_path, content, form, rules, name)
    assert "\n" not in str(found.value)
    return str(found.value)


def test_common_and_combined_logs(tmp_path: Path) -> None:
    lines = [
        CLF.format(user="-", second=36, request="GET /a?x=1 HTTP/1.1"),
        CLF.format(user="lena", second=37, request="POST /hand-in/3 HTTP/1.1") + ' "http://a/" "Mozilla \\"5\\""',
        CLF.format(user="-", second=36, request="GET /a?x=1 HTTP/1.1"),  # logged later, begun earlier
        CLF.format(user="-", second=40, request="DELETE /b HTTP/1.1"),
    ]
    found = bring(tmp_path, "\n".join(lines) + "\n", rules=t.Rules(RULES.kinds, "user"))
    assert [row.at_us for row in found] == [0, 500_000, 1_250_000, 4_250_000]  # spread over each second
    assert [row.kind for row in found] == ["view", "view", "submit", ""]
    assert [row.tenant for row in found] == ["", "", "lena", ""]
    assert [row.key for row in found] == [1, 1, 2, 3]  # numbers, no paths


def test_json_lines_with_several_forms_of_time(tmp_path: Path) -> None:
    rows = [
        {"time": 1_790_000_000.25, "method": "GET", "path": "/a"},
        {"time": "1790000001.5", "uri": "/b?q=1"},
        {"time": "2026-09-21T14:13:22+00:00", "method": "POST", "url": "/hand-in", "request_length": 77},
    ]
    found = bring(tmp_path, "\n".join(map(json.dumps, rows)))
    assert [row.at_us for row in found] == [0, 1_250_000, 1_750_000]
    assert [row.kind for row in found] == ["view", "view", "submit"] and found[2].size == 77
    assert datetime.fromtimestamp(1_790_000_002, UTC).isoformat() == "2026-09-21T14:13:22+00:00"


def test_har_files(tmp_path: Path) -> None:
    entry = {
        "startedDateTime": "2026-12-01T10:00:00.500Z",
        "request": {"method": "POST", "url": "https://h/hand-in?a", "bodySize": 12},
    }
    later = {**entry, "startedDateTime": "2026-12-01T10:00:01.000Z"}
    found = bring(tmp_path, json.dumps({"log": {"entries": [later, entry]}}, indent=1), name="a.har")
    assert [(row.at_us, row.kind, row.size) for row in found] == [(0, "submit", 12), (500_000, "submit", 12)]


@pytest.mark.parametrize(
    ("content", "where", "expected"),
    [
        (CLF.format(user="-", second=1, request="GET / HTTP/1.1") + "\nrubbish", ":2: ", "Common or Combined"),
        (CLF.format(user="-", second=1, request="GET / HTTP/1.1").replace("Oct", "Okt"), ":1: ", "a time like"),
        ('{"time": 1}\n{"time": "yesterday"}', ":2: ", "Unix seconds"),
        ('{"time": 1}\n{"time": "2026-01-01T00:00:00"}', ":2: ", "with a zone"),
        ('{"time": 1}\n[1]', ":2: ", "a JSON object"),
        ('{"time": 1}\n{"time": ', ":2: ", "a JSON object"),
        ('{"log": {}}', ": log.entries: ", "a list"),
        ('{"log": {"entries": [{}]}}', ": log.entries[0].request: ", "method and url"),
        ('{"log": {"entries": []}}', ": ", "at least one request"),
        ("hello", ":1: ", "an access log"),
        ("", ":1: ", "an access log"),
        (t.header() + '\n[0, "", "", 0, -1]\n[-5, "", "", 0, -1]', ":3: ", "[at_us, class"),
        (t.header() + '\n[9, "", "", 0, -1]\n[5, "", "", 0, -1]', ":3: ", "9 us or later"),
        (t.header() + '\n[9, "", "", true, -1]', ":2: ", "[at_us, class"),
        (t.header().replace('"version": 1', '"version": 9') + "\n", ":1: ", "version 1, got 9"),
    ],
)
def test_what_cannot_be_read_is_named(tmp_path: Path, content: str, where: str, expected: str) -> None:
    said = refused(tmp_path, content)
    assert said.startswith(f"{tmp_path / 'log'}{where}") and expected in said


def test_bytes_that_are_no_text_are_named(tmp_path: Path) -> None:
    (tmp_path / "log").write_bytes(t.header().encode() + b"\n\xff\n")
    with pytest.raises(t.TraceError, match=r":2: expected UTF-8, got byte 0xff at column 1"):
        t.read(tmp_path / "log")


def test_a_trace_broken_at_line_three_million_is_named_and_nothing_of_it_is_used(tmp_path: Path) -> None:
    path = tmp_path / "long.jsonl"
    with path.open("w", encoding="utf-8") as file:
        file.write(t.header() + "\n")
        row = '[%d,"view","",1,-1]\n'
        for start in range(0, 2_999_998, 100_000):
            file.write("".join(row % i for i in range(start, min(start + 100_000, 2_999_998))))
        file.write('[2999998,"view","",1\n')
        file.write(row % 3_000_000)
    scenario = tmp_path / "s.toml"
    scenario.write_text(text(VIEW, SUBMIT, TARGET, '[[arrivals]]\nshape = "trace"\nfile = "long.jsonl"\n'))
    from ironscale.load.scenario import ScenarioError, load

    with pytest.raises(ScenarioError) as found:
        load(scenario)  # before there is anything that could be sent
    assert f"{scenario}: arrivals[1].file: {path}:3000000: expected [at_us, class" in str(found.value)


def test_a_replay_takes_what_the_trace_says(tmp_path: Path) -> None:
    with (tmp_path / "a.jsonl").open("w", encoding="utf-8") as file:
        t.write(file, [t.Row(0, "submit", "north", 7, 55), t.Row(500_000, "unheard", "", 0, None)])
    (tmp_path / "s.toml").write_text(
        'seed = "x"\nduration_s = 2\n[[arrivals]]\nshape = "trace"\nfile = "a.jsonl"\nspeed = 0.5\n'
        + VIEW
        + SUBMIT
        + TARGET
        + '[[tenant]]\nname = "south"\n[[tenant]]\nname = "north"\nshare = 0\n'
    )
    from ironscale.load.scenario import load

    found = load(tmp_path / "s.toml").schedule()
    assert list(found.at_us) == [0, 1_000_000]
    assert (found.kind[0], found.tenant[0], found.key[0], found.size[0]) == (1, 1, 7, 55)
    assert found.tenant[1] == 0  # a share of 0 is never drawn


@settings(max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 10**12),
            st.text(max_size=5),
            st.text(max_size=5),
            st.integers(0, 2**32 - 1),
            st.none() | st.integers(0, 10**6),
        ),
        max_size=20,
    )
)
def test_written_and_read_again_it_is_the_same(
    tmp_path_factory: pytest.TempPathFactory, rows: list[tuple[int, str, str, int, int | None]]
) -> None:
    path = tmp_path_factory.mktemp("t") / "a.jsonl"
    wanted = sorted((t.Row(*row) for row in rows), key=lambda row: row.at_us)
    wanted = [row._replace(at_us=row.at_us - wanted[0].at_us) for row in wanted]
    file = io.StringIO()
    t.write(file, wanted)
    path.write_text(file.getvalue(), encoding="utf-8")
    assert list(t.read(path)) == wanted
