"""Size, depth and cost limits of a GraphQL document, checked before anything is resolved. No I/O."""

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

MAX_BODY_BYTES = 256 << 10
MAX_TOKENS = 4_000
MAX_DEPTH = 12
MAX_COST = 50_000  # fields that a document can resolve to; a list counts as many entries as `first` allows
DEFAULT_PAGE, MAX_PAGE = 100, 500  # entries of a page: default, and maximum
PAGINATED_LISTS = ("instances", "operations", "events", "targets", "versions")  # paginated by `first`
# Lists without pagination, with the number of entries that the cost assumes.
UNPAGINATED_LISTS = {"upstreams": 100, "classes": 10, "refusals": 10, "difference": 50, "layers": 5, "agents": 20,
                     "positions": 50, "differing": 100}


class LimitExceeded(Exception):
    """The document exceeds a limit; the text is one line."""


def cost(document: DocumentNode, variables: Mapping[str, Any]) -> int:
    """Number of fields that the document can resolve to. Raises LimitExceeded if depth or cost exceeds its limit.

    Fragments are walked at each place where they are spread; validation has already refused cycles. Fragments that
    spread the next one twice double the work at each level, so the walk itself stops at the limit.
    """
    fragments = {d.name.value: d for d in document.definitions if isinstance(d, FragmentDefinitionNode)}
    total = 0

    def walk(selections: SelectionSetNode | None, depth: int, multiplier: int) -> None:
        nonlocal total
        if selections is None:
            return
        if depth > MAX_DEPTH:
            raise LimitExceeded(f"expected a depth of {MAX_DEPTH} at most, got more")
        for node in selections.selections:
            if isinstance(node, FieldNode):
                total += multiplier
                if total > MAX_COST:
                    raise LimitExceeded(f"expected {MAX_COST} fields at most, got more; ask for smaller pages")
                walk(node.selection_set, depth + 1, multiplier * _list_size(node, variables))
            elif isinstance(node, InlineFragmentNode):
                walk(node.selection_set, depth, multiplier)
            elif isinstance(node, FragmentSpreadNode) and node.name.value in fragments:
                total += 1
                if total > MAX_COST:
                    raise LimitExceeded(f"expected {MAX_COST} fields at most, got more")
                walk(fragments[node.name.value].selection_set, depth, multiplier)

    for definition in document.definitions:
        if isinstance(definition, OperationDefinitionNode):
            walk(definition.selection_set, 1, 1)
    return total


def _list_size(node: FieldNode, variables: Mapping[str, Any]) -> int:
    """How many entries the field's list may have; 1 for a field that is no list."""
    name = node.name.value
    if name in UNPAGINATED_LISTS:
        return UNPAGINATED_LISTS[name]
    if name not in PAGINATED_LISTS:
        return 1
    for argument in node.arguments or ():
        if argument.name.value == "first":
            value: Any = None
            if isinstance(argument.value, IntValueNode):
                value = int(argument.value.value)
            elif isinstance(argument.value, VariableNode):
                value = variables.get(argument.value.name.value)
            if isinstance(value, int):
                return max(1, min(value, MAX_PAGE))
    return DEFAULT_PAGE
