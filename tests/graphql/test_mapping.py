"""Mapping, schema and lists of documents: whole or not at all, and each error says where."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from ironscale.cli.main import main
from ironscale.cli.output import CliError, Exit
from ironscale.graphql.documents import Request, digest_of
from ironscale.graphql.files import GraphqlFileError, load
from ironscale.graphql.mapping import MappingError, make_map, read_schema
from ironscale.graphql.planning import plan
from ironscale.standins.settings import SETTINGS
from tests.graphql.samples import CLASSES, FIELDS, SCHEMA, SDL, mapped


@pytest.mark.parametrize(("fields", "text"), [
    ({"Query.none": "view"}, "map.toml: fields.Query.none: expected a field of Query (extra, homework, homeworks"),
    ({"Nothing.a": "view"}, "fields.Nothing.a: expected TYPE.FIELD of the schema, got 'Nothing.a'"),
    ({"MarkInput.points": "view"}, "expected TYPE.FIELD of the schema"),
    ({"Query": "view"}, "fields.Query: expected a field of Query"),
    ({"Query.extra": "nope"}, "Query.extra: expected one of the classes view, look, pay, mark, note, feed, got 'nope'"),
    ({"Query.extra": 3}, "fields.Query.extra: expected the name of a class or a table, got 3"),
    ({"Query.extra": {"clas": "view"}}, "fields.Query.extra.clas: expected one of class, key, tenant, size, most"),
    ({"Query.extra": {"class": ""}}, "fields.Query.extra.class: expected a text, got ''"),
    ({"Query.homeworks": {"class": "view", "most": 0}}, "most: expected a whole number above 0, got 0"),
    ({"Query.homeworks": {"class": "view", "most": True}}, "most: expected a whole number above 0, got True"),
    ({"Query.homeworks": {"class": "view", "size": "last"}}, "size: expected an argument of Query.homeworks, got"),
    ({"Mutation.rename": "view"}, "expected a class of effect deduplicated or at_most_once for a mutation, got 'view'"),
    ({"Mutation.*": "view"}, "each mutation to be named, or a class of effect at_most_once for all, got 'view'"),
    ({"Mutation.*": "mark"}, "expected each mutation to be named"),
    ({"Mutation.mark": "mark"}, "expected key beside a class of effect deduplicated, got none"),
    ({"Mutation.mark": {"class": "mark", "key": "inputs.requestId"}}, "key: expected one of input, got 'inputs'"),
    ({"Mutation.mark": {"class": "mark", "key": "input.id"}},
     "key: expected one of requestId, homework, points, got 'input.id'"),
    ({"Mutation.mark": {"class": "mark", "key": "input"}}, "key: expected an argument that is a text or a number"),
    ({"Mutation.mark": {"class": "mark", "key": "input.requestId.x"}}, "key: expected one of no argument, got"),
    ({"Subscription.marked": "view"}, "expected a class that is a stream, got 'view'"),
    ({"Query.extra": "feed"}, "expected a class that is not a stream, got 'feed'"),
    ({"Query.*": {"class": "view", "size": "first"}}, "expected a class alone for all fields"),
])
def test_a_rule_that_can_not_be_used(fields: dict[str, Any], text: str) -> None:
    with pytest.raises(MappingError) as found:
        mapped(fields)
    assert text in str(found.value) and "\n" not in str(found.value)


@pytest.mark.parametrize("unsafe", ["view", "mark", "none"])
def test_what_nobody_mapped_needs_a_class_that_is_never_repeated(unsafe: str) -> None:
    with pytest.raises(MappingError, match="map.toml: unsafe: expected a class of effect at_most_once, got"):
        make_map(SCHEMA, {}, CLASSES, unsafe, "map.toml")


@pytest.mark.parametrize(("sdl", "text"), [
    ("type Query {", "s.graphql:1:13: expected a schema, got Syntax Error"),
    ("type Mutation { a: Int }", "s.graphql: expected a schema, got Query root type must be provided"),
    ("type Query { a: Nothing }", "expected a schema, got Unknown type"),
    ("type Query { a: Int a: Int }", "expected a schema, got Field 'Query.a' can only be defined once"),
    ("type Query { a: Int @nothing }", "expected a schema, got Unknown directive"),
    ("type Query { a: Int @served(clas: \"view\") }", "expected a schema, got Unknown argument 'clas'"),
    ("", "s.graphql:1:1: expected a schema, got Syntax Error: Unexpected <EOF>"),
])
def test_a_schema_that_can_not_be_used(sdl: str, text: str) -> None:
    with pytest.raises(MappingError) as found:
        read_schema(sdl, "s.graphql")
    assert text in str(found.value) and "\n" not in str(found.value)


def test_directives_map_too_and_the_table_goes_before_them() -> None:
    sdl = SDL.replace("extra: String", 'extra: String @served(class: "look")').replace(
        "mark(input: MarkInput!): Mark", 'mark(input: MarkInput!): Mark @served(class: "mark", key: "input.requestId")')
    found = mapped({"Query.extra": "view"}, sdl)
    rule = found.rule("Mutation", "mark")
    assert rule is not None and (rule.name, rule.key) == ("mark", ("input", "requestId"))
    assert found.rules["Query.extra"].name == "view" and found.rule("Query", "school") is None
    with pytest.raises(MappingError, match=r"schema: Query\.extra: expected one of the classes"):
        mapped({}, SDL.replace("extra: String", 'extra: String @served(class: "nope")'))


def test_every_field_is_planned_and_an_unmapped_one_gets_a_proposal() -> None:
    found = {one.name: one for one in plan(SCHEMA, mapped())}
    assert (found["Query.school"].mapped, found["Query.homeworks"].mapped) == ("wildcard", "field")
    rename = found["Mutation.rename"]
    assert (rename.mapped, rename.found.name, rename.proposal) == ("no", "pay", '"Mutation.rename" = "pay"')
    bare = {one.name: one for one in plan(SCHEMA, mapped({}))}
    assert {one.found.name for one in bare.values()} == {"pay"}
    assert bare["Mutation.mark"].proposal == '"Mutation.mark" = { class = "mark", key = "input.requestId" }'
    assert bare["Mutation.note"].proposal == '"Mutation.note" = { class = "mark", key = "key" }'
    assert bare["Query.homeworks"].proposal == '"Query.homeworks" = { class = "view", size = "first" }'
    # what it proposes can be read, all of it
    import tomllib

    lines = [one.proposal for one in bare.values() if one.proposal]
    table = tomllib.loads("[fields]\n" + "\n".join(lines))["fields"]
    assert all(one.mapped == "field" for one in plan(SCHEMA, mapped(table)))


# Files and commands


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    (tmp_path / "school.graphql").write_text(SDL)
    (tmp_path / "config.json").write_text(json.dumps({"settings": SETTINGS}))
    (tmp_path / "map.toml").write_text(
        'schema = "school.graphql"\nunsafe = "pay"\n[limits]\ncost = 500\n[fields]\n"Query.*" = "view"\n'
        '"Mutation.submit" = "pay"\n"Mutation.mark" = {class = "mark", key = "input.requestId"}\n')
    return tmp_path


def call(folder: Path, *words: str, text: str = "") -> Any:
    return CliRunner().invoke(main, ["graphql", *words, "-c", str(folder / "config.json")], input=text)


@pytest.mark.parametrize(("change", "text"), [
    (("pay", "paid"), "map.toml: unsafe: expected a class of effect at_most_once, got 'paid'"),
    (('schema = "school.graphql"', ""), "map.toml: schema: expected a path, got nothing"),
    (("school.graphql", "none.graphql"), "none.graphql: expected a file that can be read"),
    (("cost = 500", "cots = 500"), "map.toml: limits.cots: expected one of batch, body, cost, depth, fields, same"),
    (("[limits]", "[trusted]\ndocuments = \"t.json\"\n[limits]"), "t.json: expected a file that can be read"),
    (("unsafe", "unsave"), "map.toml: unsafe: expected a text without line breaks, got nothing"),
])
def test_a_file_that_can_not_be_used(change: tuple[str, str], text: str, folder: Path) -> None:
    path = folder / "map.toml"
    path.write_text(path.read_text().replace(*change))
    with pytest.raises(GraphqlFileError) as found:
        load(path, CLASSES)
    assert text in str(found.value) and "\n" not in str(found.value)
    result = call(folder, "plan", str(path))
    assert isinstance(result.exception, CliError) and result.exception.code is Exit.USAGE


def test_trusted_documents_from_a_file_or_a_folder(folder: Path) -> None:
    path, text = folder / "map.toml", "{ school { name } }"
    path.write_text(path.read_text().replace("[limits]", '[trusted]\ndocuments = "t"\nclosed = true\n[limits]'))
    (folder / "t").mkdir()
    (folder / "t" / "one.graphql").write_text(text)
    front = load(path, CLASSES)
    assert front.documents.closed and front.documents.find(Request("", document_id=digest_of(text))).size == len(text)
    (folder / "t" / "two.graphql").write_text("{ schol }")  # the schema has moved on, or it never fitted
    with pytest.raises(GraphqlFileError, match="trusted document [0-9a-f]{12}: expected one that fits .* got query: "):
        load(path, CLASSES)
    for name in ("one.graphql", "two.graphql"):
        (folder / "t" / name).unlink()
    (folder / "t").rmdir()
    for content, expected in ((json.dumps({digest_of(text): text}), ""), ("[]", "expected an object of documents"),
                              ('{"a": "{ b }"}', "expected the SHA-256 of its document"), ("{", "expected JSON")):
        (folder / "t").write_text(content)
        if not expected:
            assert load(path, CLASSES).documents.persisted == {digest_of(text): text}
            continue
        with pytest.raises(GraphqlFileError, match=expected):
            load(path, CLASSES)


def test_plan_fails_where_a_mutation_is_mapped_by_nobody(folder: Path) -> None:
    result = call(folder, "plan", str(folder / "map.toml"), "--check")
    assert isinstance(result.exception, CliError) and result.exception.code is Exit.PARTIAL
    assert "got 4 that nobody mapped: Mutation.markAll, Mutation.note, Mutation.rename, Mutation.teacher" in str(
        result.exception)
    assert "never sent again" in result.output and "put into [fields]" in result.output
    listed = json.loads(call(folder, "plan", str(folder / "map.toml"), "-o", "json").output)
    found = {one["field"]: one for one in listed}
    assert found["Mutation.mark"]["effect"] == "deduplicated" and found["Mutation.note"]["mapped"] == "no"
    with (folder / "map.toml").open("a") as file:
        file.write("".join(f'"Mutation.{name}" = "pay"\n' for name in ("markAll", "note", "rename", "teacher")))
    assert call(folder, "plan", str(folder / "map.toml"), "--check").exit_code == 0
    (folder / "school.graphql").write_text(SDL.replace("type Mutation {", "type Mutation { surprise: Int"))
    result = call(folder, "plan", str(folder / "map.toml"), "--check")
    assert isinstance(result.exception, CliError) and "Mutation.surprise" in str(result.exception)


def test_explain_says_it_in_words_and_in_json(folder: Path) -> None:
    where = str(folder / "map.toml")
    query = "mutation($k: String) { query: mark(input: {requestId: $k, homework: 1, points: 2}) { points } }"
    result = call(folder, "explain", where, "-", "--variables", '{"k": "abc"}', text=query)
    assert "A mutation, carried whole as class mark (deduplicated)" in result.output and "Its key: abc" in result.output
    assert "for 1.2 s" in result.output and "Mutation.mark" in result.output
    found = json.loads(call(folder, "explain", where, "-", "-o", "json", text=query).output)
    assert (found["class"], found["key"], found["parts"][0]["response"]) == ("pay", "", "query")
    body = json.dumps([{"query": "{ school { name } }"}, {"query": 'mutation { rename(name: "x") { name } }'}])
    found = json.loads(call(folder, "explain", where, "-", "-o", "json", text=body).output)
    assert (found["class"], found["effect"], len(found["parts"])) == ("pay", "at_most_once", 2)
    assert json.loads(call(folder, "explain", where, "-", "-o", "json", text="{ school { name } }").output)["cost"] == 2
    for text, code in (("{ schol }", "INVALID"), ("{", "SYNTAX"), ("{ homeworks { pupils { marks { points } } } }",
                                                                    "TOO_COSTLY")):
        result = call(folder, "explain", where, "-", text=text)
        assert isinstance(result.exception, CliError) and f"<stdin>: {code}: " in str(result.exception)
    result = call(folder, "explain", where, "-", "--variables", "{", text=query)
    assert isinstance(result.exception, CliError) and "expected JSON" in str(result.exception)


def test_classes_that_can_not_be_read_are_told(folder: Path) -> None:
    (folder / "config.json").write_text("{}")
    result = call(folder, "plan", str(folder / "map.toml"))
    assert isinstance(result.exception, CliError) and str(folder / "config.json") in str(result.exception)
    assert FIELDS  # the samples' own mapping is not changed by any of this
