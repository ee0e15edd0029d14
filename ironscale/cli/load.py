"""`ironscale load`: run, import, check, compare, page, example."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import threading
from collections.abc import Iterator
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import uvloop
from rich.live import Live as RichLive
from rich.progress import Progress, SpinnerColumn, TextColumn

from ironscale.cli.common import output_option
from ironscale.cli.output import Exit, err, fail, out, print_json, table

if TYPE_CHECKING:
    from ironscale.load.result import Result
    from ironscale.load.run import Live
    from ironscale.load.scenario import Scenario

EXTRA = "the load generator needs the extra `load`: pip install 'ironscale[load]'"


@click.group()
def load() -> None:
    """An open-loop load generator that watches itself."""


@contextlib.contextmanager
def foreseen() -> Iterator[None]:
    """Every error that was foreseen, as one line and an exit code."""
    try:
        from ironscale.load.result import ResultError
        from ironscale.load.run import RunError
        from ironscale.load.scenario import ScenarioError
        from ironscale.load.traces import TraceError
    except ImportError as error:
        fail(Exit.FAILED, f"{EXTRA} ({error})")
    try:
        yield
    except (ScenarioError, TraceError, ResultError) as error:
        fail(Exit.USAGE, str(error))
    except RunError as error:
        fail(Exit.FAILED, str(error))


STOPS = signal.SIGINT, signal.SIGTERM


@contextlib.contextmanager
def stoppable() -> Iterator[None]:
    """SIGINT and SIGTERM end what is within, by one way out: its processes first, then one line and status 130.

    Hazard: a shell without job control starts its background jobs with SIGINT ignored, and Python leaves that so. The
    load would go on after `kill -INT`, and after the Ctrl-C that ended the script."""
    if threading.current_thread() is not threading.main_thread():
        yield  # signals are the main thread's to handle
        return
    before = {number: signal.getsignal(number) for number in STOPS}
    stopped = False
    try:
        signal.signal(signal.SIGINT, signal.default_int_handler)
        signal.signal(signal.SIGTERM, lambda number, frame: signal.raise_signal(signal.SIGINT))
        yield
    except KeyboardInterrupt:
        stopped = True
        unstoppable()  # this process ends: a second one may not spoil its status
        fail(Exit.STOPPED, "stopped; what was sent until then is no result")
    finally:
        if not stopped:
            for number, handler in before.items():
                signal.signal(number, handler)


def unstoppable() -> None:
    """From here to the end of `stoppable` there is nothing to stop."""
    if threading.current_thread() is threading.main_thread():
        for number in STOPS:
            signal.signal(number, signal.SIG_IGN)


def written(path: Path, text: str) -> None:
    """Whole or not at all."""
    aside = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        aside.write_text(text, encoding="utf-8")
        os.replace(aside, path)
    except OSError as error:
        with contextlib.suppress(OSError):
            aside.unlink()
        fail(Exit.FAILED, f"{path}: expected a file that can be written, got {error.strerror}")


def scenario_of(file: Path, seed: str | None, workers: int | None) -> Scenario:
    """FILE is a scenario, or the JSON of a run, which holds its own."""
    import re

    from ironscale.load import result, scenario

    if file.suffix == ".json":
        text, folder = result.read(file).scenario, file.parent
        found = scenario.parse(text, f"{file} (scenario)", folder)
    else:
        found = scenario.load(file)
    changes = {"seed": json.dumps(seed) if seed is not None else None, "workers": str(workers) if workers else None}
    text = found.text
    for key, value in changes.items():  # in the text itself, so that a result tells what really ran
        if value is not None:
            lines = text.split("\n")
            end = next((n for n, line in enumerate(lines) if line.lstrip().startswith("[")), len(lines))
            head = [line for line in lines[:end] if not re.match(rf"\s*{key}\s*=", line)]
            text = "\n".join([f"{key} = {value}", *head, *lines[end:]])
    return scenario.parse(text, found.file, file.parent) if text != found.text else found


@load.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--json", "json_file", type=click.Path(path_type=Path), help="The whole result, to compare and to run again."
)
@click.option("--html", "html_file", type=click.Path(path_type=Path), help="The run as a page with pictures.")
@click.option("--title", default="", help="A name for the run, in its result.")
@click.option("--seed", help="In place of the scenario's.")
@click.option("--workers", type=click.IntRange(1, 64), help="In place of the scenario's.")
@click.option(
    "--strict", is_flag=True, help="Exit with 3 if the generator fell behind in any interval, or a rule was broken."
)
@output_option
def run(
    file: Path,
    json_file: Path | None,
    html_file: Path | None,
    title: str,
    seed: str | None,
    workers: int | None,
    strict: bool,
    output: str,
) -> None:
    """Run the scenario FILE, or once more the run whose JSON is FILE."""
    with stoppable(), foreseen():
        from ironscale.load.html_report import page
        from ironscale.load.run import Run

        scenario = scenario_of(file, seed, workers)
        with RichLive("", console=err, refresh_per_second=4, transient=True) as live:

            async def go() -> Result:
                return await Run(scenario, lambda seen: live.update(live_text(seen)))(title or file.stem)

            found = uvloop.run(go())
        files = [(json_file, json.dumps(found.to_json(), ensure_ascii=False) + "\n")] if json_file is not None else []
        files += [(html_file, page(found))] if html_file is not None else []
        unstoppable()  # hazard: one file written, or half of one, and "no result" said
        for path, text in files:
            written(path, text)
        if output == "json":
            data = found.to_json()
            print_json({key: data[key] for key in data if key not in ("intervals", "scenario")})
        else:
            show(found)
        if strict and (found.flagged() or found.broken()):
            raise SystemExit(Exit.PARTIAL)


def live_text(seen: Live) -> str:
    from ironscale.load.outcome import End

    ends = ", ".join(f"{count:,} {End(end).name.lower().replace('_', ' ')}" for end, count in sorted(seen.ends.items()))
    recent = sorted(seen.recent)
    tail = (
        f"p50 {recent[len(recent) // 2] / 1000:.1f} ms, p99 {recent[len(recent) * 99 // 100] / 1000:.1f} ms"
        if recent
        else ""
    )
    marks = "".join(f"\n{m['at_us'] / 1e6:8.2f} s  {m['mark']}" for m in seen.marks[-4:])
    return (
        f"{min(seen.at_us(), seen.duration_us) / 1e6:6.1f} of {seen.duration_us / 1e6:g} s; "
        f"{sum(seen.ends.values()):,} of {seen.due:,}; {ends}\n"
        f"       {tail}; sent late by {seen.latest_lag_us / 1000:.1f} ms at most just now, "
        f"{seen.longest_lag_us / 1000:.1f} ms so far{marks}"
    )


def show(found: Result) -> None:
    from ironscale.load.histogram import summary
    from ironscale.load.result import NOT_KNOWN

    counted_s = len(found.counted()) * found.interval_us / 1e6
    total = sum(found.ends().values())
    out.print(
        f"{found.title}: {total:,} requests due in {counted_s:g} s, {found.reached():,.1f} a second sent; "
        f"schedule {found.schedule_digest}"
    )
    rows = []
    for name, counts in (("from due", found.from_due()), ("from send", found.from_send()), ("sent late", found.lag())):
        s = summary(counts)
        rows.append(
            (name, f"{s['count']:,.0f}", *(f"{s.get(k, 0):.3f}" for k in ("mean", "p50", "p90", "p99", "p99.9", "max")))
        )
    out.print(table(("MS", "COUNT", "MEAN", "P50 MS", "P90", "P99 MS", "P99.9", "MAX"), rows))
    out.print(
        table(
            ("CLASS", "COUNT", "IN AIM", "P50 MS", "P99 MS", "ENDS"),
            [
                (
                    name,
                    f"{k.due:,}",
                    f"{100 * k.in_aim / max(1, k.due):.2f} %",
                    f"{summary(k.from_due).get('p50', 0):.3f}",
                    f"{summary(k.from_due).get('p99', 0):.3f}",
                    ", ".join(f"{count:,} {end.replace('_', ' ')}" for end, count in k.ends.most_common()),
                )
                for name, k in found.kinds.items()
            ],
        )
    )
    for name, count in found.rules.items():
        if count > 0:
            out.print(f"RULE BROKEN: {name}: {count:,}", style="red")
    unknown = [name for name, count in found.rules.items() if count == NOT_KNOWN]
    kept = sum(count == 0 for count in found.rules.values())
    out.print(
        f"rules: {kept} of {len(found.rules)} kept; doubled: {doubled(found)}, lost: {lost(found)}"
        + (f"; {len(unknown)} not known without stand-ins" if unknown else "")
    )
    for mark in found.marks:
        out.print(f"{mark['at_us'] / 1e6:9.3f} s  {mark['mark']} ({mark['of']} upstreams from {mark['upstream']})")
    flagged = found.flagged()
    for number, interval in flagged[:20]:
        out.print(f"FELL BEHIND at {number * found.interval_us / 1e6:g} s: {'; '.join(interval.flags)}", style="yellow")
    if flagged:
        out.print(
            f"the generator fell behind in {len(flagged)} of {len(found.intervals)} intervals: their figures are not "
            "the "
            "target's alone; try more --workers, or a lower rate",
            style="yellow",
        )


def doubled(found: Result) -> str:
    counts = [found.rules["unsafe and ran twice"], found.rules["keyed and ran twice"]]
    return "not known" if min(counts) < 0 else f"{sum(counts):,}"


def lost(found: Result) -> str:
    silent, never = found.rules["taken and never answered"], found.rules["served and never ran"]
    return f"{silent + max(0, never):,}" + ("" if never >= 0 else " (clients' view)")


@load.command()
@click.argument("file", type=click.Path(path_type=Path))
@output_option
def check(file: Path, output: str) -> None:
    """Read the scenario FILE, make its schedule, and say what it would send; nothing is sent."""
    with foreseen():
        from ironscale.load.run import check_limits

        scenario = scenario_of(file, None, None)
        check_limits(scenario)
        schedule = scenario.schedule()
        per_s = [0] * (scenario.duration_us // 1_000_000 + 1)
        for at_us in schedule.at_us:
            per_s[at_us // 1_000_000] += 1
        found: dict[str, Any] = {
            "requests": len(schedule),
            "seconds": scenario.duration_us / 1e6,
            "digest": schedule.digest(),
            "busiest_second": max(per_s),
            "classes": {k.name: sum(1 for kind in schedule.kind if kind == i) for i, k in enumerate(scenario.kinds)},
            "upstreams": sum(u.count for u in scenario.upstreams),
            "sidecars": scenario.sidecars.count,
            "faults": len(scenario.faults),
        }
    if output == "json":
        print_json(found)
        return
    out.print(table(("KEY", "VALUE"), [(k, json.dumps(v) if isinstance(v, dict) else v) for k, v in found.items()]))


@load.command("import")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", "-O", "to", required=True, type=click.Path(path_type=Path), help="The trace to write.")
@click.option(
    "--format", "form", type=click.Choice(["auto", "clf", "jsonl", "har", "trace"]), default="auto", show_default=True
)
@click.option(
    "--class",
    "kinds",
    multiple=True,
    metavar="NAME=PATTERN",
    help='Class of what fits "METHOD PATH"; * and ? stand for any text and any character; the first that fits counts.',
)
@click.option("--tenant", default="", help="Field that names the tenant; `user` in access logs.")
@click.option("--time", "time_field", default="", help="Field of the time, JSON lines.")
def bring_in(file: Path, to: Path, form: str, kinds: tuple[str, ...], tenant: str, time_field: str) -> None:
    """Bring an access log (Common or Combined), JSON lines or a HAR file into a trace to replay."""
    with foreseen():
        import io

        from ironscale.load import traces

        rules = []
        for text in kinds:
            name, equals, pattern = text.partition("=")
            if not equals or not name or not pattern:
                fail(Exit.USAGE, f"--class: expected NAME=PATTERN, got {text!r}")
            rules.append((name, pattern))
        found_form = traces.detect(file) if form == "auto" else form
        with Progress(SpinnerColumn(), TextColumn("{task.description}"), console=err, transient=True) as progress:
            task = progress.add_task("reading")
            trace = traces.bring(
                file,
                found_form,
                traces.Rules(tuple(rules), tenant, time_field),
                lambda n: progress.update(task, description=f"{n:,} lines"),
            )
        text_of = io.StringIO()
        traces.write(text_of, trace, source=found_form)
        written(to, text_of.getvalue())
        seconds = trace.at_us[-1] / 1e6
        named = {name: sum(1 for k in trace.kinds if k == n) for n, name in enumerate(trace.names) if name}
        out.print(
            f"{to}: {len(trace):,} requests in {seconds:,.1f} s, from {found_form}"
            + "".join(f"; {count:,} {name}" for name, count in named.items() if count)
        )


@load.command()
@click.argument("a", type=click.Path(path_type=Path))
@click.argument("b", type=click.Path(path_type=Path))
@output_option
def compare(a: Path, b: Path, output: str) -> None:
    """Two runs' JSON side by side, with bounds of what differs; says what is noise."""
    with foreseen():
        from ironscale.load import compare as comparing
        from ironscale.load.result import read

        first, second = read(a), read(b)
        rows = comparing.compare(first, second)
        notes = comparing.warnings(first, second)
    if output == "json":
        print_json({"rows": [{**asdict(row), "verdict": row.verdict()} for row in rows], "warnings": notes})
        return
    out.print(f"A {first.title} ({first.started})\nB {second.title} ({second.started})")
    out.print(
        table(
            ("FIGURE", "A", "B", "B - A", f"{comparing.CONFIDENCE:.0%} BOUNDS", "VERDICT"),
            [
                (
                    f"{r.name}, {r.unit}",
                    f"{r.a:.3f}",
                    f"{r.b:.3f}",
                    f"{r.b - r.a:+.3f}",
                    f"{r.low:+.3f} to {r.high:+.3f}" if r.low is not None and r.high is not None else "-",
                    r.verdict(),
                )
                for r in rows
            ],
        )
    )
    for note in notes:
        out.print(f"note: {note}", style="yellow")


@load.command("page")
@click.argument("file", type=click.Path(path_type=Path))
@click.argument("to", type=click.Path(path_type=Path))
def make_page(file: Path, to: Path) -> None:
    """The page of a run from its JSON."""
    with foreseen():
        from ironscale.load.html_report import page
        from ironscale.load.result import read

        written(to, page(read(file)))


@load.command()
@click.argument("name", required=False)
def example(name: str | None) -> None:
    """Print the example scenario NAME; without one, say which there are."""
    from importlib import resources

    folder = resources.files("ironscale.load").joinpath("examples")
    known = {entry.name.removesuffix(".toml"): entry for entry in folder.iterdir() if entry.name.endswith(".toml")}
    if name is None:
        out.print(
            table(
                ("EXAMPLE", "WHAT"),
                [(n, known[n].read_text(encoding="utf-8").split("\n")[0].lstrip("# ")) for n in sorted(known)],
            )
        )
        out.print("ironscale load example NAME > scenario.toml; ironscale load run scenario.toml --html run.html")
        return
    if name not in known:
        fail(Exit.USAGE, f"expected one of {', '.join(sorted(known))}, got {name!r}")
    click.echo(known[name].read_text(encoding="utf-8"), nl=False)
