"""From the bytes of a request to its documents: strict JSON, limits, a cache, persisted documents. No I/O.

Sources: GraphQL specification (October 2021 and later drafts), sections 2 and 5; GraphQL over HTTP, "Request".
"""

from __future__ import annotations

import hashlib
import json
import re
from collections import OrderedDict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from graphql import (
    DocumentNode,
    FieldNode,
    FragmentDefinitionNode,
    FragmentSpreadNode,
    GraphQLError,
    GraphQLSchema,
    InlineFragmentNode,
    OperationDefinitionNode,
    SelectionSetNode,
    parse,
    validate,
)

HASH = re.compile(r"[0-9a-f]{64}$")
SHOWN = 5  # errors of one document that are told


class RequestError(Exception):
    """A request that is no good: a stable code and one line. Nothing of it was sent."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class Number(str):
    """A number as it was written: past 2**53 a float would change it."""


@dataclass(frozen=True, slots=True)
class Limits:
    """What one request may ask for, told before anything is sent."""

    body: int = 256 << 10  # bytes
    tokens: int = 20_000  # of one document
    depth: int = 15
    fields: int = 5_000  # that the selections come to, fragments counted wherever they are spread
    same: int = 20_000  # pairs of fields with one response name in one selection: each pair has to be compared
    cost: int = 100_000  # fields that the answer can come to, lists counted by their sizes
    batch: int = 20  # requests in one body


@dataclass(frozen=True, slots=True)
class Request:
    """One of a body, as it was sent."""

    query: str
    operation: str | None = None
    variables: Mapping[str, Any] = field(default_factory=dict)
    document_id: str = ""


def _pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for key, value in pairs:
        if key in found:
            # two readers may take different ones of the two: what was decided upon would not be what runs
            raise RequestError("BAD_REQUEST", f"body: expected each key once, got {key!r:.60} twice")
        found[key] = value
    return found


def _constant(name: str) -> Any:
    raise RequestError("BAD_REQUEST", f"body: expected JSON, got {name}")


def read_json(body: bytes, limits: Limits) -> Any:
    """Numbers as `Number`. Raises RequestError."""
    if len(body) > limits.body:
        raise RequestError("TOO_LARGE", f"body: expected {limits.body:,} bytes at most, got {len(body):,}")
    try:
        return json.loads(body.decode("utf-8"), object_pairs_hook=_pairs, parse_int=Number, parse_float=Number,
                          parse_constant=_constant)
    except UnicodeDecodeError as error:
        raise RequestError("BAD_REQUEST", f"body: expected UTF-8, got byte {body[error.start]:#04x} at {error.start}"
                           ) from None
    except json.JSONDecodeError as error:
        raise RequestError("BAD_REQUEST", f"body: expected JSON, got {error.msg} at {error.pos}") from None
    except RecursionError:
        raise RequestError("BAD_REQUEST", "body: expected JSON of a sane depth, got one that nests too deeply"
                           ) from None


def read_requests(body: bytes, limits: Limits) -> tuple[list[Request], bool]:
    """The requests of a POST's body, and whether they came as a batch. Raises RequestError."""
    found = read_json(body, limits)
    if not isinstance(found, list):
        return [read_request(found)], False
    if not 0 < len(found) <= limits.batch:
        raise RequestError("BAD_REQUEST", f"body: expected 1 to {limits.batch} requests in a batch, got {len(found)}")
    return [read_request(entry, f"body[{i}]") for i, entry in enumerate(found)], True


def read_request(found: Any, place: str = "body") -> Request:
    """One request from its JSON value. Raises RequestError."""
    if not isinstance(found, dict):
        raise RequestError("BAD_REQUEST", f"{place}: expected an object, got {shown(found)}")

    def optional(key: str, kind: type, expected: str) -> Any:
        value = found.get(key)
        if value is not None and (not isinstance(value, kind) or isinstance(value, Number)):
            raise RequestError("BAD_REQUEST", f"{place}.{key}: expected {expected}, got {shown(value)}")
        return value

    query = optional("query", str, "a text")
    operation = optional("operationName", str, "a text or null")
    variables = optional("variables", dict, "an object or null")
    extensions = optional("extensions", dict, "an object or null") or {}
    document_id = optional("documentId", str, "a text") or ""
    persisted = extensions.get("persistedQuery")
    if isinstance(persisted, dict) and not document_id:
        document_id = persisted.get("sha256Hash") or ""
    if not isinstance(document_id, str) or (document_id and not HASH.match(document_id.removeprefix("sha256:"))):
        raise RequestError("BAD_REQUEST", f"{place}: expected a document's id of 64 hexadecimal digits, got "
                           f"{shown(document_id)}")
    if query is None and not document_id:
        raise RequestError("BAD_REQUEST", f"{place}.query: expected a document, got nothing")
    return Request(query or "", operation or None, variables or {}, document_id.removeprefix("sha256:"))


def shown(value: Any) -> str:
    """A value as errors show it: short, and numbers as they were written."""
    return str(value)[:60] if isinstance(value, Number) else f"{value!r:.60}"


# Documents


@dataclass(frozen=True, slots=True)
class Document:
    """One that fits the schema and the limits."""

    node: DocumentNode
    operations: Mapping[str | None, OperationDefinitionNode]
    fragments: Mapping[str, FragmentDefinitionNode]
    digest: str
    size: int  # characters

    def operation(self, name: str | None) -> OperationDefinitionNode:
        """Raises RequestError. Without a name there must be one operation."""
        if name is None:
            if len(self.operations) > 1:
                raise RequestError("OPERATION", f"operationName: expected one of {self.names()}, got nothing")
            return next(iter(self.operations.values()))
        found = self.operations.get(name)
        if found is None:
            raise RequestError("OPERATION", f"operationName: expected one of {self.names()}, got {name!r:.60}")
        return found

    def names(self) -> str:
        return ", ".join(name or "the one without a name" for name in list(self.operations)[:10])


def _measure(operations: Sequence[OperationDefinitionNode], fragments: Mapping[str, FragmentDefinitionNode],
             limits: Limits) -> None:
    """Depth, fields, and fields of one name, before the rules of validation see them: one of those compares fields of
    one response name with each other, and takes a second for 500. Hazard: fragments that spread each other double at
    each level, or never end, so the walk itself stops. Raises RequestError."""
    fields = 0
    same = 0

    def walk(selections: SelectionSetNode, depth: int, names: dict[str, int], inside: tuple[str, ...]) -> None:
        nonlocal fields, same
        if depth > limits.depth:
            raise RequestError("TOO_DEEP", f"query: expected a depth of {limits.depth} at most, got more")
        for node in selections.selections:
            fields += 1
            if fields > limits.fields:
                raise RequestError("TOO_MANY_FIELDS", f"query: expected {limits.fields:,} fields at most, got more")
            if isinstance(node, FieldNode):
                name = (node.alias or node.name).value
                same += names.get(name, 0)
                names[name] = names.get(name, 0) + 1
                if same > limits.same:
                    raise RequestError("TOO_MANY_FIELDS", f"query: expected fields of one name less often, got "
                                       f"{name!r} {names[name]} times")
                if node.selection_set is not None:
                    walk(node.selection_set, depth + 1, {}, inside)
            elif isinstance(node, InlineFragmentNode):
                walk(node.selection_set, depth, names, inside)
            elif isinstance(node, FragmentSpreadNode) and node.name.value in fragments:
                name = node.name.value
                if name in inside:
                    raise RequestError("INVALID", f"query: expected fragments that end, got {name} within itself")
                walk(fragments[name].selection_set, depth, names, (*inside, name))

    for one in operations:
        walk(one.selection_set, 1, {}, ())


def read_document(text: str, schema: GraphQLSchema, limits: Limits) -> Document:
    """Parsed, measured and validated. Raises RequestError."""
    try:
        node = parse(text, no_location=False, max_tokens=limits.tokens)
    except GraphQLError as error:
        code = "TOO_MANY_TOKENS" if "tokens" in error.message else (
            "TOO_DEEP" if "nested too deeply" in error.message else "SYNTAX")
        at = error.locations[0] if error.locations else None
        raise RequestError(code, "query: " + (f"line {at.line}, column {at.column}: " if at else "")
                           + " ".join(error.message.split())) from None
    operations = [d for d in node.definitions if isinstance(d, OperationDefinitionNode)]
    fragments = {d.name.value: d for d in node.definitions if isinstance(d, FragmentDefinitionNode)}
    if not operations:
        raise RequestError("OPERATION", "query: expected an operation, got none")
    _measure(operations, fragments, limits)
    errors = validate(schema, node, max_errors=SHOWN)
    if errors:
        raise RequestError("INVALID", "query: " + "; ".join(" ".join(e.message.split()) for e in errors[:SHOWN]))
    return Document(node, {one.name.value if one.name else None: one for one in operations}, fragments,
                    digest_of(text), len(text))


class Documents:
    """Those of one schema: a bounded cache by hash, and the persisted ones. `closed`: these alone are served."""

    def __init__(self, schema: GraphQLSchema, limits: Limits, persisted: Mapping[str, str] | None = None,
                 closed: bool = False, most_characters: int = 8 << 20,
                 read: Callable[[str, GraphQLSchema, Limits], Document] = read_document) -> None:
        self.schema, self.limits, self.closed, self.read = schema, limits, closed, read
        self.most_characters = most_characters
        self.persisted = dict(persisted or {})
        self.kept: OrderedDict[str, tuple[Document | RequestError, int]] = OrderedDict()
        self.characters = 0
        self.hits = self.misses = 0

    def find(self, request: Request) -> Document:
        """Raises RequestError."""
        text, ident = request.query, request.document_id
        if ident:
            known = self.persisted.get(ident)
            if known is None and not text:
                raise RequestError("PERSISTED_QUERY_NOT_FOUND", f"documentId: expected a known one, got {ident}")
            if text and digest_of(text) != ident:
                raise RequestError("BAD_REQUEST", "documentId: expected the SHA-256 of the document beside it, got "
                                   "another")
            text = text or known or ""
        digest = digest_of(text)
        if self.closed and digest not in self.persisted:
            raise RequestError("NOT_TRUSTED", f"query: expected one of the trusted documents, got {digest}")
        kept = self.kept.get(digest)
        if kept is None:
            self.misses += 1
            found = self._add(digest, text)
        else:
            self.hits += 1
            self.kept.move_to_end(digest)
            found = kept[0]
        if isinstance(found, RequestError):
            raise RequestError(found.code, str(found))
        return found

    def _add(self, digest: str, text: str) -> Document | RequestError:
        found: Document | RequestError
        try:
            found = self.read(text, self.schema, self.limits)
        except RequestError as error:
            found = RequestError(error.code, str(error))  # kept without the frames that it holds on to
        # one document must not push out all others
        if len(text) <= self.most_characters // 4:
            self.kept[digest] = found, len(text)
            self.characters += len(text)
            while self.characters > self.most_characters:
                _, (_, size) = self.kept.popitem(last=False)
                self.characters -= size
        return found


def digest_of(text: str) -> str:
    return hashlib.sha256(text.encode("utf-8", "surrogatepass")).hexdigest()
