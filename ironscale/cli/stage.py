"""stage: several processes with faults between them, and whether what has to hold does."""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import replace
from pathlib import Path

import click
from rich.progress import Progress

from ironscale.cli.common import output_option
from ironscale.cli.output import Exit, err, fail, out, print_json, table
from ironscale.stage.checkers import account, check
from ironscale.stage.fault_scenario import Event, World, WorldError, drawn, parse, shrunk, written
from ironscale.stage.history import Entry, load
from ironscale.stage.run import StageError, played
from ironscale.toml_tables import read_text

FAULTS = ("faults", "terms", "permits", "taken out", "lost")


@click.group()
def stage() -> None:
    """Agents, sidecars and their record as real processes, with faults between them by schedule or seed.

    All on loopback, bounded in processes and time, nothing left behind. Exit 3: something did not hold."""


def world_of(path: Path | None) -> World:
    try:
        return World() if path is None else parse(read_text(path, WorldError), str(path))
    except WorldError as error:
        fail(Exit.USAGE, str(error))


def play(world: World, keep: Path | None) -> list[Entry]:
    try:
        return asyncio.run(played(world, keep)).entries
    except StageError as error:
        fail(Exit.FAILED, str(error))


def row(title: object, entries: list[Entry], wrong: Iterable[str]) -> tuple[object, ...]:
    counts = account(entries)
    return (title, *(counts[name] for name in FAULTS), "; ".join(wrong) or "holds")


def show(rows: list[tuple[object, ...]], output: str) -> None:
    columns = ("play", *FAULTS, "verdict")
    if output == "json":
        print_json([dict(zip(columns, found, strict=True)) for found in rows])
    else:
        out.print(table([name.upper() for name in columns], rows))


keep_option = click.option("--keep", type=click.Path(path_type=Path), help="A folder for histories, logs, schedules.")


@stage.command("run")
@click.argument("file", required=False, type=click.Path(path_type=Path))
@click.option("--seed", type=click.IntRange(0), help="Draw the schedule by it, in place of the file's.")
@keep_option
@output_option
def run(file: Path | None, seed: int | None, keep: Path | None, output: str) -> None:
    """Play the world of FILE once (without one, the usual world by --seed)."""
    world = world_of(file)
    if seed is not None or file is None:
        world = drawn(world, seed if seed is not None else world.seed)
    entries = play(world, keep)
    wrong = check(world, entries)
    if keep is not None:
        (keep / "world.toml").write_text(written(world), encoding="utf-8")
    show([row(f"seed {world.seed}", entries, wrong)], output)
    raise SystemExit(Exit.PARTIAL if wrong else Exit.DONE)


@stage.command("replay")
@click.argument("file", type=click.Path(path_type=Path))
@keep_option
@output_option
@click.pass_context
def replay(context: click.Context, file: Path, keep: Path | None, output: str) -> None:
    """Play a schedule again that `hunt` has saved."""
    context.invoke(run, file=file, seed=None, keep=keep, output=output)


@stage.command("hunt")
@click.argument("file", required=False, type=click.Path(path_type=Path))
@click.option("--seeds", type=click.IntRange(1, 10_000), default=20, show_default=True)
@click.option("--first", type=click.IntRange(0), default=1, show_default=True)
@click.option("--jobs", type=click.IntRange(1, 16), default=2, show_default=True, help="Plays at once.")
@click.option("--shrink/--no-shrink", default=True, show_default=True, help="Cut a failing schedule down.")
@keep_option
@output_option
def hunt(file: Path | None, seeds: int, first: int, jobs: int, shrink: bool, keep: Path | None, output: str) -> None:
    """Play schedules drawn by seed; one that fails is cut down and saved as a file for `replay`."""
    world, folder = world_of(file), keep or Path("found")

    def one(seed: int) -> tuple[World, list[Entry], list[str]]:
        chosen = drawn(world, seed)
        entries = play(chosen, folder / f"seed-{seed}")
        return chosen, entries, check(chosen, entries)

    rows, failed = [], []
    with Progress(console=err, transient=True) as progress, ThreadPoolExecutor(jobs) as pool:
        bar = progress.add_task("plays", total=seeds)
        for done in as_completed([pool.submit(one, seed) for seed in range(first, first + seeds)]):
            chosen, entries, wrong = done.result()
            rows.append(row(chosen.seed, entries, wrong))
            if wrong:
                failed.append(chosen)
            else:
                shutil.rmtree(folder / f"seed-{chosen.seed}", ignore_errors=True)
            progress.advance(bar)
    rows.sort(key=lambda found: int(str(found[0])))
    show(rows, output)
    for chosen in failed:
        def fails(events: tuple[Event, ...], chosen: World = chosen) -> bool:
            less = replace(chosen, events=events)
            return bool(check(less, play(less, None)))

        least = replace(chosen, events=shrunk(chosen.events, fails)) if shrink else chosen
        saved = folder / f"seed-{chosen.seed}.toml"
        saved.write_text(written(least), encoding="utf-8")
        out.print(f"{len(least.events)} of {len(chosen.events)} events are in {saved}; again: ironscale stage replay "
                  f"{saved}")
    raise SystemExit(Exit.PARTIAL if failed else Exit.DONE)


@stage.command("report")
@click.argument("histories", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--world", "file", type=click.Path(path_type=Path), help="Whose they are; else the usual world.")
@output_option
def report(histories: tuple[Path, ...], file: Path | None, output: str) -> None:
    """Check histories again that `--keep` has kept (history.jsonl)."""
    world, rows = world_of(file), []
    for path in histories:
        try:
            entries = load(path)
        except OSError as error:
            fail(Exit.USAGE, f"{path}: expected a history, got {error.strerror}")
        except ValueError as error:
            fail(Exit.USAGE, str(error))
        rows.append(row(path, entries, check(world, entries)))
    show(rows, output)
    raise SystemExit(Exit.DONE if all(found[-1] == "holds" for found in rows) else Exit.PARTIAL)
