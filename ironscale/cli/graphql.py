"""`ironscale graphql`: what each field of a schema is taken for, and what one document would be."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

from ironscale import settings
from ironscale.cli.common import output_option
from ironscale.cli.output import Exit, fail, out, print_json, table
from ironscale.graphql import planning
from ironscale.graphql.classify import classify, together
from ironscale.graphql.documents import RequestError, read_requests
from ironscale.graphql.files import Front, GraphqlFileError, load
from ironscale.interface import RequestClass
from ironscale.net.config import ConfigError, read_json_object


@click.group()
def graphql() -> None:
    """GraphQL requests: how they would be carried (docs/operate/graphql.md)."""


def classes_of(config: Path) -> list[RequestClass]:
    try:
        return settings.read_settings(settings.flatten_object(read_json_object(str(config)).get("settings"))).classes
    except (ConfigError, settings.SettingsError) as error:
        fail(Exit.USAGE, f"{config}: {error}" if str(config) not in str(error) else str(error))


def front_of(mapping: Path, config: Path) -> Front:
    try:
        return load(mapping, classes_of(config))
    except GraphqlFileError as error:
        fail(Exit.USAGE, str(error))


mapping_argument = click.argument("mapping", type=click.Path(path_type=Path))
config_option = click.option("--config", "-c", type=click.Path(path_type=Path), required=True, envvar="GW_CONFIG",
                             help="The sidecars' configuration: its request classes; else GW_CONFIG.")


@graphql.command()
@mapping_argument
@config_option
@click.option("--check", is_flag=True, help="Exit with 3 where a mutation is mapped by nobody; for CI.")
@output_option
def plan(mapping: Path, config: Path, check: bool, output: str) -> None:
    """Every field with the class it is carried as, and why; a proposal for those that MAPPING does not name."""
    front = front_of(mapping, config)
    planned = planning.plan(front.schema, front.fields)
    missing = planning.unmapped_mutations(planned)
    if output == "json":
        print_json([{"field": one.name, "kind": one.kind, "class": one.found.name, "effect": one.found.effect,
                     "mapped": one.mapped, "why": one.why, "proposal": one.proposal} for one in planned])
    else:
        out.print(table(("FIELD", "KIND", "CLASS", "EFFECT", "MAPPED", "WHY"), [
            (one.name, one.kind, one.found.name, one.found.effect, one.mapped, one.why) for one in planned]))
        proposals = [one.proposal for one in planned if one.proposal]
        if proposals:
            out.print("\nTo be thought over, then put into [fields] (a name promises nothing):\n", markup=False)
            out.print("\n".join(proposals), markup=False)
    if check and missing:
        fail(Exit.PARTIAL, f"{mapping}: expected every mutation to be mapped, got {len(missing)} that nobody mapped: "
             f"{', '.join(one.name for one in missing[:10])}")


@graphql.command()
@mapping_argument
@click.argument("document", type=click.File("rb"))
@config_option
@click.option("--variables", default="", help="JSON; or the DOCUMENT is the body of a POST.")
@click.option("--operation", default="", help="Of several in the document.")
@output_option
def explain(mapping: Path, document: Any, config: Path, variables: str, operation: str, output: str) -> None:
    """What DOCUMENT (a file, or - for standard input) would be carried as: class, effect, key, cost, and its parts."""
    front = front_of(mapping, config)
    data: bytes = document.read()
    try:
        if data.lstrip()[:1] in (b"{", b"[") and is_body(data):
            requests, _ = read_requests(data, front.limits)
        else:
            body = {"query": data.decode("utf-8", "replace"), "operationName": operation or None}
            given = f', "variables": {variables}' if variables else ""
            requests, _ = read_requests((json.dumps(body)[:-1] + given + "}").encode(), front.limits)
        verdict = together([classify(one, front.documents.find(one), front.schema, front.fields, front.limits)
                            for one in requests], front.fields, front.limits)
    except RequestError as error:
        fail(Exit.USAGE, f"{getattr(document, 'name', '<stdin>')}: {error.code}: {error}")
    parts = [{"field": part.name, "response": part.response, "class": part.found.name, "effect": part.found.effect,
              "keys": list(part.keys), "cost": part.cost, "why": part.why} for part in verdict.parts]
    if output == "json":
        print_json({"kind": verdict.kind, "class": verdict.found.name, "effect": verdict.found.effect,
                    "why": verdict.why, "key": verdict.key, "tenant": verdict.tenant, "cost": verdict.cost,
                    "parts": parts})
        return
    out.print("\n".join(planning.in_words(verdict)), markup=False)
    out.print(table(("FIELD", "AS", "CLASS", "EFFECT", "COST", "WHY"), [
        (p["field"], p["response"], p["class"], p["effect"], f"{p['cost']:,}", p["why"]) for p in parts]))


def is_body(data: bytes) -> bool:
    """Whether it is the body of a POST, and not a document in its short form (`{ field }`)."""
    try:
        json.loads(data)
    except ValueError:
        return False
    return True
