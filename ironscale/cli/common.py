"""What all commands share: options, and the wait for an operation."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click
from rich.live import Live

from ironscale.cli.client import Api, Where
from ironscale.cli.output import CliError, Exit, err, fail, out, print_json, table, word

F = TypeVar("F", bound=Callable[..., Any])
POLL_S = 0.25
OPERATION = """fragment Op on Operation { id kind phase open actor note stalled generation createdAt endedAt
  policy { wave maxUnavailable maxFailures onFailure answerMs } counts { state count } }"""
TARGETS = """query($id: Int!, $after: String) { operation(id: $id) { targets(first: 500, after: $after) {
  pageInfo { hasNextPage endCursor } edges { node { name state detail since boot tries fromGeneration } } } } }"""


def api_options(function: F) -> F:
    """--agent, --token-file, --data."""
    for option in (
        click.option("--agent", "address", metavar="URL", help="The agent's API; else IRONSCALE_AGENT, else the "
                     "address in the data folder."),
        click.option("--token-file", type=click.Path(path_type=Path), help="A bearer token; else "
                     "IRONSCALE_TOKEN_FILE, else admin.token in the data folder."),
        click.option("--data", type=click.Path(path_type=Path), default=Path(".ironscale"), show_default=True,
                     envvar="IRONSCALE_DATA", help="The agent's data folder, on its own machine."),
    ):
        function = option(function)
    return function


def output_option(function: F) -> F:
    return click.option("--output", "-o", type=click.Choice(["table", "json"]), default="table",
                        show_default=True)(function)


def wait_options(function: F) -> F:
    for option in (
        click.option("--timeout", "timeout_s", type=click.FloatRange(0), default=300.0, show_default=True,
                     help="Seconds to wait for the end; the operation itself goes on."),
        click.option("--no-wait", is_flag=True, help="Begin it, and don't wait."),
        click.option("--key", default="", help="Idempotency key: the same one again begins nothing new."),
        click.option("--supersede", is_flag=True, help="Take the place of open operations on the same instances."),
    ):
        function = option(function)
    return function


def policy_options(function: F) -> F:
    for option in (
        click.option("--wave", type=click.IntRange(0), default=0, help="Targets a wave; 0 is all in one."),
        click.option("--max-unavailable", type=click.IntRange(0), default=0,
                     help="Under way, silent or gone at the same time; 0 sets no limit."),
        click.option("--max-failures", type=click.IntRange(0), default=0, show_default=True,
                     help="Failed targets that are borne."),
        click.option("--on-failure", type=click.Choice(["stop", "pause", "rollback"]), default="stop",
                     show_default=True, help="What happens past them."),
        click.option("--gate", is_flag=True, help="The next wave begins only if those of before serve as well as the "
                     "untouched part of the fleet does meanwhile."),
        click.option("--canary", type=click.IntRange(0), default=0, help="Targets of the first wave."),
        click.option("--soak", "soak_s", type=click.FloatRange(0, 3600), default=0.0, show_default=True,
                     help="Seconds that a wave is looked at, at least."),
        click.option("--soak-most", "soak_most_s", type=click.FloatRange(0, 86400), default=60.0, show_default=True,
                     help="Seconds after which too little seen is a breach; with --unsure go, no hindrance."),
        click.option("--margin", type=click.FloatRange(0, 1), default=0.02, show_default=True,
                     help="Share of answers by which the changed part may be worse."),
        click.option("--unsure", type=click.Choice(["halt", "go"]), default="halt", show_default=True),
        click.option("--priority", type=click.IntRange(0, 9), default=0, show_default=True,
                     help="Among all that wait for room in a budget."),
        click.option("--answer-timeout", "answer_s", type=click.FloatRange(0.1, 3600), default=10.0,
                     show_default=True, help="Seconds that an instance has to answer and to show it."),
    ):
        function = option(function)
    return function


def policy_input(given: dict[str, Any]) -> dict[str, Any]:
    """Of what `policy_options` gave; it is taken out."""
    def taken(name: str) -> Any:
        return given.pop(name)

    return {"wave": taken("wave"), "maxUnavailable": taken("max_unavailable"), "maxFailures": taken("max_failures"),
            "onFailure": taken("on_failure").upper(), "answerMs": int(taken("answer_s") * 1000),
            "priority": taken("priority"), "canary": taken("canary"), "gate": taken("gate"),
            "soakMs": int(taken("soak_s") * 1000), "soakMostMs": int(taken("soak_most_s") * 1000),
            "margin": taken("margin"), "unsure": taken("unsure").upper()}


def api_for(address: str | None, token_file: Path | None, data: Path) -> Api:
    return Api(Where(address, token_file, data))


def selector_of(names: tuple[str, ...], selector: str) -> str:
    """Names and --selector together; several names are one term each only where there is one."""
    if len(names) > 1:
        fail(Exit.USAGE, f"expected one NAME (it may hold * and ?), got {len(names)}; or use --selector")
    terms = [f"name={names[0]}"] if names else []
    return ",".join([*terms, *([selector] if selector else [])])


def line_of(op: dict[str, Any]) -> str:
    counts = ", ".join(f"{c['count']} {word(c['state'])}" for c in op["counts"])
    stalled = f"; waits: {op['stalled']}" if op["stalled"] else ""
    note = f" ({op['note']})" if op["note"] else ""
    generation = f" to generation {op['generation']}" if op["kind"] == "RECONFIGURE" else ""
    return f"operation {op['id']}: {word(op['kind'])}{generation} {word(op['phase'])}{note}: {counts}{stalled}"


def all_targets(api: Api, ident: int) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = []
    after = None
    while True:
        op = api.call(TARGETS, id=ident, after=after)["operation"]
        if op is None:
            fail(Exit.USAGE, f"there is no operation {ident}; see `ironscale ops`")
        page = op["targets"]
        found += [edge["node"] for edge in page["edges"]]
        if not page["pageInfo"]["hasNextPage"]:
            return found
        after = page["pageInfo"]["endCursor"]


def get_operation(api: Api, ident: int) -> dict[str, Any]:
    op: dict[str, Any] | None = api.call(
        OPERATION + "query($id: Int!) { operation(id: $id) { ...Op } }", id=ident)["operation"]
    if op is None:
        fail(Exit.USAGE, f"there is no operation {ident}; see `ironscale ops`")
    return op


def follow(api: Api, op: dict[str, Any], timeout_s: float, output: str) -> Exit:
    """Shows an operation until it ends or the time is up; then what became of every target."""
    deadline_s = time.monotonic() + timeout_s
    lost = ""
    with Live(line_of(op), console=err, refresh_per_second=8, transient=True) as live:
        while op["open"] and time.monotonic() < deadline_s:
            time.sleep(POLL_S)
            try:
                op, lost = get_operation(api, op["id"]), ""
            except CliError as error:
                # the agent may be starting again; the operation is in its record
                if error.code is not Exit.NO_AGENT:
                    raise
                lost = str(error)
            live.update(f"{line_of(op)}{f' [agent lost: {lost}]' if lost else ''}")
    if lost:
        fail(Exit.NO_AGENT, f"operation {op['id']}: the agent is gone, its outcome is not known; ask it again with "
             f"`ironscale rollout status {op['id']}`")
    return conclude(api, op, output)


def conclude(api: Api, op: dict[str, Any], output: str) -> Exit:
    targets = all_targets(api, op["id"])
    if output == "json":
        print_json({**op, "targets": targets})
    else:
        out.print(line_of(op))
        wanted = [t for t in targets if t["state"] != "APPLIED"]
        if wanted:
            rows = [(t["name"], word(t["state"]), t["since"] or "", t["detail"]) for t in wanted]
            out.print(table(("NAME", "STATE", "SINCE", "DETAIL"), rows))
        if op["open"]:
            out.print(f"it goes on; look with `ironscale rollout status {op['id']}`")
    if op["open"]:
        return Exit.UNDER_WAY
    return Exit.DONE if op["phase"] == "SUCCEEDED" else Exit.PARTIAL
