"""ls, show, drain, undrain, stop, restart."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import click
from rich.console import Group, RenderableType
from rich.live import Live

from ironscale.cli.client import Api
from ironscale.cli.common import (
    OPERATION,
    api_for,
    api_options,
    follow,
    output_option,
    policy_input,
    policy_options,
    selector_of,
    wait_options,
)
from ironscale.cli.output import Exit, fail, out, print_json, table, word

FIELDS = """name state zone version listen pid boot startedAt lastHeard connected generation desiredGeneration
  ended supervised report { ready draining open connections upstreams upstreamsReady upstreamsResting upstreamsCold
  cpuSeconds controlCpuSeconds memoryKb descriptors refusals { name count } classes { name served refused failed } }"""
LIST = """query($selector: String!, $after: String) { instances(selector: $selector, first: 250, after: $after) {
  pageInfo { hasNextPage endCursor } edges { node { %s } } } }""" % FIELDS  # noqa: UP031
FLEET = """{ fleet { generation instances ready draining silent gone behind openOperations version startedAt } }"""


def totals(report: dict[str, Any] | None) -> tuple[object, object, object]:
    if report is None:
        return "?", "?", "?"
    return tuple(sum(int(c[what]) for c in report["classes"])  # type: ignore[return-value]
                 for what in ("served", "refused", "failed"))


def instance_row(node: dict[str, Any]) -> tuple[object, ...]:
    report = node["report"]
    generation = node["generation"]
    if node["desiredGeneration"] != generation:
        generation = f"{generation}->{node['desiredGeneration']}"
    upstreams = f"{report['upstreamsReady']}/{report['upstreams']}" if report else "?"
    if report and report["upstreamsResting"]:
        upstreams += f" ({report['upstreamsResting']} rest)"
    heard = node["lastHeard"][11:19] if node["state"] in ("SILENT", "GONE") else ""
    return (node["name"], word(node["state"]), node["zone"], generation, report["open"] if report else "?",
            *totals(report), upstreams, f"{report['cpuSeconds']:.1f}" if report else "?",
            report["memoryKb"] // 1024 if report else "?", node["listen"],
            node["ended"] or (f"since {heard}" if heard else ""))


COLUMNS = ("NAME", "STATE", "ZONE", "GEN", "OPEN", "SERVED", "REFUSED", "FAILED", "UPSTREAMS", "CPU", "MB", "LISTEN",
           "NOTE")


def fleet_line(fleet: dict[str, Any]) -> str:
    return (f"{fleet['instances']} instances: {fleet['ready']} ready, {fleet['draining']} draining or drained, "
            f"{fleet['silent']} silent, {fleet['gone']} gone; {fleet['behind']} behind; "
            f"generation {fleet['generation']}; {fleet['openOperations']} operations open")


def listing(api: Api, selector: str) -> RenderableType:
    nodes = list(api.pages(LIST, "instances", selector=selector))
    return Group(table(COLUMNS, map(instance_row, nodes)), fleet_line(api.call(FLEET)["fleet"]))


@click.command()
@click.argument("names", nargs=-1, metavar="[NAME]")
@click.option("--selector", "-l", default="", help="name, zone, state, generation, version: zone=a,state!=ready ...")
@click.option("--watch", "-w", is_flag=True, help="Again every second until Ctrl-C.")
@api_options
@output_option
def ls(names: tuple[str, ...], selector: str, watch: bool, output: str, address: str | None,
       token_file: Path | None, data: Path) -> None:
    """List instances, as each last showed itself."""
    api, wanted = api_for(address, token_file, data), selector_of(names, selector)
    if output == "json":
        while True:
            print_json(list(api.pages(LIST, "instances", selector=wanted)))
            if not watch:
                return
            time.sleep(1.0)
    if not watch:
        out.print(listing(api, wanted))
        return
    with Live(listing(api, wanted), console=out, auto_refresh=False) as live:
        while True:
            time.sleep(1.0)
            live.update(listing(api, wanted), refresh=True)


@click.command()
@click.argument("name")
@click.option("--timeout", "timeout_s", type=click.FloatRange(0.1, 60), default=5.0, show_default=True)
@api_options
@output_option
def show(name: str, timeout_s: float, output: str, address: str | None, token_file: Path | None, data: Path) -> None:
    """Ask one instance now: what it runs, and each upstream as its decisions see it."""
    api = api_for(address, token_file, data)
    found = api.call("query($name: String!) { instance(name: $name) { %s } }" % FIELDS, name=name)  # noqa: UP031
    node = found["instance"]
    if node is None:
        fail(Exit.USAGE, f"there is no instance {name!r}; see `ironscale ls`")
    answered = True
    if node["connected"]:
        inspected = api.call(
            "query($name: String!, $ms: Int!) { instance(name: $name) { inspect(timeoutMs: $ms) { upstreams { name "
            "state slots used resting cold failing mute leastMs } } } }", name=name, ms=int(timeout_s * 1000))
        node["upstreams"] = inspected["instance"]["inspect"]["upstreams"]
    else:
        answered = False
    if output == "json":
        print_json(node)
    else:
        show_table(node)
    if not answered:
        fail(Exit.PARTIAL, f"{name} is not connected, last heard {node['lastHeard']}; what it does now is not known")


def show_table(node: dict[str, Any]) -> None:
    report = node["report"] or {}
    rows = [(key, node[key]) for key in ("name", "state", "zone", "version", "listen", "pid", "boot", "startedAt",
                                         "lastHeard", "ended", "generation", "desiredGeneration", "supervised")]
    rows += [(key, report[key]) for key in ("open", "connections", "cpuSeconds", "controlCpuSeconds", "memoryKb",
                                            "descriptors") if key in report]
    out.print(table(("", ""), [(key, word(v) if key == "state" else v) for key, v in rows]))
    if report:
        out.print(table(("CLASS", "SERVED", "REFUSED", "FAILED"),
                        [(c["name"], int(c["served"]), int(c["refused"]), int(c["failed"]))
                         for c in report["classes"]]))
        if report["refusals"]:
            out.print(table(("REFUSED WHY", "COUNT"), [(r["name"], int(r["count"])) for r in report["refusals"]]))
    if node.get("upstreams"):
        marks = ("resting", "cold", "failing", "mute")
        out.print(table(("UPSTREAM", "STATE", "SLOTS", "USED", "LEAST MS", "MARKS"), [
            (u["name"], u["state"], round(u["slots"], 2), u["used"], u["leastMs"],
             ", ".join(mark for mark in marks if u[mark])) for u in node["upstreams"]]))


def operation_command(name: str, help_: str) -> click.Command:
    @click.command(name, help=help_)
    @click.argument("names", nargs=-1, metavar="[NAME]")
    @click.option("--selector", "-l", default="", help="Which instances; see `ironscale ls`.")
    @policy_options
    @wait_options
    @api_options
    @output_option
    def command(names: tuple[str, ...], selector: str, timeout_s: float, no_wait: bool, key: str, supersede: bool,
                output: str, address: str | None, token_file: Path | None, data: Path, **policy_given: Any) -> None:
        wanted = selector_of(names, selector)
        if not wanted:
            fail(Exit.USAGE, f"expected a NAME or --selector; `ironscale {name} '*'` means all of them")
        api = api_for(address, token_file, data)
        policy = policy_input(policy_given)
        op = api.mutate(OPERATION + "mutation($input: OperationInput!) { %s(input: $input) { ...Op } }"  # noqa: UP031
                        % name, {"selector": wanted, "policy": policy, "idempotencyKey": key,
                                 "supersede": supersede})[name]
        raise SystemExit(follow(api, op, 0.0 if no_wait else timeout_s, output))

    return command


drain = operation_command("drain", "Take instances out of service: nothing new, all that was taken is answered.")
undrain = operation_command("undrain", "Put drained instances back into service.")
stop = operation_command("stop", "End instances; supervised ones stay ended until `ironscale restart`.")
restart = operation_command("restart", "Replace instances that the agent supervises.")
