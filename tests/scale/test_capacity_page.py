"""The capacity page matches the result file and the size file, and its tables are computed correctly."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from ironscale.scale import capacity_page, result, size
from ironscale.scale.result import ROLES, Reading, Result, build_slope
from ironscale.scale.size import Size

EXAMPLE = Path("ironscale/scale/examples/coming.toml")
MEASURED = Path("docs/capacity/measured.json")
PAGE = Path("docs/CAPACITY.md")
AT = "2026-01-01T00:00:00Z"


@pytest.fixture
def coming() -> Size:
    return size.load(EXAMPLE)


def sample_result(coming: Size) -> Result:
    found = Result(coming.digest, {"cores": 8, "memory_mb": 24_000})
    found.add(
        build_slope(
            "agent.change.last_s", "agent that leads", "instances", "s", {250: [1.0], 750: [3.0], 1000: [4.0]}, AT
        ),
        build_slope(
            "agent.back.change_last_s",
            "agent that leads",
            "instances",
            "s",
            {250: [3.0, 3.1], 750: [5.0, 5.1], 2300: [15.0, 18.0]},
            AT,
            "killed",
        ),
        build_slope(
            "record.change.bytes",
            "record",
            "instances",
            "bytes a change",
            {250: [50_000], 750: [150_000], 2300: [460_000]},
            AT,
        ),
        Reading("control.real.rest.added_cpu_percent", "sidecar control", "% of a core", (0.2, 0.3), AT),
    )
    return found


def test_the_page_matches_its_result_and_size_file(coming: Size) -> None:
    """If it fails, one of the three was changed alone. Run `ironscale scale page docs/capacity/measured.json
    SIZE.toml`."""
    measured = result.load(MEASURED)
    assert measured.size_digest == coming.digest
    assert set(capacity_page.AXES.values()) <= {f"fleet.{name}" for name in coming.fleet.__slots__}
    assert capacity_page.outdated_tables(PAGE.read_text(encoding="utf-8"), coming, measured, str(PAGE)) == []


def test_values_are_extrapolated_unless_the_planned_size_was_measured(coming: Size) -> None:
    """Beyond the largest measured size the fitted line is used; if the size was measured, the measured value."""
    found = sample_result(coming)
    assert capacity_page.value_of(coming, found, "agent.change.last_s") == pytest.approx(9.2)  # 0.004 x 2,300
    assert capacity_page.value_of(coming, found, "agent.back.change_last_s") == pytest.approx(16.5)
    larger = replace(coming, fleet=replace(coming.fleet, sidecars=4600))
    assert capacity_page.value_of(larger, found, "record.change.bytes") == pytest.approx(920_000)
    assert capacity_page.value_of(coming, found, "not.measured") is None
    assert capacity_page.value_of(coming, found, "agent.change.last_s", 500.0) == pytest.approx(2.0)
    rows = capacity_page.day_table(coming, found)
    assert "2.62 GB" in rows and "78.7 GB" in rows  # 460,000 bytes x 5,700 changes a day, and 30 days of that


def test_needs_are_sorted_by_ratio_with_unmeasured_ones_last(coming: Size) -> None:
    lines = capacity_page.needs_table(coming, sample_result(coming)).splitlines()[2:]
    assert "killed" in lines[0] and "**1.38**" in lines[0] and "12 s (`promises.force_s`)" in lines[0]
    assert "0.77" in lines[1] and "0.08" in lines[2] and "not measured" in lines[-1]
    assert len(lines) == len(capacity_page.NEEDS)


def test_a_need_above_a_budget_of_zero_comes_first(coming: Size) -> None:
    found = sample_result(coming)
    found.add(Reading("cut.region.missed", "agent that leads", "instances", (766,), AT, "trial, busy"))
    line = capacity_page.needs_table(coming, found).splitlines()[2]
    assert "766 instances" in line and "**never kept**" in line and "`cut.region.missed` (trial)" in line
    found.add(Reading("cut.region.missed", "agent that leads", "instances", (0,), AT))
    assert next(x for x in capacity_page.needs_table(coming, found).splitlines()
                if "cut.region.missed" in x).endswith("0.00 |")


def test_every_role_has_its_table(coming: Size) -> None:
    found = capacity_page.tables(coming, sample_result(coming))
    for role in ROLES:
        assert found[capacity_page.marker_name(role)]
    assert "Not measured." in found["upstream"]
    row = next(line for line in found["record"].splitlines() if "record.change.bytes" in line)
    assert "460,000 at 2,300" in row and "proportional" in row and "460 KB a change at `fleet.sidecars` 2,300" in row


TEXT = "# Page\n\n<!-- scale:needs -->\nold\n<!-- /scale:needs -->\nwords\n<!-- scale:size -->\n<!-- /scale:size -->\n"


def test_tables_are_written_between_markers_and_outdated_ones_are_named(coming: Size) -> None:
    found = sample_result(coming)
    assert capacity_page.outdated_tables(TEXT, coming, found, "p") == ["needs", "size"]
    written = capacity_page.fill_page(TEXT, coming, found, "p")
    assert (capacity_page.outdated_tables(written, coming, found, "p") == []
            and capacity_page.fill_page(written, coming, found, "p") == written)
    assert written.startswith("# Page\n\n<!-- scale:needs -->\n| role") and "\nwords\n" in written
    assert capacity_page.outdated_tables(written.replace("0.77", "0.70"), coming, found, "p") == ["needs"]
    found.add(Reading("agent.change.last_s", "agent that leads", "s", (2.0,), AT))
    assert capacity_page.outdated_tables(written, coming, found, "p") == ["needs"]


@pytest.mark.parametrize(("was", "now", "line"), [
    ("<!-- /scale:needs -->", "", "p: expected <!-- scale:needs --> and <!-- /scale:needs --> once each"),
    ("scale:size", "scale:sizes", "p: expected a table of .*, got 'sizes'"),
    ("words", "<!-- scale:size -->\n<!-- /scale:size -->", "scale:size --> once each"),
    (TEXT, "nothing", "got no table's place"),
])
def test_a_page_with_wrong_markers_gives_a_one_line_error(coming: Size, was: str, now: str, line: str) -> None:
    with pytest.raises(capacity_page.PageError, match=line) as error:
        capacity_page.fill_page(TEXT.replace(was, now), coming, sample_result(coming), "p")
    assert "\n" not in str(error.value)


def test_a_result_of_another_size_is_refused(coming: Size) -> None:
    other = replace(coming, fleet=replace(coming.fleet, zones=11))
    with pytest.raises(capacity_page.PageError, match="p: expected a result of size file"):
        capacity_page.fill_page(TEXT, other, sample_result(coming), "p")


def test_the_page_command_writes_and_checks(coming: Size, tmp_path: Path) -> None:
    sample_result(coming).write(tmp_path / "r.json")
    (tmp_path / "p.md").write_text(TEXT, encoding="utf-8")

    def call(*options: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "ironscale.cli", "scale", "page", str(tmp_path / "r.json"), str(EXAMPLE), "--page",
             str(tmp_path / "p.md"), *options], capture_output=True, text=True, timeout=60, check=False)

    drifted = call("--check")
    assert drifted.returncode == 1 and "needs, size: not what" in drifted.stderr and drifted.stderr.count("\n") == 1
    assert (tmp_path / "p.md").read_text(encoding="utf-8") == TEXT
    assert call().returncode == 0 and call("--check").returncode == 0
    (tmp_path / "r.json").write_text("{", encoding="utf-8")
    assert call().returncode == 2


def test_results_are_merged_by_name(coming: Size, tmp_path: Path) -> None:
    from click.testing import CliRunner

    from ironscale.cli.scale import scale

    first, second, other_size = (tmp_path / name for name in ("a.json", "b.json", "c.json"))
    sample_result(coming).write(first)
    other = Result(coming.digest, {"cores": 8, "memory_mb": 1})
    other.add(Reading("agent.change.last_s", "agent that leads", "s", (2.0,), AT))
    other.write(second)
    Result("another", {"cores": 8, "memory_mb": 1}).write(other_size)
    assert CliRunner().invoke(scale, ["merge", str(first), str(second)]).exit_code == 0
    merged = result.load(first)
    assert "agent.change.last_s" in merged.readings and "record.change.bytes" in merged.slopes
    refused = CliRunner().invoke(scale, ["merge", str(first), str(other_size)])
    assert "c.json: size_digest: expected" in str(refused.exception) and result.load(first) == merged


def test_charts_without_matplotlib_give_a_one_line_error(
        coming: Size, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    from ironscale.scale.chart import ChartError, draw

    monkeypatch.setitem(sys.modules, "matplotlib", None)
    with pytest.raises(ChartError, match=r"charts: expected matplotlib \(pip install 'ironscale\[scale\]'\), got"):
        draw(sample_result(coming).slopes["agent.change.last_s"], tmp_path)
