"""The operator's mapping file and the schema beside it: read whole or not at all."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from graphql import GraphQLSchema

from ironscale.graphql.documents import Documents, Limits, Request, RequestError, digest_of
from ironscale.graphql.mapping import DEFAULT_SIZE, MOST, FieldMap, MappingError, make_map, read_schema
from ironscale.interface import RequestClass
from ironscale.toml_tables import Table, TableError, read_text, read_toml


class GraphqlFileError(TableError):
    """A mapping, schema or list of documents that can't be used; the text is one line."""


@dataclass(frozen=True, slots=True)
class Front:
    """All that is known ahead of a request."""

    schema: GraphQLSchema
    fields: FieldMap
    limits: Limits
    documents: Documents


def load(path: Path, classes: Sequence[RequestClass]) -> Front:
    """Raises GraphqlFileError."""
    root = read_toml(read_text(path, GraphqlFileError), str(path), path.parent, GraphqlFileError)
    schema_path = root.file_path("schema")
    unsafe = root.string("unsafe")
    default_size = root.integer("default_size", 1, MOST, DEFAULT_SIZE)
    limits = _limits(root.table("limits"))
    table = root.table("fields")
    trusted = root.table("trusted")
    persisted, closed = _trusted(trusted)
    root.reject_unknown_keys()
    try:
        schema = read_schema(read_text(schema_path, GraphqlFileError), str(schema_path))
        found = make_map(schema, table.values if table is not None else {}, classes, unsafe, str(path), default_size)
    except MappingError as error:
        raise GraphqlFileError(str(error)) from None
    documents = Documents(schema, limits, persisted, closed)
    for digest, text in persisted.items():
        try:
            documents.find(Request(text))
        except RequestError as error:
            raise GraphqlFileError(f"{path}: trusted document {digest[:12]}: expected one that fits {schema_path}, got "
                                   f"{error}") from None
    return Front(schema, found, limits, documents)


def _limits(table: Table | None) -> Limits:
    if table is None:
        return Limits()
    found = {name: table.integer(name, 1, 1 << 30, default) for name, default in asdict(Limits()).items()}
    table.reject_unknown_keys()
    return Limits(**found)


def _trusted(table: Table | None) -> tuple[dict[str, str], bool]:
    """The documents by their SHA-256, from a JSON object of these or a folder of *.graphql; and whether they alone are
    served."""
    if table is None:
        return {}, False
    path, closed = table.file_path("documents"), table.boolean("closed", False)
    table.reject_unknown_keys()
    if path.is_dir():
        texts = [read_text(one, GraphqlFileError) for one in sorted(path.glob("*.graphql"))]
        return {digest_of(text): text for text in texts}, closed
    try:
        found = json.loads(read_text(path, GraphqlFileError))
    except ValueError as error:
        raise GraphqlFileError(f"{path}: expected JSON, got {error}") from None
    if not isinstance(found, dict) or not all(isinstance(text, str) for text in found.values()):
        raise GraphqlFileError(f"{path}: expected an object of documents by their SHA-256, got {found!r:.60}")
    for name, text in found.items():
        if digest_of(text) != name:
            raise GraphqlFileError(f"{path}: {name:.64}: expected the SHA-256 of its document, {digest_of(text)}, got "
                                   "another")
    return found, closed
