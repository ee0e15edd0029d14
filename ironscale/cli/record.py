"""`ironscale record`: look into stores of record and their open outcomes, verify, back up."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import click

from ironscale import operator_file
from ironscale.cli.common import output_option
from ironscale.cli.output import Exit, err, fail, out, print_json, table
from ironscale.operator_file import OperatorFileError, StoreConfig, StoresConfig

try:
    from ironscale.record import journal, operator_queries, sqlite, store_factory
    from ironscale.record.model import StoreFailure
except ImportError as error:  # the extra is not installed
    missing: str | None = str(error)
else:
    missing = None


@click.group()
def record() -> None:
    """Stores of record: SQLite or PostgreSQL (docs/operate/record.md)."""
    if missing is not None:
        fail(Exit.USAGE, f"stores of record need more packages: pip install 'ironscale[record]' ({missing})")


def operator_option(function: Any) -> Any:
    return click.option("--operator", "-f", type=click.Path(path_type=Path), default=Path("operator.toml"),
                        envvar="GW_OPERATOR", show_default=True, help="The operator file with [store].")(function)


def stores_of(path: Path) -> StoresConfig:
    try:
        found = operator_file.load(path).store
    except OperatorFileError as error:
        fail(Exit.USAGE, str(error))
    if found is None:
        fail(Exit.USAGE, f"{path}: expected [store], got none; deploy/operator.toml shows one")
    return found


def one_of(stores: StoresConfig, name: str | None) -> list[StoreConfig]:
    found = [target for target in stores.to if name in (None, target.name)]
    if not found:
        fail(Exit.USAGE, f"--store: expected one of {', '.join(t.name for t in stores.to)}, got {name}")
    try:
        for target in found:
            store_factory.make_store(target, stores.file)
    except OperatorFileError as error:
        fail(Exit.USAGE, str(error))
    return found


def at(ms: int) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(ms / 1000))


def left_open(stores: StoresConfig) -> list[Any]:
    if stores.journal is None:
        fail(Exit.USAGE, f"{stores.file}: store.journal: expected a folder, got nothing")
    try:
        found, damaged = journal.read_all(stores.journal)
    except journal.JournalError as error:
        fail(Exit.USAGE, str(error))
    if damaged:
        err.print(f"{stores.journal}: {damaged} damaged lines were left out", markup=False)
    return found


@record.command("open")
@operator_option
@output_option
def open_(operator: Path, output: str) -> None:
    """List outcomes that are not known. Exit code 3 if there are any."""
    found = left_open(stores_of(operator))
    if output == "json":
        print_json([{"attempt": o.attempt, "store": o.store, "request": o.request, "class": o.kind, "tenant": o.tenant,
                     "key": o.key, "since": at(o.since_ms), "why": o.why} for o in found])
    elif found:
        out.print(table(("REQUEST", "CLASS", "TENANT", "STORE", "SINCE", "WHY"), [
            (o.request, o.kind, o.tenant, o.store, at(o.since_ms), o.why) for o in found]))
        out.print("a running sidecar goes on asking; ask now: ironscale record ask", markup=False)
    else:
        out.print("nothing is open")
    raise SystemExit(Exit.PARTIAL if found else Exit.DONE)


@record.command()
@operator_option
@output_option
def ask(operator: Path, output: str) -> None:
    """Ask the stores what became of all that is open. Harmless beside a running sidecar. Exit code 3 if any stays
    open."""
    stores = stores_of(operator)
    found: dict[str, str] = {}
    entries = left_open(stores)
    for target in one_of(stores, None):
        mine = [entry for entry in entries if entry.store == target.name]
        if mine:
            found.update(operator_queries.resolve_attempts(target, mine))
    for entry in entries:
        found.setdefault(entry.attempt, f"not known: there is no store {entry.store!r} in {stores.file}")
    if output == "json":
        print_json([{"attempt": e.attempt, "request": e.request, "outcome": found[e.attempt]} for e in entries])
    elif entries:
        out.print(table(("REQUEST", "CLASS", "TENANT", "OUTCOME"), [
            (e.request, e.kind, e.tenant, found[e.attempt]) for e in entries]))
    else:
        out.print("nothing is open")
    raise SystemExit(Exit.PARTIAL if any(text.startswith("not known") for text in found.values()) else Exit.DONE)


@record.command()
@operator_option
@click.option("--store", help="One of them by its name; else all.")
@output_option
def status(operator: Path, store: str | None, output: str) -> None:
    """Count what the stores hold. Exit code 3 if one does not answer."""
    rows, silent = [], []
    for target in one_of(stores_of(operator), store):
        try:
            rows += [(target.name, kind or "-", "marks" if state == "void" else "records", count)
                     for state, kind, count in operator_queries.counts(target)]
        except StoreFailure as trouble:
            silent.append({"store": target.name, "why": str(trouble)})
    if output == "json":
        print_json({"counts": [{"store": s, "class": k, "what": w, "count": c} for s, k, w, c in rows],
                    "silent": silent})
    else:
        out.print(table(("STORE", "CLASS", "WHAT", "COUNT"), [(s, k, w, f"{c:,}") for s, k, w, c in rows]))
        for one in silent:
            err.print(f"{one['store']}: no answer: {one['why']}", markup=False)
    raise SystemExit(Exit.PARTIAL if silent else Exit.DONE)


@record.command()
@operator_option
@click.option("--older", "days", type=click.FloatRange(1.0), default=7.0, show_default=True,
              help="Days, by the store's clock. No connection may be open for so long.")
@click.option("--store", help="One of them by its name; else all.")
def prune(operator: Path, days: float, store: str | None) -> None:
    """Delete the marks of questions answered long ago. Records stay. Exit code 3 if a store does not answer."""
    silent = False
    for target in one_of(stores_of(operator), store):
        try:
            gone = operator_queries.prune(target, int(days * 86_400_000))
            out.print(f"{target.name}: {gone:,} marks deleted", markup=False)
        except StoreFailure as trouble:
            silent = True
            err.print(f"{target.name}: no answer: {trouble}", markup=False)
    raise SystemExit(Exit.PARTIAL if silent else Exit.DONE)


@record.command()
@click.argument("request")
@operator_option
@click.option("--store", help="One of them by its name; else all.")
@click.option("--body", type=click.Path(path_type=Path), help="Write the one record's body to this file.")
@output_option
def show(request: str, operator: Path, store: str | None, body: Path | None, output: str) -> None:
    """Show what is recorded of the client's request id REQUEST."""
    found = []
    try:
        for target in one_of(stores_of(operator), store):
            found += [(target.name, one) for one in operator_queries.records(target, request)]
    except StoreFailure as trouble:
        fail(Exit.FAILED, str(trouble))
    if not found:
        fail(Exit.FAILED, f"{request}: no record of it stands; if it is open, `ironscale record open` lists it")
    if body is not None:
        if len(found) != 1 or body.exists():
            fail(Exit.USAGE, f"--body {body}: expected one record and a file that is not there, got {len(found)} "
                 f"records{' and a file' if body.exists() else ''}")
        body.write_bytes(found[0][1].body)
    if output == "json":
        print_json([{"store": name, "attempt": o.attempt, "request": o.request, "class": o.kind, "tenant": o.tenant,
                     "key": o.key, "effect": o.effect, "target": o.target, "bytes": len(o.body), "at": at(o.at_ms),
                     "until": at(o.until_ms) if o.until_ms else None, "fingerprint": o.fingerprint}
                    for name, o in found])
        return
    out.print(table(("STORE", "CLASS", "TENANT", "KEY", "TARGET", "BYTES", "AT", "REMEMBERED UNTIL"), [
        (name, o.kind, o.tenant, o.key or "-", o.target, f"{len(o.body):,}", at(o.at_ms),
         at(o.until_ms) if o.until_ms else "for ever") for name, o in found]))


@record.command()
@click.argument("file", type=click.Path(path_type=Path))
@output_option
def verify(file: Path, output: str) -> None:
    """Check every page and every record of the SQLite store FILE, also while it is written. Exit code 1 if one is
    wrong."""
    seen = 0

    def progress(done: int) -> None:
        if output == "table" and done % 100_000 == 0:
            err.print(f"{done:,} records ...", markup=False)

    try:
        seen, wrong = sqlite.verify(file, progress)
    except StoreFailure as trouble:
        fail(Exit.FAILED, f"{trouble}")
    if output == "json":
        print_json({"file": str(file), "records": seen, "wrong": wrong})
    else:
        for line in wrong:
            out.print(line, markup=False)
        out.print(f"{seen:,} records, {len(wrong)} wrong" + ("; restore a backup" if wrong else ""), markup=False)
    raise SystemExit(Exit.FAILED if wrong else Exit.DONE)


@record.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.argument("to", type=click.Path(path_type=Path))
def backup(file: Path, to: Path) -> None:
    """Copy the SQLite store FILE to the new file TO, as it is at one moment, while it is written. The copy is
    verified."""
    last = time.monotonic()

    def progress(left: int, pages: int) -> None:
        nonlocal last
        if time.monotonic() - last > 2.0:
            last = time.monotonic()
            err.print(f"{pages - left:,} of {pages:,} pages ...", markup=False)

    try:
        pages = sqlite.backup(file, to, progress)
        seen, wrong = sqlite.verify(to)
    except StoreFailure as trouble:
        fail(Exit.FAILED, str(trouble))
    if wrong:
        fail(Exit.FAILED, f"{to}: the copy is not whole: {wrong[0]}")
    out.print(f"{to}: {pages:,} pages, {seen:,} records, verified", markup=False)
