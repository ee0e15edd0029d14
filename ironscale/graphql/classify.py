"""What a request may do, and so how it may be carried: its least repeatable part decides. Pure.

What cannot be told counts as unsafe: a field that nobody mapped, a directive whose condition is not given, a key that
is not there.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from graphql import (
    BooleanValueNode,
    DirectiveNode,
    EnumValueNode,
    FieldNode,
    FloatValueNode,
    FragmentSpreadNode,
    GraphQLInterfaceType,
    GraphQLObjectType,
    GraphQLSchema,
    InlineFragmentNode,
    IntValueNode,
    ListValueNode,
    NullValueNode,
    ObjectValueNode,
    OperationDefinitionNode,
    OperationType,
    SelectionSetNode,
    StringValueNode,
    ValueNode,
    VariableNode,
    get_named_type,
)

from ironscale.graphql.documents import Document, Limits, Number, Request, RequestError
from ironscale.graphql.mapping import FieldMap, Rule, is_list, repeatability
from ironscale.interface import RequestClass

UNKNOWN = object()  # a value that the request does not give
META = {"__typename": "", "__schema": "__Schema", "__type": "__Type"}  # and the types that they lead to


@dataclass(frozen=True, slots=True)
class Part:
    """A root field as it would be carried by itself."""

    response: str  # its key in the answer
    name: str  # Type.field
    found: RequestClass
    why: str
    keys: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    cost: int = 0


@dataclass(frozen=True, slots=True)
class Verdict:
    """How a request, or a batch, is carried when it goes as a whole."""

    kind: str  # query, mutation, subscription; of a batch the least repeatable one's
    found: RequestClass
    why: str
    key: str = ""
    tenant: str = ""
    cost: int = 0
    parts: tuple[Part, ...] = ()


def classify(request: Request, document: Document, schema: GraphQLSchema, fields: FieldMap, limits: Limits) -> Verdict:
    """Raises RequestError where it can't be carried at all."""
    operation = document.operation(request.operation)
    return _Walk(document, operation, request.variables, schema, fields, limits).verdict()


def together(verdicts: Sequence[Verdict], fields: FieldMap, limits: Limits) -> Verdict:
    """A batch goes as one: as its least repeatable part. Raises RequestError."""
    if len(verdicts) == 1:
        return verdicts[0]
    if any(one.kind == "subscription" for one in verdicts):
        raise RequestError("BAD_REQUEST", "body: expected queries and mutations in a batch, got a subscription")
    parts = tuple(part for one in verdicts for part in one.parts)
    cost = sum(one.cost for one in verdicts)
    if cost > limits.cost:
        raise RequestError("TOO_COSTLY", f"body: expected a cost of {limits.cost:,} at most, got {cost:,} in all")
    kind = "mutation" if any(one.kind == "mutation" for one in verdicts) else "query"
    return _joined(kind, parts, cost, fields)


def _joined(kind: str, parts: Sequence[Part], cost: int, fields: FieldMap) -> Verdict:
    """The least repeatable part decides. Several keyed ones have one key together, made of all; and where no class of
    theirs has both the narrowest group and the shortest memory, nothing is promised for any."""
    tenants = {tenant for part in parts for tenant in part.tenants}
    if len(tenants) > 1:
        raise RequestError("BAD_REQUEST", f"query: expected one tenant a request, got {', '.join(sorted(tenants)[:5])}")
    tenant = next(iter(tenants), "")
    if not parts:
        return Verdict(kind, _safest(fields), "it asks for nothing that has an effect", "", tenant, cost, ())
    # of equally repeatable ones that with the least time, so that what is promised holds for all
    least = min(parts, key=lambda part: (*repeatability(part.found), part.found.deadline_us, part.name))
    found, why = least.found, f"{least.name}: {least.why}"
    if found.effect != "deduplicated":
        return Verdict(kind, found, why, "", tenant, cost, tuple(parts))
    keyed = [part for part in parts if part.found.effect == "deduplicated"]
    if any(part.found.dedup_memory_us < found.dedup_memory_us for part in keyed):
        return Verdict(kind, fields.unsafe, f"{least.name} is remembered more narrowly, and another part for less long",
                       "", tenant, cost, tuple(parts))
    keys = sorted({f"{part.name}={key}" for part in keyed for key in part.keys})
    if len(keyed) == 1 and len(keyed[0].keys) == 1:
        key = keyed[0].keys[0]
    else:
        # unambiguous, as each is preceded by its length
        key = hashlib.sha256("".join(f"{len(one)}:{one}" for one in keys).encode("utf-8", "surrogatepass")).hexdigest()
    return Verdict(kind, found, why, key, tenant, cost, tuple(parts))


def _safest(fields: FieldMap) -> RequestClass:
    """For what has no effect at all: the most repeatable class, of those the one with the least time."""
    plain = [found for found in fields.classes.values() if not found.stream]
    return max(plain, key=lambda found: (*repeatability(found), -found.deadline_us, found.name))


class _Walk:
    """Through one operation, with its variables."""

    def __init__(self, document: Document, operation: OperationDefinitionNode, variables: Mapping[str, Any],
                 schema: GraphQLSchema, fields: FieldMap, limits: Limits) -> None:
        self.document, self.operation, self.schema, self.fields = document, operation, schema, fields
        self.limits, self.cost, self.steps = limits, 0, 0
        self.values = dict(variables)
        self.defaults: dict[str, ValueNode] = {}
        declared = set()
        for one in operation.variable_definitions or ():
            declared.add(one.variable.name.value)
            if one.default_value is not None:
                self.defaults[one.variable.name.value] = one.default_value
        # what is not declared is not the operation's: a server would not see it either
        self.values = {name: value for name, value in self.values.items() if name in declared}

    def verdict(self) -> Verdict:
        kind = self.operation.operation
        root = self.schema.get_root_type(kind)
        if root is None:
            raise RequestError("INVALID", f"query: expected an operation that the schema has, got a {kind.value}")
        parts: dict[str, list[Part]] = {}
        self.roots(self.operation.selection_set, root, False, parts)
        merged = tuple(self.merged(found) for found in parts.values())
        if kind is OperationType.SUBSCRIPTION:
            streams = [part for part in merged if part.found.stream]
            if len(merged) != 1 or not streams:
                raise RequestError("UNMAPPED", f"query: expected a subscription to one field that has a class, got "
                                   f"{', '.join(part.name for part in merged) or 'none'}")
        return _joined(kind.value, merged, self.cost, self.fields)

    def merged(self, found: list[Part]) -> Part:
        """One root field that is selected several times: its selections are joined, and it runs once."""
        least = min(found, key=lambda part: repeatability(part.found))
        return replace(least, cost=sum(part.cost for part in found),
                       keys=tuple(sorted({key for part in found for key in part.keys})),
                       tenants=tuple(sorted({t for part in found for t in part.tenants})))

    def roots(self, selections: SelectionSetNode, root: GraphQLObjectType, doubtful: bool,
              parts: dict[str, list[Part]]) -> None:
        """`doubtful`: whether it is selected depends on what is not known."""
        for node in selections.selections:
            self.step()
            included = self.included(node.directives or ())
            if included is False:
                continue
            unsure = doubtful or included is UNKNOWN
            if isinstance(node, FieldNode):
                part = self.part(node, root, unsure)
                if part is not None:
                    parts.setdefault(part.response, []).append(part)
            elif isinstance(node, InlineFragmentNode):
                self.roots(node.selection_set, root, unsure, parts)
            elif isinstance(node, FragmentSpreadNode):
                self.roots(self.document.fragments[node.name.value].selection_set, root, unsure, parts)

    def step(self) -> None:
        self.steps += 1
        if self.steps > self.limits.fields:
            raise RequestError("TOO_MANY_FIELDS", f"query: expected {self.limits.fields:,} fields at most, got more")

    def spend(self, cost: int) -> None:
        self.cost += cost
        if self.cost > self.limits.cost:
            raise RequestError("TOO_COSTLY", f"query: expected a cost of {self.limits.cost:,} at most, got more; ask "
                               "for smaller lists")

    def part(self, node: FieldNode, root: GraphQLObjectType, unsure: bool) -> Part | None:
        """None for what the schema itself answers."""
        before = self.cost
        if node.name.value in META:
            self.spend(1)
            if node.selection_set is not None:
                self.below(node.selection_set, self.schema.get_type(META[node.name.value]), 1, [], [], unsure)
            return None
        name = f"{root.name}.{node.name.value}"
        found: list[tuple[RequestClass, str]] = []
        keys: list[str] = []
        rule = self.fields.rule(root.name, node.name.value)
        if rule is None or not rule.name:
            found.append((self.fields.unsafe, "nobody mapped it, so it is unsafe"))
        else:
            found.append(self.by_rule(rule, node, keys, unsure))
        tenants: list[str] = []
        if rule is not None and rule.tenant:
            tenants += [value for value in self.at(node, rule.tenant) if isinstance(value, str)]
        self.spend(1)
        if node.selection_set is not None:
            definition = root.fields[node.name.value]
            self.below(node.selection_set, get_named_type(definition.type), self.size(node, definition.type, rule),
                       found, keys, unsure)
        least, why = min(found, key=lambda one: repeatability(one[0]))
        return Part((node.alias or node.name).value, name, least, why, tuple(keys), tuple(tenants), self.cost - before)

    def below(self, selections: SelectionSetNode, owner: Any, times: int, found: list[tuple[RequestClass, str]],
              keys: list[str], doubtful: bool) -> None:
        """Nested fields: what they cost, and those that have a rule of their own."""
        for node in selections.selections:
            self.step()
            included = self.included(node.directives or ())
            if included is False:
                continue
            unsure = doubtful or included is UNKNOWN
            if isinstance(node, FieldNode):
                self.spend(times)
                definition = self.definition(owner, node.name.value)
                rule = self.rule(owner, node.name.value)
                if rule is not None and rule.name:
                    found.append(self.by_rule(rule, node, keys, unsure))
                if node.selection_set is not None:
                    kind = definition.type if definition is not None else None
                    size = self.of_schema(node) if owner is not None and owner.name.startswith("__") else self.size(
                        node, kind, rule)
                    self.below(node.selection_set, get_named_type(kind) if kind is not None else None, times * size,
                               found, keys, unsure)
            elif isinstance(node, InlineFragmentNode):
                on = node.type_condition
                kind = self.schema.get_type(on.name.value) if on else owner
                self.below(node.selection_set, kind, times, found, keys, unsure)
            elif isinstance(node, FragmentSpreadNode):
                fragment = self.document.fragments[node.name.value]
                on = fragment.type_condition
                self.below(fragment.selection_set, self.schema.get_type(on.name.value), times, found, keys, unsure)

    def definition(self, owner: Any, name: str) -> Any:
        return owner.fields.get(name) if isinstance(owner, GraphQLObjectType | GraphQLInterfaceType) else None

    def rule(self, owner: Any, name: str) -> Rule | None:
        """Of the type itself; asked through an interface, the least repeatable of all that may stand there."""
        if isinstance(owner, GraphQLInterfaceType):
            rules = [self.fields.rule(one.name, name) for one in (owner, *self.schema.get_possible_types(owner))]
            named = [rule for rule in rules if rule is not None and rule.name]
            return min(named, key=lambda rule: repeatability(self.fields.classes[rule.name])) if named else None
        return self.fields.rule(owner.name, name) if isinstance(owner, GraphQLObjectType) else None

    def by_rule(self, rule: Rule, node: FieldNode, keys: list[str], unsure: bool) -> tuple[RequestClass, str]:
        found = self.fields.classes[rule.name]
        if found.effect != "deduplicated":
            return found, f"it is of class {found.name}"
        values = self.at(node, rule.key)
        if not values or any(not isinstance(value, str) or not value for value in values):
            return self.fields.unsafe, f"its key {'.'.join(rule.key)} is not given, so nothing would drop a repeat"
        if unsure:
            return self.fields.unsafe, "whether it is asked for is not known, so its key may not be"
        keys += [str(value) for value in values]
        return found, f"it is of class {found.name}, by its key"

    # Values

    def included(self, directives: Sequence[DirectiveNode]) -> Any:
        """True, False, or UNKNOWN where a condition is not given."""
        answer: Any = True
        for directive in directives:
            if directive.name.value not in ("skip", "include"):
                continue
            condition: Any = UNKNOWN
            for argument in directive.arguments or ():
                if argument.name.value == "if":
                    condition = self.value(argument.value)
            if not isinstance(condition, bool):
                answer = UNKNOWN
            elif condition is (directive.name.value == "skip"):
                return False
        return answer

    def value(self, node: ValueNode) -> Any:
        """Texts and numbers as texts, truth values, lists, objects, None; UNKNOWN where it is not given."""
        match node:
            case VariableNode():
                name = node.name.value
                if name in self.values:
                    return plain(self.values[name])
                return self.value(self.defaults[name]) if name in self.defaults else UNKNOWN
            case NullValueNode():
                return None
            case BooleanValueNode() | StringValueNode() | IntValueNode() | FloatValueNode() | EnumValueNode():
                return node.value
            case ListValueNode():
                return [self.value(one) for one in node.values]
            case ObjectValueNode():
                return {one.name.value: self.value(one.value) for one in node.fields}
        return UNKNOWN

    def at(self, node: FieldNode, path: Sequence[str]) -> list[Any]:
        """The values at an argument's path; lists on the way are gone into, and an empty one has none."""
        found: list[Any] = [{argument.name.value: self.value(argument.value) for argument in node.arguments or ()}]
        for part in path:
            found = [one.get(part, UNKNOWN) if isinstance(one, dict) else UNKNOWN for one in flat(found)]
        return flat(found)

    def of_schema(self, node: FieldNode) -> int:
        """Entries of a list that the schema itself answers, by the largest of this schema."""
        kinds = self.schema.type_map
        match node.name.value:
            case "types" | "possibleTypes" | "interfaces":
                return len(kinds)
            case "fields" | "inputFields" | "enumValues" | "args" | "directives" | "locations":
                return max([20, *(len(getattr(kind, "fields", ())) for kind in kinds.values())])
        return 1

    def size(self, node: FieldNode, kind: Any, rule: Rule | None) -> int:
        """How many entries the field's list may have; 1 if it is none."""
        if not is_list(kind) and (rule is None or not (rule.size or rule.most)):
            return 1
        most = (rule.most if rule is not None else 0) or 0
        if rule is not None and rule.size:
            value = next(iter(self.at(node, (rule.size,))), UNKNOWN)
            if isinstance(value, str) and value.isascii() and value.isdecimal() and len(value) < 10:
                return max(1, min(int(value), most or int(value)))
        return most or self.fields.default_size


def plain(value: Any) -> Any:
    """A variable's value in the terms of `value`: numbers are texts as they were written."""
    if isinstance(value, Number) or (isinstance(value, int | float) and not isinstance(value, bool)):
        return str(value)
    if isinstance(value, list):
        return [plain(one) for one in value]
    if isinstance(value, dict):
        return {key: plain(one) for key, one in value.items()}
    return value


def flat(values: Sequence[Any]) -> list[Any]:
    found: list[Any] = []
    for value in values:
        found += flat(value) if isinstance(value, list) else [value]
    return found
