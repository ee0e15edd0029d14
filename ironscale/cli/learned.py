"""`ironscale learned`: look into what a sidecar has learned, and throw it away."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import click

from ironscale import confidence
from ironscale.cli.common import output_option
from ironscale.cli.output import Exit, err, fail, out, print_json, table
from ironscale.learned.codec import CodecError, Snapshot, decode, to_learned_state, unpack_body
from ironscale.learned.store import OsFileSystem, SnapshotFile
from ironscale.learned.timestamps import TimestampError, current_timestamp, elapsed_between, machine_boot_id


@click.group()
def learned() -> None:
    """What sidecars have learned: their files (docs/operate/learned.md)."""


def read(path: Path) -> tuple[bytes, Snapshot]:
    try:
        data = OsFileSystem().read(str(path))
    except OSError as error:
        fail(Exit.USAGE, f"{path}: expected a file that can be read, got {error.strerror}")
    if data is None:
        fail(Exit.USAGE, f"{path}: expected a file, got nothing; see the folder of [learned] in the operator file")
    try:
        return data, decode(data)
    except CodecError as error:
        before = f"; the one before may do: ironscale learned show {path}.1" if Path(f"{path}.1").exists() else ""
        fail(Exit.USAGE, f"{path}: {error}{before}")


def span(us: int) -> str:
    seconds = us / 1e6
    for size, unit in ((86_400, "d"), (3_600, "h"), (60, "min")):
        if seconds >= 2 * size:
            return f"{seconds / size:.1f} {unit}"
    return f"{seconds:.1f} s"


def facts(path: Path, data: bytes, snapshot: Snapshot) -> dict[str, Any]:
    """All of it, with what each upstream's lesson is still worth now."""
    try:
        age_us, note = elapsed_between(snapshot.taken_at, current_timestamp(machine_boot_id()))
    except TimestampError as error:
        age_us, note = None, f"{error}; a sidecar would not use it"
    names: dict[int, str] = {}

    def number(name: str) -> int:
        names[len(names)] = name
        return len(names) - 1

    now_us = 2**60
    worth: dict[str, float | None] = {}
    if age_us is not None:
        for one in to_learned_state(snapshot, now_us - age_us, now_us, 0, number).upstreams:
            faded = confidence.decayed_lesson(one, now_us)
            worth[names[one.id]] = round(faded.slots, 3) if faded is not None else None
    return {
        "file": str(path), "version": unpack_body(data)[0], "bytes": len(data), "sidecar": snapshot.name,
        "written": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(snapshot.taken_at.wall_us / 1e6)),
        "ageSeconds": None if age_us is None else round(age_us / 1e6, 3), "note": note,
        "upSeconds": round(snapshot.uptime_us / 1e6, 3), "zone": snapshot.zone, "resting": snapshot.resting,
        "cutOff": snapshot.discovery_failed, "slots": snapshot.slots,
        "classes": [{"name": name, "ageSeconds": round(since / 1e6, 3), "meanMs": mean / 1e3, "leastMs": base / 1e3}
                    for name, since, mean, base in snapshot.classes],
        "tenants": dict(snapshot.tenants),
        "upstreams": [{
            "name": one.name, "startedMs": one.started_us // 1000, "ageSeconds": round(one.age_us / 1e6, 3),
            "slots": one.slots, "worthNow": worth.get(one.name), "leastMs": one.min_latency_us / 1e3,
            "failing": one.failing, "mute": one.timeout_doublings, "firstHand": one.first_hand}
            for one in snapshot.upstreams],
    }


def word(one: dict[str, Any]) -> str:
    if one["mute"] > 1:
        return "silent"
    return "failing" if one["failing"] else "shut" if one["slots"] < confidence.CLOSED_BELOW_SLOTS else "open"


@learned.command()
@click.argument("file", type=click.Path(path_type=Path))
@output_option
def show(file: Path, output: str) -> None:
    """Show what FILE holds and what it is still worth."""
    data, snapshot = read(file)
    found = facts(file, data, snapshot)
    if output == "json":
        print_json(found)
        return
    age = "its age is not known" if found["ageSeconds"] is None else f"{span(int(found['ageSeconds'] * 1e6))} ago"
    out.print(f"{found['sidecar']}: written {found['written']}, {age}; {found['bytes']:,} bytes, version "
              f"{found['version']}", markup=False)
    if found["note"]:
        out.print(found["note"], markup=False)
    state = ", ".join(text for text, on in (("resting", found["resting"]), ("cut off from discovery", found["cutOff"]))
                      if on) or "well"
    out.print(f"zone {found['zone'] or '-'}; it had run for {span(snapshot.uptime_us)}, {state}; "
              f"{found['slots']:.1f} slots", markup=False)
    out.print(table(("CLASS", "AGE", "MEAN MS", "LEAST MS"), [
        (c["name"], span(int(c["ageSeconds"] * 1e6)), f"{c['meanMs']:.1f}", f"{c['leastMs']:.1f}")
        for c in found["classes"]]))
    out.print(table(("UPSTREAM", "STATE", "AGE", "SLOTS", "WORTH NOW", "LEAST MS", "SEEN BY"), [
        (one["name"], word(one), span(int(one["ageSeconds"] * 1e6)), f"{one['slots']:.2f}",
         "nothing" if one["worthNow"] is None else f"{one['worthNow']:.2f}",
         f"{one['leastMs']:.1f}" if one["leastMs"] else "-", "itself" if one["firstHand"] else "another")
        for one in found["upstreams"]]))


@learned.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--force", is_flag=True, help="Also where a running sidecar holds it and will write it again.")
def forget(file: Path, force: bool) -> None:
    """Throw FILE away, with the generation before it: the next start is cold."""
    if not file.name.endswith(".learned"):
        fail(Exit.USAGE, f"{file}: expected a file NAME.learned, got another name; nothing was removed")
    if not file.parent.is_dir():
        fail(Exit.USAGE, f"{file.parent}: expected a folder, got nothing")
    store = SnapshotFile(file)
    try:
        if not store.acquire() and not force:
            fail(Exit.CONFLICT, f"{file}: a running sidecar holds it and writes it again; end it first, or --force")
        gone = store.delete()
    except OSError as error:
        fail(Exit.FAILED, f"{file}: can't remove it: {error.strerror}")
    finally:
        store.release()
    for path in gone:
        out.print(f"removed {path}", markup=False)
    if not gone:
        err.print("there was nothing to remove")
