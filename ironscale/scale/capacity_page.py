"""Renders the tables of the capacity page: measured metrics extrapolated to the planned size, and needs compared to
budgets. Does no I/O."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ironscale.scale.fit import FASTER, FLAT
from ironscale.scale.result import ROLES, Reading, Result, Slope
from ironscale.scale.size import Size

DAY_S, MONTH_DAYS = 86_400, 30
# What the sizes of a slope count -> the key in the size file of the value that the slope is extrapolated to.
AXES = {"instances": "fleet.sidecars", "real sidecars": "fleet.sidecars", "upstreams in the list": "fleet.upstreams",
        "sidecars": "fleet.sidecars", "hops": "fleet.depth"}


class PageError(Exception):
    """A page whose tables can't be filled in from the result; the message is a single line."""


def format_number(value: float) -> str:
    """Formats with three significant digits and thousands separators."""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{value:.3g}" if abs(value) >= 0.001 else f"{value:.1e}"


def format_value(value: float, unit: str) -> str:
    """Formats a value with its unit; bytes become KB, MB, GB or TB."""
    if unit.startswith("bytes"):
        for factor, name in ((1e12, "TB"), (1e9, "GB"), (1e6, "MB"), (1e3, "KB")):
            if abs(value) >= factor:
                return f"{format_number(value / factor)} {name}{unit.removeprefix('bytes')}"
    return f"{format_number(value)} {unit}"


def markdown_table(header: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> str:
    lines = [header, tuple("---" for _ in header), *rows]
    return "\n".join("| " + " | ".join(cell.replace("|", "/") for cell in line) + " |" for line in lines)


def marker_name(role: str) -> str:
    return role.replace(" ", "-")


def role_table(size: Size, result: Result, role: str) -> str:
    """A table of all that was measured for a role."""
    rows = []
    for entry in sorted(result.slopes.values(), key=lambda s: s.name):
        if entry.role == role:
            rows.append(_slope_row(size, entry))
    for reading in sorted(result.readings.values(), key=lambda r: r.name):
        if reading.role == role:
            spread = (
                f", {format_number(min(reading.repeats))} to {format_number(max(reading.repeats))}"
                if reading.scatter
                else ""
            )
            rows.append((f"`{reading.name}`", f"{format_value(reading.value, reading.unit)}{spread}", "", "", "",
                         _run_note(reading)))
    if not rows:
        return "Not measured."
    return markdown_table(("figure", "measured", "slope (its error)", "it is", "at the size", "run"), rows)


def _run_note(entry: Slope | Reading) -> str:
    return entry.measured_at + (f"; {entry.note}" if entry.note else "")


def _slope_row(size: Size, entry: Slope) -> tuple[str, ...]:
    measured = ", ".join(f"{format_number(p.value)} at {p.size:,.0f}" for p in entry.points)
    fit, key = entry.fit, AXES.get(entry.x_axis)
    per = (
        ""
        if fit.verdict == FLAT
        else f"{format_number(fit.slope)} ({format_number(fit.slope_error)}) each of {entry.x_axis}"
    )
    extrapolated = ""
    if key:
        lower_bound = "over " if fit.verdict == FASTER and size.value(key) > entry.points[-1].size else ""
        extrapolated = (f"{lower_bound}{format_value(value_at(entry, size.value(key)), entry.unit)} at `{key}` "
                        f"{size.value(key):,.0f}")
    return (f"`{entry.name}`", f"{measured}; {entry.unit}", per, fit.verdict, extrapolated, _run_note(entry))


def value_at(entry: Slope, wanted_size: float) -> float:
    """The measured value if this size was measured, else the fitted line's, which is too low for a metric that grows
    faster than in proportion."""
    measured = next((p.value for p in entry.points if p.size == wanted_size), None)
    return measured if measured is not None else entry.fit.at(wanted_size)


@dataclass(frozen=True, slots=True)
class Need:
    """A row of the table of needs: a measured metric, and the budget that it must stay within."""

    role: str
    what: str
    name: str  # of the slope or reading
    budget: str  # key in the size file, or a description
    unit: str
    limit: Callable[[Size], float] | None = None  # the budget, if it is not a value of the size file
    at_size: Callable[[Size], float] | None = None  # the size to extrapolate to, if not the one in AXES


VERSIONS = "published versions"
CONTROL, LEADER, STANDBY, RECORD, DATA_PATH = ("sidecar control", "agent that leads", "agent that stands by", "record",
                                           "sidecar data path")
NEEDS = [
    Need(CONTROL, "processor at rest", "control.real.rest.added_cpu_percent", "budget.cpu_percent", "% of a core"),
    Need(CONTROL, "memory", "control.list.memory_mb", "budget.memory_mb", "MB"),
    Need(CONTROL, "memory that control adds", "control.real.added_memory_mb", "budget.memory_mb", "MB"),
    Need(CONTROL, "bytes at rest, to and from the agent", "control.rest.bytes_s", "budget.bytes_per_s", "bytes/s"),
    Need(LEADER, "a change to all, the last", "agent.change.last_s", "promises.force_s", "s"),
    Need(LEADER, "changes that overlap, the last", "agent.overlap.last_s", "promises.force_s", "s"),
    Need(
        LEADER,
        "killed and started at once: from the kill until the last has the next change",
        "agent.back.change_last_s",
        "promises.force_s",
        "s",
    ),
    Need(
        STANDBY,
        "the leader's machine gone: from its loss until the last has the next change",
        "takeover.change_last_s",
        "promises.force_s",
        "s",
    ),
    Need(
        LEADER,
        "a region's link back: until the last there has the change",
        "cut.region.change_last_s",
        "promises.force_s",
        "s",
    ),
    Need(
        LEADER,
        "instances that never had a change made while their region was cut",
        "cut.region.missed",
        "none",
        "instances",
        lambda size: 0.0,
    ),
    Need(
        LEADER,
        "processor at rest",
        "agent.rest.cpu_percent",
        "one core: an agent is one thread",
        "% of a core",
        lambda size: 100.0,
    ),
    Need(
        LEADER,
        "processor while the fleet comes back",
        "agent.back.cpu_ms",
        "one core for `promises.force_s`",
        "ms",
        lambda size: size.promises.force_s * 1000,
    ),
    Need(VERSIONS, "a version to all that follow, the last", "versions.change.last_s", "promises.force_s", "s"),
    Need(
        VERSIONS,
        "the leader killed right after its commit: from the commit until the last has it",
        "versions.killed.last_s",
        "promises.force_s",
        "s",
    ),
    Need(
        VERSIONS,
        "the leader's machine gone: from its loss until the last has the next version",
        "versions.takeover.last_from_kill_s",
        "promises.force_s",
        "s",
    ),
    Need(
        VERSIONS,
        "one agent of three left: from a commit until the last has it",
        "versions.one_left.last_s",
        "promises.force_s",
        "s",
    ),
    Need(
        VERSIONS,
        "a region's link back: until the last there has the version",
        "versions.cut.region_last_s",
        "promises.force_s",
        "s",
    ),
    Need(
        CONTROL,
        "bytes, were the whole list asked for again and again",
        "discovery.list.asked_bytes_s",
        "budget.bytes_per_s",
        "bytes/s",
    ),
    Need(
        DATA_PATH,
        "added to a call, p99, a list of one service",
        "path.call.added_p99_ms",
        "promises.added_p99_ms",
        "ms",
        at_size=lambda size: size.fleet.upstreams / size.fleet.services,
    ),
    Need(DATA_PATH, "added to a call, p99, a list of all", "path.call.added_p99_ms", "promises.added_p99_ms", "ms"),
]


def value_of(size: Size, result: Result, name: str, at_size: float | None = None) -> float | None:
    """A metric at the planned size of the slope's axis, or at size `at`; None if it was not measured. Raises KeyError
    if the size file has no such value."""
    if name in result.slopes:
        entry = result.slopes[name]
        return value_at(entry, size.value(AXES[entry.x_axis]) if at_size is None else at_size)
    return result.readings[name].value if name in result.readings else None


def trial_mark(result: Result, name: str) -> str:
    """The mark for a metric whose note says that it comes from a trial run; empty for others."""
    entry = result.slopes.get(name) or result.readings.get(name)
    return " (trial)" if entry is not None and entry.note.startswith("trial") else ""


def needs_table(size: Size, result: Result) -> str:
    """A table of needs and budgets, by falling ratio of need to budget; needs that were not measured come last."""
    rows: list[tuple[float, tuple[str, ...]]] = []
    for need in NEEDS:
        at_size = need.at_size(size) if need.at_size is not None else None
        value = value_of(size, result, need.name, at_size)
        budget = need.limit(size) if need.limit is not None else size.value(need.budget)
        limit = need.budget if need.limit is not None else f"{format_value(budget, need.unit)} (`{need.budget}`)"
        name = f"`{need.name}`" + (f" at {at_size:g}" if at_size is not None else "") + trial_mark(result, need.name)
        if value is None:
            rows.append((-1.0, (need.role, need.what, "not measured", name, limit, "")))
            continue
        ratio = value / budget if budget else math.inf if value else 0.0
        ratio_text = "never kept" if ratio == math.inf else f"{ratio:.2f}"
        rows.append((ratio, (need.role, need.what, format_value(value, need.unit), name, limit,
                              f"**{ratio_text}**" if ratio > 1 else ratio_text)))
    rows.sort(key=lambda entry: -entry[0])
    return markdown_table(("role", "what", "need", "from", "budget", "need / budget"), [row for _, row in rows])


def day_table(size: Size, result: Result) -> str:
    """A table of the cost of an ordinary day: the cost of one change or heartbeat, times their number."""
    changes = size.promises.changes_per_day
    rows = []

    def row(what: str, name: str, factor: float, by: str, unit: str, month: bool = False) -> None:
        value = value_of(size, result, name)
        if value is None:
            rows.append((what, f"`{name}`", by, "not measured", ""))
            return
        rows.append(
            (
                what,
                f"`{name}` {format_number(value)}{trial_mark(result, name)}",
                by,
                format_value(value * factor, unit),
                format_value(value * factor * MONTH_DAYS, unit) if month else "",
            )
        )

    by = f"`promises.changes_per_day` {changes:,.0f}"
    row("record grows by changes", "record.change.bytes", changes, by, "bytes", True)
    row("rows of record by changes", "record.change.rows", changes, by, "rows", True)
    row("rows of record, were each change a version", "versions.change.record_rows", changes, by, "rows", True)
    row("the leader's processor, were each change a version", "versions.change.leader_cpu_ms", changes / DAY_S / 10,
        f"{by} / 86,400 s", "% of a core")
    row("written to disk by changes", "record.change.disk_bytes", changes, by, "bytes", True)
    row("the leader's processor for changes, mean", "agent.change.cpu_ms", changes / DAY_S / 10, f"{by} / 86,400 s",
        "% of a core")
    row("the leader's processor at rest", "agent.rest.cpu_percent", 1, "", "% of a core")
    row("sent by the leader for changes", "agent.change.sent_bytes", changes, by, "bytes", True)
    row("sent by the leader at rest", "agent.rest.sent_bytes_s", DAY_S, "86,400 s", "bytes", True)
    row("received by the leader at rest", "agent.rest.received_bytes_s", DAY_S, "86,400 s", "bytes", True)
    return markdown_table(("what", "figure at the size", "times", "a day", "a month of 30 days"), rows)


def size_table(size: Size, result: Result) -> str:
    rows = [(f"`{key}`", f"{size.value(key):,g}", unit) for key, unit in (
        ("fleet.upstreams", "each with its sidecar"), ("fleet.services", "services"), ("fleet.regions", "regions"),
        ("fleet.zones", "zones"), ("fleet.calls_per_s", "calls a second"), ("fleet.depth", "calls below one another"),
        ("promises.added_p99_ms", "ms added to a call, for 99 in 100"),
        ("promises.changes_per_day", "changes of configuration a day"),
        ("promises.force_s", "s until a change is in force everywhere"),
        ("budget.cpu_percent", "% of a core, a sidecar's control"), ("budget.memory_mb", "MB, a sidecar"),
        ("budget.bytes_per_s", "bytes a second, a sidecar's control"), ("budget.machines", "machines for control"),
        ("failures.machines_per_day", "machines that fail a day"),
        ("failures.replaced_per_day", "sidecars and upstreams restarted or replaced a day"),
        ("failures.rack_each_days", "days from a rack or switch to the next"),
        ("failures.zone_each_days", "days from a zone to the next"),
        ("failures.link_cut_s", "s that two regions lose each other"))]
    return markdown_table(("key", "figure", "what"), rows)


def measured_on(size: Size, result: Result) -> str:
    facts = result.machine
    play = size.play
    return (f"Measured on one machine ({facts['cores']:g} cores, {facts['memory_mb']:,.0f} MB, shared with other "
            f"work), size file {result.size_digest}; heartbeat {play.heartbeat_s:g} s, an instance's lease "
            f"{play.lease_s:g} s, the "
            f"leader's term {play.term_s:g} s. {len(result.slopes)} slopes and {len(result.readings)} readings.")


def tables(size: Size, result: Result) -> dict[str, str]:
    """All tables, by the names used in the page's markers."""
    rendered = {
        "measured-on": measured_on(size, result),
        "size": size_table(size, result),
        "needs": needs_table(size, result),
        "day": day_table(size, result),
    }
    rendered.update({marker_name(role): role_table(size, result, role) for role in ROLES})
    return rendered


TABLE_PATTERN = re.compile(r"<!-- scale:([\w-]+) -->\n(.*?)<!-- /scale:\1 -->", re.DOTALL)
MARKER_PATTERN = re.compile(r"<!-- /?scale:([\w-]+) -->")


def fill_page(text: str, size: Size, result: Result, file: str) -> str:
    """The page with its tables rendered from the result. Raises PageError."""
    if result.size_digest != size.digest:
        raise PageError(f"{file}: expected a result of size file {size.digest}, got one of {result.size_digest}")
    rendered = tables(size, result)
    complete = [match.group(1) for match in TABLE_PATTERN.finditer(text)]
    for match in MARKER_PATTERN.finditer(text):
        name = match.group(1)
        if name not in rendered:
            raise PageError(f"{file}: expected a table of {', '.join(rendered)}, got {name!r}")
        if complete.count(name) != 1:
            raise PageError(f"{file}: expected <!-- scale:{name} --> and <!-- /scale:{name} --> once each, on lines of "
                            "their own")
    if not complete:
        raise PageError(f"{file}: expected <!-- scale:NAME --> and <!-- /scale:NAME -->, got no table's place")
    return TABLE_PATTERN.sub(
        lambda m: f"<!-- scale:{m.group(1)} -->\n{rendered[m.group(1)]}\n<!-- /scale:{m.group(1)} -->", text
    )


def outdated_tables(text: str, size: Size, result: Result, file: str) -> list[str]:
    """Names of the tables in the page that differ from those rendered from the result. Raises PageError."""
    rendered = dict(TABLE_PATTERN.findall(fill_page(text, size, result, file)))
    return [name for name, current in TABLE_PATTERN.findall(text) if current != rendered[name]]
