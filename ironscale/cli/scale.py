"""scale: what the size that is coming will take, from slopes measured on one machine."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING

import click

from ironscale.cli.common import output_option
from ironscale.cli.output import Exit, err, fail, out, print_json, table

if TYPE_CHECKING:
    from ironscale.scale.result import Result

PAGE = Path("docs/CAPACITY.md")


@click.group()
def scale() -> None:
    """Hollow instances beside real ones: slopes at several sizes, and the tables of the capacity page.

    All on loopback, bounded in memory, processes and descriptors, nothing left behind."""


@contextlib.contextmanager
def foreseen() -> Iterator[None]:
    """Errors of files are bad usage, those of a run a fault; each is one line."""
    from ironscale.scale.bounds import ResourceLimitError
    from ironscale.scale.capacity_page import PageError
    from ironscale.scale.chart import ChartError
    from ironscale.scale.result import ResultError
    from ironscale.scale.run import RunError
    from ironscale.scale.size import SizeError

    try:
        yield
    except (SizeError, ResultError, PageError, ChartError) as error:
        fail(Exit.USAGE, str(error))
    except (RunError, ResourceLimitError) as error:
        fail(Exit.STOPPED if str(error) == "stopped" else Exit.FAILED, str(error))


def numbers(text: str) -> tuple[int, ...]:
    found = tuple(int(part) for part in text.split(",") if part.isascii() and part.isdecimal() and int(part))
    if len(found) < 3 or len(found) != text.count(",") + 1 or sorted(set(found)) != list(found):
        fail(Exit.USAGE, f"--sizes: expected three rising whole numbers or more, as 250,750,2300, got {text!r}")
    return found


def drawn(result: Result, charts: Path | None) -> None:
    if charts is not None:
        from ironscale.scale.chart import draw

        charts.mkdir(parents=True, exist_ok=True)
        for slope in result.slopes.values():
            draw(slope, charts)


@scale.command("run")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", "-O", "to", required=True, type=click.Path(path_type=Path),
              help="The result; one that is there is added to, by name.")
@click.option("--sizes", help="Hollow instances, in place of the file's: 250,750,2300.")
@click.option("--only", help="Of the pieces of a run, these alone: agent,record.")
@click.option("--charts", type=click.Path(path_type=Path), help="A folder for a chart a slope.")
def run(file: Path, to: Path, sizes: str | None, only: str | None, charts: Path | None) -> None:
    """Measure what the size file FILE asks for."""
    with foreseen():
        import uvloop

        from ironscale.scale import run as running
        from ironscale.scale import size as sizing
        from ironscale.scale.bounds import Plan, ResourceLimitError, ResourceLimits
        from ironscale.scale.result import Result, ResultError, load

        size = sizing.load(file)
        if sizes is not None:
            size = running.with_sizes(size, numbers(sizes))
        pieces = running.MEASUREMENTS if only is None else tuple(only.split(","))
        for piece in pieces:
            if piece not in running.MEASUREMENTS:
                fail(Exit.USAGE, f"--only: expected some of {', '.join(running.MEASUREMENTS)}, got {piece!r}")
        result = Result(size.digest, running.describe_machine())
        if to.exists():
            result = load(to)
            if result.size_digest != size.digest:
                raise ResultError(f"{to}: size_digest: expected {size.digest}, that of {file}, got "
                                  f"{result.size_digest}")
        elif not to.parent.is_dir():
            raise ResultError(f"{to}: expected a folder that is there, got {to.parent}")
        try:
            play = size.play
            ResourceLimits(play.most_processes, play.most_memory_share).check(
                Plan(max(play.sizes), play.hollow_each, play.agents, play.real))
        except ResourceLimitError as error:
            fail(Exit.USAGE, f"{file}: play: {error}")
        uvloop.run(running.run(size, pieces, result, lambda text: err.print(text, markup=False),
                               lambda found: found.write(to)))
        drawn(result, charts)


@scale.command("show")
@click.argument("file", type=click.Path(path_type=Path))
@click.argument("names", nargs=-1)
@click.option("--charts", type=click.Path(path_type=Path), help="A folder for a chart a slope.")
@output_option
def show(file: Path, names: tuple[str, ...], charts: Path | None, output: str) -> None:
    """The slopes and readings of the result FILE; with NAMES, these alone."""
    with foreseen():
        from ironscale.scale.result import load

        result = load(file)
        for name in names:
            if name not in result.slopes and name not in result.readings:
                fail(Exit.USAGE, f"{file}: expected a slope or reading of that name, got {name!r}")
        if names:
            result.slopes = {name: s for name, s in result.slopes.items() if name in names}
            result.readings = {name: r for name, r in result.readings.items() if name in names}
        drawn(result, charts)
    rows = [{"figure": s.name, "measured": ", ".join(f"{p.value:.4g} at {p.size:g}" for p in s.points), "unit": s.unit,
             "slope": f"{s.fit.slope:.4g} +- {s.fit.slope_error:.2g}", "verdict": s.fit.verdict}
            for s in result.slopes.values()]
    rows += [{"figure": r.name, "measured": f"{r.value:.4g}", "unit": r.unit, "slope": "", "verdict": ""}
             for r in result.readings.values()]
    if output == "json":
        print_json(rows)
        return
    out.print(table(("FIGURE", "MEASURED", "UNIT", "SLOPE", "VERDICT"), [tuple(row.values()) for row in rows]))


@scale.command("merge")
@click.argument("file", type=click.Path(path_type=Path))
@click.argument("others", nargs=-1, required=True, type=click.Path(path_type=Path))
def merge(file: Path, others: tuple[Path, ...]) -> None:
    """Add to the result FILE what the OTHERS have, by name; the later goes before."""
    with foreseen():
        from ironscale.scale.result import ResultError, load

        result = load(file)
        for other in others:
            found = load(other)
            if found.size_digest != result.size_digest:
                raise ResultError(f"{other}: size_digest: expected {result.size_digest}, that of {file}, got "
                                  f"{found.size_digest}")
            result.add(*found.slopes.values(), *found.readings.values())
        result.write(file)


@scale.command("page")
@click.argument("file", type=click.Path(path_type=Path))
@click.argument("size_file", type=click.Path(path_type=Path))
@click.option("--page", "to", type=click.Path(path_type=Path), default=PAGE, show_default=True)
@click.option("--check", is_flag=True, help="Write nothing; status 1 where a table isn't that of the result.")
def page(file: Path, size_file: Path, to: Path, check: bool) -> None:
    """Write the tables of the result FILE into the page, at their markers."""
    with foreseen():
        from ironscale.scale import capacity_page
        from ironscale.scale import size as sizing
        from ironscale.scale.result import load

        size, result = sizing.load(size_file), load(file)
        try:
            text = to.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise capacity_page.PageError(f"{to}: expected a page that can be read, got {error}") from error
        if check:
            wrong = capacity_page.outdated_tables(text, size, result, str(to))
            if wrong:
                fail(Exit.FAILED, f"{to}: {', '.join(wrong)}: not what {file} gives; `ironscale scale page` writes it")
            return
        to.write_text(capacity_page.fill_page(text, size, result, str(to)), encoding="utf-8")
