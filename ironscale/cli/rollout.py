"""apply, rollout, ops, events."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Any

import click
import httpx

from ironscale.cli.common import (
    OPERATION,
    api_for,
    api_options,
    conclude,
    follow,
    get_operation,
    line_of,
    output_option,
    policy_input,
    policy_options,
    wait_options,
)
from ironscale.cli.output import CliError, Exit, err, fail, out, print_json, table, word


def read_overlay(path: str) -> dict[str, Any]:
    try:
        text = sys.stdin.read() if path == "-" else Path(path).read_text(encoding="utf-8")
        overlay = json.loads(text, parse_constant=lambda name: fail(Exit.USAGE, f"{path}: expected JSON, got {name}"))
    except OSError as error:
        fail(Exit.USAGE, f"{path}: expected a file that can be read, got {error.strerror}")
    except ValueError as error:
        fail(Exit.USAGE, f"{path}: expected JSON, got {error}")
    if not isinstance(overlay, dict):
        fail(Exit.USAGE, f"{path}: expected an object, got {type(overlay).__name__}")
    return overlay


@click.command()
@click.argument("file")
@click.option("--selector", "-l", default="", help="Which instances; all without it.")
@click.option("--expect", type=click.IntRange(0), help="The generation that must be the present one; else the one "
              "that the plan was made against.")
@click.option("--yes", "-y", is_flag=True, help="Don't ask.")
@policy_options
@wait_options
@api_options
@output_option
def apply(file: str, selector: str, expect: int | None, yes: bool, timeout_s: float, no_wait: bool, key: str,
          supersede: bool, output: str, address: str | None, token_file: Path | None, data: Path,
          **policy_given: Any) -> None:
    """Roll out FILE (- is standard input): a JSON merge patch on every instance's own configuration."""
    overlay = read_overlay(file)
    api = api_for(address, token_file, data)
    plan = api.call("query($overlay: JSON!, $selector: String!) { plan(overlay: $overlay, selector: $selector) { "
                    "generation matched sample difference } }", overlay=overlay, selector=selector)["plan"]
    if output == "table":
        err.print(f"generation {plan['generation']} -> {plan['generation'] + 1} on {plan['matched']} instances"
                  f" ({', '.join(plan['sample'])}{' ...' if plan['matched'] > len(plan['sample']) else ''})")
        for line in plan["difference"] or ["nothing differs"]:
            err.print(f"  {line}", markup=False)
    if not yes:
        if not sys.stdin.isatty():
            fail(Exit.USAGE, "expected --yes where nobody can be asked")
        if not click.confirm("Roll it out?", err=True):
            raise SystemExit(Exit.STOPPED)
    policy = policy_input(policy_given)
    op = api.mutate(OPERATION + "mutation($input: ApplyInput!) { apply(input: $input) { ...Op } }", {
        "selector": selector, "overlay": overlay, "policy": policy, "idempotencyKey": key, "supersede": supersede,
        "expectGeneration": plan["generation"] if expect is None else expect})["apply"]
    raise SystemExit(follow(api, op, 0.0 if no_wait else timeout_s, output))


@click.group()
def rollout() -> None:
    """Look at an operation, or steer it."""


def latest(address: str | None, token_file: Path | None, data: Path) -> int:
    api = api_for(address, token_file, data)
    edges = api.call("{ operations(first: 1) { edges { node { id } } } }")["operations"]["edges"]
    if not edges:
        fail(Exit.USAGE, "there has been no operation yet; `ironscale apply` and `ironscale drain` begin one")
    return int(edges[0]["node"]["id"])


@rollout.command("status")
@click.argument("operation", type=int, required=False)
@click.option("--watch", "-w", is_flag=True, help="Until it ends.")
@click.option("--timeout", "timeout_s", type=click.FloatRange(0), default=300.0, show_default=True)
@api_options
@output_option
def status(operation: int | None, watch: bool, timeout_s: float, output: str, address: str | None,
           token_file: Path | None, data: Path) -> None:
    """What became of each target of OPERATION (else of the newest)."""
    api = api_for(address, token_file, data)
    op = get_operation(api, latest(address, token_file, data) if operation is None else operation)
    raise SystemExit(follow(api, op, timeout_s, output) if watch else conclude(api, op, output))


def steering(name: str, field: str, help_: str) -> click.Command:
    @click.command(name, help=help_)
    @click.argument("operation", type=int)
    @click.option("--urgent", is_flag=True, hidden=field != "rollBack", help="Without waiting for room in a budget.")
    @api_options
    @output_option
    def command(operation: int, urgent: bool, output: str, address: str | None, token_file: Path | None, data: Path
                ) -> None:
        if urgent and field != "rollBack":
            fail(Exit.USAGE, f"expected --urgent with `ironscale rollout rollback` alone, got it with {name}")
        api, more = api_for(address, token_file, data), ", urgent: true" if urgent else ""
        op = api.call(OPERATION + "mutation($id: Int!) { %s(operation: $id%s) { ...Op } }" % (field, more),  # noqa: UP031
                      id=operation)[field]
        if output == "json":
            print_json(op)
        else:
            out.print(line_of(op))

    return command


rollout.add_command(steering("pause", "pause", "Start nothing more for now; what is under way goes on."))
rollout.add_command(steering("resume", "resume", "Go on, past the failures that there have been."))
rollout.add_command(steering("abort", "abort", "Start nothing more, and end when what is under way has settled."))
rollout.add_command(steering("rollback", "rollBack", "Take every target back to what it ran before."))


@click.command()
@click.option("--open", "open_only", is_flag=True, help="Only those that go on.")
@click.option("--first", type=click.IntRange(1, 500), default=20, show_default=True)
@api_options
@output_option
def ops(open_only: bool, first: int, output: str, address: str | None, token_file: Path | None, data: Path) -> None:
    """List operations, the newest first."""
    api = api_for(address, token_file, data)
    edges = api.call(OPERATION + "query($first: Int!, $open: Boolean!) { operations(first: $first, openOnly: $open) "
                     "{ edges { node { ...Op } } } }", first=first, open=open_only)["operations"]["edges"]
    nodes = [edge["node"] for edge in edges]
    if output == "json":
        print_json(nodes)
        return
    out.print(table(("ID", "KIND", "PHASE", "GEN", "BY", "BEGUN", "TARGETS", "NOTE"), [
        (n["id"], word(n["kind"]), word(n["phase"]), n["generation"] or "", n["actor"], n["createdAt"][:19],
         ", ".join(f"{c['count']} {word(c['state'])}" for c in n["counts"]), n["stalled"] or n["note"])
        for n in nodes]))


EVENT = "id cursor at actor action subject result detail"


def print_event(event: dict[str, Any], output: str) -> None:
    if output == "json":
        sys.stdout.write(json.dumps(event) + "\n")
        sys.stdout.flush()
        return
    detail = event["detail"]
    more = " ".join(f"{k}={v}" for k, v in detail.items() if v not in ("", 0, None) and not isinstance(v, dict))
    out.print(f"{event['at'][:19]} {event['actor']:<10} {event['action']:<12} {event['subject']:<20} "
              f"{event['result']:<14} {more}", markup=False)


@click.command()
@click.option("--follow", "-f", is_flag=True, help="Go on with those that come.")
@click.option("--first", type=click.IntRange(1), default=50, show_default=True, help="How many of the last ones.")
@api_options
@output_option
def events(follow: bool, first: int, output: str, address: str | None, token_file: Path | None, data: Path) -> None:
    """The audit log: who did what, when, with what result."""
    api = api_for(address, token_file, data)
    query = ("query($after: String) { events(first: 500, after: $after) { pageInfo { hasNextPage endCursor } "
             "edges { node { " + EVENT + " } } } }")
    found = list(api.pages(query, "events"))[-first:]
    for event in found:
        print_event(event, output)
    after = found[-1]["cursor"] if found else None
    while follow:
        try:
            for data_ in api.stream("subscription($after: String) { events(after: $after) { " + EVENT + " } }",
                                    after=after):
                after = data_["events"]["cursor"]
                print_event(data_["events"], output)
        except (httpx.HTTPError, CliError) as error:
            if isinstance(error, CliError) and error.code is not Exit.NO_AGENT:
                raise
            err.print(f"the agent is away ({error}); trying again")
        time.sleep(1.0)
