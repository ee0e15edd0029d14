"""How much one GraphQL document may ask for, told before anything is resolved. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from graphql import (
    DocumentNode,
    FieldNode,
    FragmentDefinitionNode,
    FragmentSpreadNode,
    InlineFragmentNode,
    IntValueNode,
    OperationDefinitionNode,
    SelectionSetNode,
    VariableNode,
)

MAX_BODY = 256 << 10
MAX_TOKENS = 4_000
MAX_DEPTH = 12
MAX_COST = 50_000  # fields that a document can come to, lists counted by what `first` allows
PAGE, MOST_PAGE = 100, 500
LISTS = ("instances", "operations", "events", "targets", "versions")
OPEN_LISTS = {"upstreams": 100, "classes": 10, "refusals": 10, "difference": 50, "layers": 5, "agents": 20,
              "positions": 50, "differing": 100}


class TooMuch(Exception):
    """A document past the limits; the text is one line."""


def cost(document: DocumentNode, variables: Mapping[str, Any]) -> int:
    """Fields that the document can come to. Raises TooMuch past depth or cost.

    Fragments are walked where they are spread; validation has refused cycles before. Hazard: fragments that
    spread each other twice over double at each level, so the walk itself stops at the limit.
    """
    fragments = {d.name.value: d for d in document.definitions if isinstance(d, FragmentDefinitionNode)}
    total = 0

    def walk(selections: SelectionSetNode | None, depth: int, times: int) -> None:
        nonlocal total
        if selections is None:
            return
        if depth > MAX_DEPTH:
            raise TooMuch(f"expected a depth of {MAX_DEPTH} at most, got more")
        for node in selections.selections:
            if isinstance(node, FieldNode):
                total += times
                if total > MAX_COST:
                    raise TooMuch(f"expected {MAX_COST} fields at most, got more; ask for smaller pages")
                walk(node.selection_set, depth + 1, times * _size(node, variables))
            elif isinstance(node, InlineFragmentNode):
                walk(node.selection_set, depth, times)
            elif isinstance(node, FragmentSpreadNode) and node.name.value in fragments:
                total += 1
                if total > MAX_COST:
                    raise TooMuch(f"expected {MAX_COST} fields at most, got more")
                walk(fragments[node.name.value].selection_set, depth, times)

    for definition in document.definitions:
        if isinstance(definition, OperationDefinitionNode):
            walk(definition.selection_set, 1, 1)
    return total


def _size(node: FieldNode, variables: Mapping[str, Any]) -> int:
    """How many entries the field's list may have."""
    name = node.name.value
    if name in OPEN_LISTS:
        return OPEN_LISTS[name]
    if name not in LISTS:
        return 1
    for argument in node.arguments or ():
        if argument.name.value == "first":
            value: Any = None
            if isinstance(argument.value, IntValueNode):
                value = int(argument.value.value)
            elif isinstance(argument.value, VariableNode):
                value = variables.get(argument.value.name.value)
            if isinstance(value, int):
                return max(1, min(value, MOST_PAGE))
    return PAGE
