"""permit, budgets, halt, forget: what may be out at once, and leave to take it out."""

from __future__ import annotations

import signal
import subprocess
import time
import uuid
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import click

from ironscale.cli.client import Api
from ironscale.cli.common import api_for, api_options, output_option
from ironscale.cli.output import CliError, Exit, err, fail, out, print_json, table, word

POLL_S = 0.25
GIVE_BACK_S = 60.0  # so long it is tried again where no agent answers
PERMIT = "id key holder units reason priority phase note createdAt leaseMs waitsFor"
HELD = ("HELD", "UNKNOWN")


@click.group()
def permit() -> None:
    """Leave to take instances out of service, under the budgets that the whole fleet shares."""


def units_of(names: Sequence[str]) -> list[str]:
    return [name if "/" in name else f"sidecar/{name}" for name in names]


def line_of(found: dict[str, Any]) -> str:
    waits = f"; waits: {found['waitsFor']}" if found["waitsFor"] else ""
    return f"permit {found['id']} ({', '.join(found['units'])}): {word(found['phase'])}{waits}"


def ask(api: Api, names: Sequence[str], reason: str, priority: int, lease_s: float, key: str) -> dict[str, Any]:
    """By its key: an answer that is lost leaves one permit and not two."""
    found: dict[str, Any] = api.again(
        "mutation($input: PermitInput!) { takePermit(input: $input) { %s } }" % PERMIT,  # noqa: UP031
        f"repeat with --key {key}", input={"key": key, "units": units_of(names), "reason": reason,
                                           "priority": priority, "leaseMs": int(lease_s * 1000)})["takePermit"]
    return found


def get(api: Api, ident: int) -> dict[str, Any]:
    found: dict[str, Any] = api.call("query($id: Int!) { permit(id: $id) { %s } }" % PERMIT,  # noqa: UP031
                                     id=ident)["permit"]
    return found


def renew(api: Api, ident: int) -> dict[str, Any]:
    found: dict[str, Any] = api.call("mutation($id: Int!) { renewPermit(id: $id) { %s } }" % PERMIT,  # noqa: UP031
                                     id=ident)["renewPermit"]
    return found


def give_back(api: Api, ident: int, force: bool = False) -> dict[str, Any]:
    """Again and again where no agent answers: given back twice is given back once."""
    query = "mutation($id: Int!, $force: Boolean!) { giveBackPermit(id: $id, force: $force) { %s } }"
    found: dict[str, Any] = api.again(query % PERMIT, f"repeat `ironscale permit give-back {ident}`", GIVE_BACK_S,
                                      id=ident, force=force)["giveBackPermit"]
    return found


def wait_held(api: Api, found: dict[str, Any], timeout_s: float) -> dict[str, Any]:
    """Until it is held, or the time is up. Renewed meanwhile: whoever still waits is still there."""
    deadline_s, said = time.monotonic() + timeout_s, ""
    while found["phase"] == "WAITING" and time.monotonic() < deadline_s:
        if found["waitsFor"] != said:
            said = found["waitsFor"]
            err.print(line_of(found), markup=False)
        time.sleep(POLL_S)
        try:
            found = get(api, found["id"])
        except CliError as error:
            if error.code is not Exit.NO_AGENT:
                raise
    return found


def take_options(function: Callable[..., Any]) -> Callable[..., Any]:
    for option in (
        click.option("--reason", default="", help="For those who look."),
        click.option("--priority", type=click.IntRange(0, 9), default=0, show_default=True),
        click.option("--lease", "lease_s", type=click.FloatRange(0.5, 3600), default=30.0, show_default=True,
                     help="Seconds within which it has to be renewed."),
        click.option("--key", default="", help="The same one again is the same permit."),
        click.option("--timeout", "timeout_s", type=click.FloatRange(0), default=300.0, show_default=True,
                     help="Seconds to wait for room."),
    ):
        function = option(function)
    return function


@permit.command("take")
@click.argument("names", nargs=-1, required=True, metavar="NAME...")
@take_options
@api_options
@output_option
def take(names: tuple[str, ...], reason: str, priority: int, lease_s: float, key: str, timeout_s: float, output: str,
         address: str | None, token_file: Path | None, data: Path) -> None:
    """Ask for leave to take instances out, and wait for it. Exit 7: it waits on; ask again with the same --key."""
    api, key = api_for(address, token_file, data), key or uuid.uuid4().hex
    found = wait_held(api, ask(api, names, reason, priority, lease_s, key), timeout_s)
    show(found, output)
    if found["phase"] == "WAITING":
        raise SystemExit(Exit.UNDER_WAY)
    if found["phase"] not in HELD:
        raise SystemExit(Exit.CONFLICT)


@permit.command("renew")
@click.argument("ident", type=int, metavar="ID")
@api_options
@output_option
def renew_(ident: int, output: str, address: str | None, token_file: Path | None, data: Path) -> None:
    """Say that its holder is still there. Exit 4: it is not held any more; nothing more may go out."""
    show(renew(api_for(address, token_file, data), ident), output)


@permit.command("give-back")
@click.argument("ident", type=int, metavar="ID")
@click.option("--force", is_flag=True, help="Another's permit: you know that its holder can act no more.")
@api_options
@output_option
def give_back_(ident: int, force: bool, output: str, address: str | None, token_file: Path | None, data: Path) -> None:
    """Say that its holder is through. It counts on until its units are seen to serve."""
    show(give_back(api_for(address, token_file, data), ident, force), output)


@permit.command("list")
@click.option("--all", "all_", is_flag=True, help="Those too that ended in the last hour.")
@api_options
@output_option
def list_(all_: bool, output: str, address: str | None, token_file: Path | None, data: Path) -> None:
    """Who may have what out, and who waits."""
    rows = api_for(address, token_file, data).call(
        "query($all: Boolean!) { permits(all: $all) { %s } }" % PERMIT, all=all_)["permits"]  # noqa: UP031
    if output == "json":
        print_json(rows)
        return
    out.print(table(("ID", "PHASE", "HOLDER", "UNITS", "PRIORITY", "SINCE", "REASON", "WAITS FOR"), [
        (r["id"], word(r["phase"]), r["holder"], ", ".join(r["units"]), r["priority"], r["createdAt"][:19],
         r["reason"] or r["note"], r["waitsFor"]) for r in rows]))


@permit.command("run", context_settings={"ignore_unknown_options": True, "allow_interspersed_args": False})
@click.option("--unit", "names", multiple=True, required=True, metavar="NAME", help="Once for each.")
@take_options
@api_options
@click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED, metavar="-- COMMAND...")
def run(names: tuple[str, ...], command: tuple[str, ...], reason: str, priority: int, lease_s: float, key: str,
        timeout_s: float, address: str | None, token_file: Path | None, data: Path) -> None:
    """Run COMMAND once there is leave, and hold it for as long as that runs. Ends with the command's exit code.

    Where the permit can't be renewed the command is told of nothing and goes on; the error says so. Its units count
    until they are seen to serve."""
    api, key = api_for(address, token_file, data), key or uuid.uuid4().hex
    found = ask(api, names, reason or " ".join(command)[:100], priority, lease_s, key)
    ident: int = found["id"]
    try:
        found = wait_held(api, found, timeout_s)
        if found["phase"] not in HELD:
            fail(Exit.UNDER_WAY if found["phase"] == "WAITING" else Exit.CONFLICT,
                 f"permit {ident} is {word(found['phase'])}: {found['waitsFor'] or found['note']}; nothing was run")
        found = renew(api, ident)  # last, before anything goes out: the wait may have been long
        if found["phase"] != "HELD":
            fail(Exit.CONFLICT, f"permit {ident} is {word(found['phase'])}; nothing was run")
        code = hold(api, ident, command, lease_s)
    finally:
        err.print(line_of(give_back(api, ident)), markup=False)
    raise SystemExit(code)


def hold(api: Api, ident: int, command: Sequence[str], lease_s: float) -> int:
    """The command's exit code. Signals go to it and not to the permit."""
    try:
        child = subprocess.Popen(command)
    except OSError as error:
        fail(Exit.USAGE, f"{command[0]}: expected a command that can be started, got {error.strerror}")
    before = {number: signal.signal(number, lambda got, frame: child.send_signal(got))
              for number in (signal.SIGTERM, signal.SIGINT)}
    renewed_s, said = time.monotonic(), ""
    try:
        while True:
            try:
                code = child.wait(min(POLL_S, lease_s / 5))
                return code if code >= 0 else 128 - code
            except subprocess.TimeoutExpired:
                pass
            if time.monotonic() - renewed_s < lease_s / 3:
                continue
            try:
                renew(api, ident)
                renewed_s, said = time.monotonic(), ""
            except CliError as error:
                if str(error) != said:
                    said = str(error)
                    err.print(f"ironscale: permit {ident} can't be renewed, the command goes on: {error}", markup=False)
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)


def show(found: dict[str, Any], output: str) -> None:
    if output == "json":
        print_json(found)
    else:
        out.print(line_of(found), markup=False)


@click.command()
@api_options
@output_option
def budgets(output: str, address: str | None, token_file: Path | None, data: Path) -> None:
    """What may be out at once, and what is."""
    rows = api_for(address, token_file, data).call(
        "{ budgets { name part of units most mostCapacity out capacityOut text } }")["budgets"]
    if output == "json":
        print_json(rows)
        return
    out.print(table(("BUDGET", "PART", "OF", "UNITS", "OUT", "MOST", "CAPACITY OUT", "MOST CAPACITY", "WHICH"), [
        (r["name"], r["part"], f"{r['of']}s", r["units"], f"{r['out']:.4g}", "" if r["most"] < 0 else f"{r['most']:g}",
         f"{r['capacityOut']:.0%}", "" if r["mostCapacity"] < 0 else f"{r['mostCapacity']:.0%}", r["text"])
        for r in rows]))


@click.command()
@click.argument("reason", required=False, default="")
@click.option("--lift", is_flag=True, help="End it.")
@api_options
@output_option
def halt(reason: str, lift: bool, output: str, address: str | None, token_file: Path | None, data: Path) -> None:
    """Stop everything that takes instances out, in the whole fleet. What is under way is awaited; ways back go on."""
    api = api_for(address, token_file, data)
    fields = "{ actor reason at liftedAt liftedBy }"
    if lift and reason:
        fail(Exit.USAGE, f"expected --lift alone, got the reason {reason!r} beside it")
    if lift:
        found = api.again("mutation { liftHalt %s }" % fields, "repeat `ironscale halt --lift`")["liftHalt"]  # noqa: UP031
    else:
        found = api.again("mutation($reason: String!) { halt(reason: $reason) %s }" % fields,  # noqa: UP031
                          "repeat `ironscale halt`", reason=reason)["halt"]
    if output == "json":
        print_json(found)
    elif found is None:
        out.print("there was no halt")
    else:
        why = f": {found['reason']}" if found["reason"] else ""
        lifted = f"; lifted by {found['liftedBy']}" if found["liftedAt"] else ""
        out.print(f"halted by {found['actor']} at {found['at'][:19]}{why}{lifted}", markup=False)


@click.command()
@click.argument("name")
@click.option("--ended", is_flag=True, help="Your word that its process has ended, where that is not known here.")
@api_options
def forget(name: str, ended: bool, address: str | None, token_file: Path | None, data: Path) -> None:
    """Take an instance that is no more off the record: until then it counts as out."""
    api_for(address, token_file, data).call(
        "mutation($name: String!, $ended: Boolean!) { forget(name: $name, ended: $ended) }", name=name, ended=ended)
    out.print(f"{name} is forgotten", markup=False)
