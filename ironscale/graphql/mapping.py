"""Which class a field has: by the operator's table, or by directives in the schema. Checked against both. No I/O.

A field that nobody mapped is unsafe: it is carried as the class `unsafe`, which is never sent twice.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from graphql import (
    DirectiveDefinitionNode,
    GraphQLError,
    GraphQLInputObjectType,
    GraphQLInterfaceType,
    GraphQLObjectType,
    GraphQLSchema,
    GraphQLType,
    IntValueNode,
    ListValueNode,
    StringValueNode,
    assert_valid_schema,
    build_ast_schema,
    concat_ast,
    get_named_type,
    is_list_type,
    is_non_null_type,
    parse,
)

from ironscale.interface import EFFECTS, GROUPS, RequestClass

DIRECTIVE = "served"
# What a schema may say of its fields; a file that uses it need not declare it.
SDL = (f"directive @{DIRECTIVE}(class: String!, key: String, tenant: String, size: String, most: Int)"
       " on FIELD_DEFINITION")
MOST = 1_000  # entries of a list whose size nobody told
DEFAULT_SIZE = 10


class MappingError(Exception):
    """A mapping that can't be used; one line: where, what was expected, what stood there."""


@dataclass(frozen=True, slots=True)
class Rule:
    """What is known of one field."""

    name: str = ""  # of its class; empty: that of the field above
    key: tuple[str, ...] = ()  # where the idempotency key stands: an argument, and fields of it
    tenant: tuple[str, ...] = ()
    size: str = ""  # the argument that says how many entries the list may have
    most: int = 0  # how many it has at most, or without that argument; 0 = the default
    source: str = ""  # where this was said


@dataclass(frozen=True, slots=True)
class FieldMap:
    """Rules by `Type.field`, and the classes that they name."""

    rules: Mapping[str, Rule]
    classes: Mapping[str, RequestClass]
    unsafe: RequestClass
    wild: Mapping[str, Rule] = field(default_factory=dict)  # by type: for its fields without a rule
    default_size: int = DEFAULT_SIZE

    def rule(self, type_name: str, field_name: str) -> Rule | None:
        return self.rules.get(f"{type_name}.{field_name}") or self.wild.get(type_name)


def repeatability(found: RequestClass) -> tuple[int, int, int]:
    """The lower, the less may be repeated: effect, then how far repeats are dropped, then for how long."""
    return (-EFFECTS.index(found.effect), -GROUPS.index(found.group) if found.effect == "deduplicated" else 0,
            found.dedup_memory_us if found.effect == "deduplicated" else 0)


def read_schema(text: str, source: str) -> GraphQLSchema:
    """A schema from SDL, whole or not at all. Raises MappingError."""
    try:
        document = parse(text)
        if not any(isinstance(d, DirectiveDefinitionNode) and d.name.value == DIRECTIVE for d in document.definitions):
            document = concat_ast([document, parse(SDL, no_location=True)])
        schema = build_ast_schema(document)
        assert_valid_schema(schema)  # `build_ast_schema` checks the document, this the types
    except GraphQLError as error:
        at = error.locations[0] if error.locations else None
        place = f"{source}:{at.line}:{at.column}" if at else source
        raise MappingError(f"{place}: expected a schema, got {' '.join(error.message.split())}") from None
    except (TypeError, RecursionError) as error:
        raise MappingError(f"{source}: expected a schema, got {' '.join(str(error).split())}") from None
    return schema


def from_directives(schema: GraphQLSchema, source: str) -> dict[str, Rule]:
    """The rules that the schema itself has."""
    found = {}
    for type_name, field_name, node in _fields(schema):
        for directive in getattr(node.ast_node, "directives", None) or ():
            if directive.name.value != DIRECTIVE:
                continue
            given: dict[str, Any] = {}
            for argument in directive.arguments or ():
                value = argument.value
                if isinstance(value, StringValueNode):
                    given[argument.name.value] = value.value
                elif isinstance(value, IntValueNode):
                    given[argument.name.value] = int(value.value)
                elif isinstance(value, ListValueNode):
                    raise MappingError(f"{source}: {type_name}.{field_name}: expected a text, got a list")
            found[f"{type_name}.{field_name}"] = rule_from(given, f"{source}: {type_name}.{field_name}")
    return found


RULE_KEYS = ("class", "key", "tenant", "size", "most")


def rule_from(given: Any, place: str) -> Rule:
    """A rule from its table, or from the name of a class alone. Raises MappingError."""
    if isinstance(given, str):
        given = {"class": given}
    if not isinstance(given, dict):
        raise MappingError(f"{place}: expected the name of a class or a table, got {given!r:.60}")
    for key, value in given.items():
        if key not in RULE_KEYS:
            raise MappingError(f"{place}.{key}: expected one of {', '.join(RULE_KEYS)}, got this key")
        right = isinstance(value, int) and not isinstance(value, bool) and value > 0 if key == "most" else (
            isinstance(value, str) and value)
        if not right:
            raise MappingError(f"{place}.{key}: expected {'a whole number above 0' if key == 'most' else 'a text'}, "
                               f"got {value!r:.60}")
    return Rule(given.get("class", ""), path_of(given.get("key", "")), path_of(given.get("tenant", "")),
                given.get("size", ""), given.get("most", 0), place)


def path_of(text: str) -> tuple[str, ...]:
    return tuple(text.split(".")) if text else ()


def make_map(schema: GraphQLSchema, table: Mapping[str, Any], classes: Sequence[RequestClass], unsafe: str,
             source: str, default_size: int = DEFAULT_SIZE) -> FieldMap:
    """The table over the directives; each rule is held against schema and classes. Raises MappingError."""
    by_name = {found.name: found for found in classes}
    kept = by_name.get(unsafe)
    if kept is None or kept.effect != "at_most_once":
        raise MappingError(f"{source}: unsafe: expected a class of effect at_most_once, got "
                           f"{f'{unsafe!r} of effect {kept.effect}' if kept else repr(unsafe)}")
    rules, wild = from_directives(schema, "schema"), {}
    for name, given in table.items():
        type_name, _, field_name = name.partition(".")
        rule = rule_from(given, f"{source}: fields.{name}")
        if field_name == "*":
            wild[type_name] = rule
        else:
            rules[name] = rule
    for name, rule in [*rules.items(), *((f"{type_name}.*", rule) for type_name, rule in wild.items())]:
        _check(schema, name, rule, by_name)
    return FieldMap(rules, by_name, kept, wild, default_size)


def _check(schema: GraphQLSchema, name: str, rule: Rule, classes: Mapping[str, RequestClass]) -> None:
    type_name, _, field_name = name.partition(".")
    owner = schema.get_type(type_name)
    if not isinstance(owner, GraphQLObjectType | GraphQLInterfaceType):
        raise MappingError(f"{rule.source}: expected TYPE.FIELD of the schema, got {name!r}")
    found = classes.get(rule.name) if rule.name else None
    if rule.name and found is None:
        raise MappingError(f"{rule.source}: expected one of the classes {', '.join(classes)}, got {rule.name!r}")
    streams = schema.subscription_type is owner
    if found is not None and found.stream != streams:
        raise MappingError(f"{rule.source}: expected a class that is {'' if streams else 'not '}a stream, got "
                           f"{rule.name!r}")
    if field_name == "*":
        if owner is schema.mutation_type and (found is None or found.effect != "at_most_once"):
            raise MappingError(f"{rule.source}: expected each mutation to be named, or a class of effect at_most_once "
                               f"for all, got {rule.name!r}")
        if rule.key or rule.tenant or rule.size:
            raise MappingError(f"{rule.source}: expected a class alone for all fields, got key, tenant or size")
        return
    node = owner.fields.get(field_name)
    if node is None:
        close = ", ".join(sorted(owner.fields)[:10])
        raise MappingError(f"{rule.source}: expected a field of {type_name} ({close}), got {field_name!r}")
    if owner is schema.mutation_type and found is not None and found.effect == "idempotent":
        # it may be right, and it is the operator's word; but nothing may rest on a slip of the pen
        raise MappingError(f"{rule.source}: expected a class of effect deduplicated or at_most_once for a mutation, "
                           f"got {rule.name!r} of effect idempotent")
    if found is not None and found.effect == "deduplicated" and not rule.key:
        raise MappingError(f"{rule.source}: expected key beside a class of effect deduplicated, got none")
    for what, path in (("key", rule.key), ("tenant", rule.tenant)):
        if path:
            _check_path(rule, what, path, {n: a.type for n, a in node.args.items()})
    if rule.size and rule.size not in node.args:
        raise MappingError(f"{rule.source}.size: expected an argument of {name}, got {rule.size!r}")


def _check_path(rule: Rule, what: str, path: Sequence[str], given: Mapping[str, GraphQLType]) -> None:
    kind: Any = None
    for i, part in enumerate(path):
        if part not in given:
            raise MappingError(f"{rule.source}.{what}: expected one of {', '.join(given) or 'no argument'}, got "
                               f"{'.'.join(path[:i + 1])!r}")
        kind = given[part]
        named = get_named_type(kind)
        given = {n: f.type for n, f in named.fields.items()} if isinstance(named, GraphQLInputObjectType) else {}
    if isinstance(get_named_type(kind), GraphQLInputObjectType):
        raise MappingError(f"{rule.source}.{what}: expected an argument that is a text or a number, got an object")


def _fields(schema: GraphQLSchema) -> list[tuple[str, str, Any]]:
    return [(owner.name, name, node) for owner in schema.type_map.values()
            if isinstance(owner, GraphQLObjectType | GraphQLInterfaceType) and not owner.name.startswith("__")
            for name, node in owner.fields.items()]


def is_list(kind: Any) -> bool:
    return is_list_type(kind.of_type if is_non_null_type(kind) else kind)
