"""agent, sidecar, token, config check."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import click
import uvloop

from ironscale.cli.common import api_for, api_options, output_option
from ironscale.cli.output import Exit, fail, out, print_json, table, word
from ironscale.operator_file import AgentConfig, LearnedConfig, OperatorFileError, load


@click.command()
@click.argument("file", required=False, type=click.Path(path_type=Path))
@click.option("--data", type=click.Path(path_type=Path), help="Data folder, without a FILE.")
@click.option("--stop-instances", is_flag=True, help="End the supervised instances with the agent; else they run on "
              "and the next agent takes them over.")
def agent(file: Path | None, data: Path | None, stop_instances: bool) -> None:
    """Run the agent that the operator file FILE describes in [agent]; without one, on loopback defaults."""
    from ironscale.agent.serve import AgentError, serve
    from ironscale.agent.store import StoreError

    try:
        section = load(file).agent if file is not None else AgentConfig(data=data or Path(".ironscale"))
        if section is None:
            fail(Exit.USAGE, f"{file}: expected a table [agent], got none")
        uvloop.run(serve(section, stop_instances))
    except (OperatorFileError, AgentError, StoreError) as error:
        fail(Exit.USAGE, str(error))
    except BaseExceptionGroup as group:
        first: BaseException = group
        while isinstance(first, BaseExceptionGroup):
            first = first.exceptions[0]
        if isinstance(first, OperatorFileError | AgentError | StoreError):
            fail(Exit.USAGE, str(first))
        raise


@click.command()
@click.option("--config", type=click.Path(path_type=Path), help="JSON; else GW_CONFIG.")
@click.option("--operator", type=click.Path(path_type=Path), help="The operator file; else GW_OPERATOR.")
def sidecar(config: Path | None, operator: Path | None) -> None:
    """Run one sidecar in the foreground, as `python -m ironscale` does."""
    from ironscale.__main__ import main

    environ = dict(os.environ)
    if config is not None:
        environ["GW_CONFIG"] = str(config)
    if operator is not None:
        environ["GW_OPERATOR"] = str(operator)
    raise SystemExit(main(environ))


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@output_option
def check(file: Path, output: str) -> None:
    """Read FILE as agent and sidecars would, and say what it switches on."""
    try:
        found = load(file)
        if found.store is not None:
            from ironscale.record.store_factory import check_stores

            check_stores(found.store)
        if found.agent is not None and found.agent.postgresql:
            from ironscale.agent.store_setup import postgres_access

            postgres_access(found.agent)
    except OperatorFileError as error:
        fail(Exit.USAGE, str(error))
    parts: dict[str, Any] = {
        "control": "dials " + ", ".join(f"{h}:{p}" for h, p in found.control.agents) if found.control else "off",
        "agent": (f"control {found.agent.control[0]}:{found.agent.control[1]}, api {found.agent.api[0]}:"
                  f"{found.agent.api[1]}, {sum(s.count for s in found.agent.services)} supervised instances, "
                  f"record in {'PostgreSQL' if found.agent.postgresql else 'SQLite'}, "
                  f"{len(found.agent.budgets)} budgets, standby {'on' if found.agent.standby else 'off'}"
                  ) if found.agent else "off",
        "learned": learned_text(found.learned) if found.learned else "off",
        "record": f"arrivals in {found.record.file}, {found.record.most_mb:g} MB at most" if found.record else "off",
        "store": (f"classes {', '.join(found.store.classes)} to " + ", ".join(
            f"{target.name} ({'SQLite ' + str(target.sqlite) if target.sqlite else 'PostgreSQL'})"
            for target in found.store.to)) if found.store else "off",
        "sidecar.reuse_port": "on" if found.sidecar.reuse_port else "off",
    }
    if output == "json":
        print_json({"file": str(file), "parts": parts})
    else:
        out.print(table(("PART", "IS"), parts.items()))


def learned_text(learned: LearnedConfig) -> str:
    """What [learned] switches on."""
    ways = [f"files in {learned.folder}, every {learned.every_s:g} s" if learned.folder else "",
            f"teaches at {learned.teach[0]}:{learned.teach[1]}" if learned.teach else "",
            f"asks {len(learned.ask)} donors" if learned.ask else "",
            "asks whom the agent names" if learned.from_agent else ""]
    return "; ".join(way for way in ways if way)


@click.group()
def token() -> None:
    """Bearer tokens of the agent's API and of instances."""


TOKEN = "name role createdAt revokedAt"


@token.command("ls")
@api_options
@output_option
def token_ls(output: str, address: str | None, token_file: Path | None, data: Path) -> None:
    """List tokens; their secrets are kept nowhere."""
    rows = api_for(address, token_file, data).call("{ tokens { " + TOKEN + " } }")["tokens"]
    if output == "json":
        print_json(rows)
    else:
        out.print(table(("NAME", "ROLE", "CREATED", "REVOKED"),
                        [(r["name"], word(r["role"]), r["createdAt"][:19], r["revokedAt"] or "") for r in rows]))


@token.command("create")
@click.argument("name")
@click.option("--role", type=click.Choice(["instance", "read", "operate", "admin"]), required=True)
@click.option("--file", "file", type=click.Path(path_type=Path), required=True,
              help="Where its secret goes, mode 0600.")
@api_options
def token_create(name: str, role: str, file: Path, address: str | None, token_file: Path | None, data: Path) -> None:
    """Create a token NAME and write its secret to a file that only you can read."""
    from ironscale.agent.tokens import write_secret

    if file.exists():
        fail(Exit.USAGE, f"{file}: expected a new file, got one that is there")
    if not os.access(file.absolute().parent, os.W_OK):
        fail(Exit.USAGE, f"{file}: expected a folder that can be written")
    made = api_for(address, token_file, data).call(
        "mutation($name: String!, $role: Role!) { createToken(name: $name, role: $role) { secret } }",
        name=name, role=role.upper())["createToken"]
    write_secret(file, made["secret"])
    out.print(f"token {name} of role {role} is in {file}")


@token.command("revoke")
@click.argument("name")
@api_options
def token_revoke(name: str, address: str | None, token_file: Path | None, data: Path) -> None:
    """Make a token worthless from now on."""
    api_for(address, token_file, data).call(
        "mutation($name: String!) { revokeToken(name: $name) { name } }", name=name)
    out.print(f"token {name} is revoked")
