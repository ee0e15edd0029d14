"""config: the operator file, and the versions of the configuration that are published."""

from __future__ import annotations

import json
import sys
import uuid
from collections.abc import Callable
from itertools import islice
from pathlib import Path
from typing import Any

import click

from ironscale.agent.config_diff import difference
from ironscale.cli import processes
from ironscale.cli.client import Api
from ironscale.cli.common import api_for, api_options, output_option
from ironscale.cli.output import Exit, err, fail, out, print_json, table
from ironscale.cli.rollout import read_overlay
from ironscale.versions.model import ScopeError, parse_scope

VERSION = "number scope overlay base restores actor at note inForce"
LOG = ("query($scope: String!, $first: Int!, $after: String) { versions(scope: $scope, first: $first, after: $after) { "
       "edges { node { " + VERSION + " } } pageInfo { hasNextPage endCursor } } }")
EXPLAIN = ("query($instance: String!, $service: String!, $zone: String!, $region: String!) { configurationOf("
           "instance: $instance, service: $service, zone: $zone, region: $region) { position overlay digest "
           "layers { " + VERSION + " } } }")
PAGE = 100


@click.group()
def config() -> None:
    """The operator file, and published versions: what every instance in a scope runs, whichever agent serves it."""


config.add_command(processes.check)


def scope_option(function: Callable[..., Any]) -> Callable[..., Any]:
    return click.option("--scope", required=True, metavar="SCOPE", callback=checked_scope,
                        help="all, or region=, zone=, service= or instance=NAME.")(function)


def checked_scope(context: click.Context, parameter: click.Parameter, value: str) -> str:
    try:
        return str(parse_scope(value)) if value else value
    except ScopeError as problem:
        fail(Exit.USAGE, str(problem))


def change_options(function: Callable[..., Any]) -> Callable[..., Any]:
    for option in (
        click.option("--base", type=click.IntRange(0), required=True, help="The newest version of the scope as you saw "
                     "it; 0: it had none. `ironscale config log --scope` tells."),
        click.option("--note", default="", help="For those who look."),
        click.option("--key", default="", help="Idempotency key: the same one again publishes nothing new."),
        click.option("--yes", "-y", is_flag=True, help="Don't ask."),
    ):
        function = option(function)
    return function


def newest_of(api: Api, scope: str) -> dict[str, Any] | None:
    edges = api.call(LOG, scope=scope, first=1, after=None)["versions"]["edges"]
    return edges[0]["node"] if edges else None


def confirm(api: Api, scope: str, overlay: dict[str, Any] | None, yes: bool, output: str) -> None:
    """Shows what would change in the scope, and asks."""
    if yes and output == "json":
        return
    newest = newest_of(api, scope)
    before = newest["overlay"] if newest is not None else None
    err.print(f"{scope}: {'version ' + str(newest['number']) if newest else 'no version'} -> the next", markup=False)
    for line in difference(before or {}, overlay or {}) or ["nothing differs"]:
        err.print(f"  {line}", markup=False)
    if not yes:
        if not sys.stdin.isatty():
            fail(Exit.USAGE, "expected --yes where nobody can be asked")
        if not click.confirm("Publish it?", err=True):
            raise SystemExit(Exit.STOPPED)


def change(api: Api, field: str, kind: str, given: dict[str, Any], output: str) -> None:
    """By its key: an answer that is lost leaves one version and not two."""
    keyed = {**given, "idempotencyKey": given["idempotencyKey"] or uuid.uuid4().hex}
    found = api.again(
        "mutation($input: %s!) { %s(input: $input) { %s } }" % (kind, field, VERSION),  # noqa: UP031
        f"look with `ironscale config log`, or repeat with --key {keyed['idempotencyKey']}", input=keyed)[field]
    if output == "json":
        print_json(found)
    else:
        out.print(line_of(found), markup=False)


def line_of(version: dict[str, Any]) -> str:
    what = f"brings back {version['restores']}" if version["restores"] else (
        "published" if version["overlay"] is not None else "none from here on")
    return f"version {version['number']} of {version['scope']}: {what} (base {version['base']}, {version['actor']})"


@config.command("publish")
@click.argument("file")
@scope_option
@change_options
@api_options
@output_option
def publish(file: str, scope: str, base: int, note: str, key: str, yes: bool, output: str, address: str | None,
            token_file: Path | None, data: Path) -> None:
    """Publish FILE (- is standard input) for a scope: a JSON merge patch on each instance's own configuration.

    It takes the place of what the scope had. Exit 4: the scope has another newest version by now; look, then publish
    again upon that."""
    overlay = read_overlay(file)
    api = api_for(address, token_file, data)
    confirm(api, scope, overlay, yes, output)
    change(api, "publish", "PublishInput", {"scope": scope, "overlay": overlay, "base": base, "note": note,
                                            "idempotencyKey": key}, output)


@config.command("remove")
@scope_option
@change_options
@api_options
@output_option
def remove(scope: str, base: int, note: str, key: str, yes: bool, output: str, address: str | None,
           token_file: Path | None, data: Path) -> None:
    """Take away what a scope has: wider scopes, and each instance's own file, go on."""
    api = api_for(address, token_file, data)
    confirm(api, scope, None, yes, output)
    change(api, "publish", "PublishInput", {"scope": scope, "overlay": None, "base": base, "note": note,
                                            "idempotencyKey": key}, output)


@config.command("restore")
@click.argument("version", type=click.IntRange(1))
@change_options
@api_options
@output_option
def restore(version: int, base: int, note: str, key: str, yes: bool, output: str, address: str | None,
            token_file: Path | None, data: Path) -> None:
    """The way back: what VERSION said of its scope, as a new version. It goes on while a halt stands."""
    api = api_for(address, token_file, data)
    former = get(api, version)
    confirm(api, former["scope"], former["overlay"], yes, output)
    change(api, "restoreVersion", "RestoreVersionInput", {"version": version, "base": base, "note": note,
                                                          "idempotencyKey": key}, output)


def get(api: Api, version: int) -> dict[str, Any]:
    found: dict[str, Any] | None = api.call(
        "query($number: Int!) { version(number: $number) { %s } }" % VERSION, number=version)["version"]  # noqa: UP031
    if found is None:
        fail(Exit.USAGE, f"there is no version {version} in the history; see `ironscale config log`")
    return found


@config.command("log")
@click.option("--scope", default="", callback=checked_scope, help="Of one scope only.")
@click.option("--first", type=click.IntRange(1, 1_000), default=20, show_default=True)
@api_options
@output_option
def log(scope: str, first: int, output: str, address: str | None, token_file: Path | None, data: Path) -> None:
    """List published versions, the newest first."""
    api = api_for(address, token_file, data)
    rows = list(islice(api.pages(LOG, "versions", scope=scope, first=min(first, PAGE)), first))
    if output == "json":
        print_json(rows)
        return
    out.print(table(("VERSION", "SCOPE", "IN FORCE", "BASE", "RESTORES", "BY", "AT", "NOTE"), [
        (r["number"], r["scope"], "yes" if r["inForce"] and r["overlay"] is not None else "",
         r["base"] or "", r["restores"] or "", r["actor"], r["at"][:19], r["note"]) for r in rows]))


@config.command("show")
@click.argument("version", type=click.IntRange(1))
@api_options
@output_option
def show(version: int, output: str, address: str | None, token_file: Path | None, data: Path) -> None:
    """One version with its overlay."""
    found = get(api_for(address, token_file, data), version)
    if output == "json":
        print_json(found)
        return
    note = f": {found['note']}" if found["note"] else ""
    out.print(f"{line_of(found)} at {found['at'][:19]}{note}", markup=False)
    out.print(json.dumps(found["overlay"], indent=2, ensure_ascii=False), markup=False)


@config.command("explain")
@click.option("--instance", default="", help="Its name.")
@click.option("--service", default="")
@click.option("--zone", default="")
@click.option("--region", default="")
@api_options
@output_option
def explain(instance: str, service: str, zone: str, region: str, output: str, address: str | None,
            token_file: Path | None, data: Path) -> None:
    """What an instance of these labels runs on top of its own file, and which versions that comes of."""
    found = api_for(address, token_file, data).call(
        EXPLAIN, instance=instance, service=service, zone=zone, region=region)["configurationOf"]
    if output == "json":
        print_json(found)
        return
    out.print(table(("SCOPE", "VERSION", "BY", "AT", "KEYS"), [
        (r["scope"], r["number"], r["actor"], r["at"][:19],
         ", ".join(r["overlay"]) if r["overlay"] is not None else "none from here on") for r in found["layers"]]))
    out.print(json.dumps(found["overlay"], indent=2, ensure_ascii=False), markup=False)
    out.print(f"as of position {found['position']}, digest {found['digest']}", markup=False)


@config.command("status")
@api_options
@output_option
def status(output: str, address: str | None, token_file: Path | None, data: Path) -> None:
    """Which agents serve what is published, how old their views are, and which instances differ. Exit 3: some do."""
    found = api_for(address, token_file, data).call(
        "{ served { position agents { agent known heardMs position ageMs instances more positions { position instances "
        "} differing { name running status detail } } } }")["served"]
    agents, differ = found["agents"], any(one["differing"] for one in found["agents"])
    if output == "json":
        print_json(found)
    else:
        position = "not known, as the record does not answer" if found["position"] is None else found["position"]
        out.print(f"position {position}", markup=False)
        out.print(table(("AGENT", "HEARD", "POSITION", "VIEW AGE", "INSTANCES", "AT POSITION"), [
            (one["agent"], f"{one['heardMs'] / 1000:.1f} s ago" + ("" if one["known"] else ", lost"), one["position"],
             f"{one['ageMs'] / 1000:.1f} s", one["instances"],
             ", ".join(f"{p['instances']} at {p['position']}" for p in one["positions"])) for one in agents]))
        rows = [(d["name"], one["agent"], d["running"], d["status"], d["detail"])
                for one in agents for d in one["differing"]]
        if rows:
            out.print(table(("NAME", "AGENT", "RUNNING", "STATUS", "DETAIL"), rows))
            more = sum(one["more"] for one in agents)
            if more:
                out.print(f"{more} more differ")
    raise SystemExit(Exit.PARTIAL if differ else Exit.DONE)
