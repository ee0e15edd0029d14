"""What each field of a schema is taken for, and why; what might be said of those that nobody mapped. Pure."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

from graphql import GraphQLField, GraphQLInputObjectType, GraphQLObjectType, GraphQLSchema, get_named_type

from ironscale.graphql.classify import Verdict
from ironscale.graphql.mapping import FieldMap, is_list
from ironscale.interface import RequestClass

KEY = re.compile(r"^(client_?mutation_?id|idempotency_?key|request_?id|(client_?)?key|nonce)$", re.I)


@dataclass(frozen=True, slots=True)
class Planned:
    """One field."""

    name: str
    kind: str  # query, mutation, subscription, or nested
    found: RequestClass
    mapped: str  # field, wildcard, or no
    why: str
    proposal: str = ""  # a line for the table of fields; empty where one is mapped


def plan(schema: GraphQLSchema, fields: FieldMap) -> list[Planned]:
    """Root fields in the schema's order, mutations first; then nested fields that have a rule of their own."""
    found: list[Planned] = []
    roots = [(kind, root) for kind, root in (("mutation", schema.mutation_type), ("query", schema.query_type),
                                             ("subscription", schema.subscription_type)) if root is not None]
    for kind, root in roots:
        found += [_planned(kind, root, name, node, fields) for name, node in root.fields.items()]
    tops = {root.name for _, root in roots}
    for name, rule in fields.rules.items():
        if name.partition(".")[0] not in tops and rule.name:
            found.append(Planned(name, "nested", fields.classes[rule.name], "field", f"said by {rule.source}"))
    return found


def _planned(kind: str, root: GraphQLObjectType, name: str, node: GraphQLField, fields: FieldMap) -> Planned:
    whole = f"{root.name}.{name}"
    rule = fields.rule(root.name, name)
    if rule is not None and rule.name:
        mapped = "field" if whole in fields.rules else "wildcard"
        return Planned(whole, kind, fields.classes[rule.name], mapped, f"said by {rule.source}")
    return Planned(whole, kind, fields.unsafe, "no", "nobody mapped it: never sent again", _proposal(kind, whole, node,
                                                                                                     fields))


def _proposal(kind: str, whole: str, node: GraphQLField, fields: FieldMap) -> str:
    """A line to be read and thought over, not to be taken as it is: a name promises nothing."""
    by_effect: dict[str, RequestClass] = {}
    for found in fields.classes.values():
        if found.stream == (kind == "subscription"):
            by_effect.setdefault(found.effect, found)
    if kind == "mutation":
        key = next(key_paths(node), "")
        if key and "deduplicated" in by_effect:
            return f'"{whole}" = {{ class = "{by_effect["deduplicated"].name}", key = "{key}" }}'
        return f'"{whole}" = "{fields.unsafe.name}"'
    chosen = by_effect.get("idempotent")
    if chosen is None:
        return f'"{whole}" = "?"  # there is no class for it'
    size = next((name for name in node.args if name in ("first", "limit", "last")), "")
    if size and (is_list(node.type) or isinstance(get_named_type(node.type), GraphQLObjectType)):
        return f'"{whole}" = {{ class = "{chosen.name}", size = "{size}" }}'
    return f'"{whole}" = "{chosen.name}"'


def key_paths(node: GraphQLField) -> Iterator[str]:
    """Arguments, and fields of input objects among them, that are named as keys are."""
    for name, argument in node.args.items():
        if KEY.match(name):
            yield name
        named = get_named_type(argument.type)
        if isinstance(named, GraphQLInputObjectType):
            yield from (f"{name}.{inner}" for inner in named.fields if KEY.match(inner))


def unmapped_mutations(planned: list[Planned]) -> list[Planned]:
    return [one for one in planned if one.kind == "mutation" and one.mapped == "no"]


def in_words(verdict: Verdict) -> list[str]:
    """What a verdict means, a sentence a line."""
    found = verdict.found
    again = {
        "idempotent": "It may be sent again to any server while its time lasts.",
        "deduplicated": f"It may be sent again within its group ({found.group}), for "
                        f"{found.dedup_memory_us / 1e6:g} s, as repeats of its key are dropped there.",
        "at_most_once": "It is sent again only if every try before is known not to have run.",
    }[found.effect]
    lines = [f"A {verdict.kind}, carried whole as class {found.name} ({found.effect}): {verdict.why}.", again]
    if verdict.key:
        lines.append(f"Its key: {verdict.key}")
    if verdict.tenant:
        lines.append(f"Its tenant: {verdict.tenant}")
    lines.append(f"Its cost: {verdict.cost:,} fields at most.")
    return lines
