"""GraphQL over HTTP: media types, status codes, methods, limits, tokens, streams."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import httpx
import pytest
from graphql import build_schema, parse, print_schema, validate

from ironscale.agent import limits
from ironscale.agent.api import HttpError, negotiate_media_type
from ironscale.agent.model import Kind
from ironscale.agent.schema import make_schema
from ironscale.agent.selectors import SelectorError, matches
from ironscale.agent.selectors import parse as parse_selector
from tests.agent.agent_harness import AgentScene, run, scene, until
from tests.deployed import ROOT

MODERN, LEGACY, STREAM = "application/graphql-response+json", "application/json", "text/event-stream"


def test_the_printed_schema_is_current() -> None:
    page = ROOT / "docs" / "schema.graphql"
    assert page.read_text() == print_schema(make_schema()) + "\n", (
        "docs/schema.graphql is old: python -m ironscale.agent.print_schema > docs/schema.graphql")


@pytest.mark.parametrize(("header", "expected"), [
    (None, MODERN), ("", MODERN), ("*/*", MODERN), ("application/*", MODERN), (LEGACY, LEGACY), (STREAM, STREAM),
    (f"{LEGACY}, {MODERN}", LEGACY), (f"{LEGACY};q=0.5, {MODERN}", MODERN), ("text/html, */*;q=0.1", MODERN),
    ("text/html", None), (f"{MODERN};q=0", None), (f"{LEGACY};q=x, {STREAM}", STREAM),
    ("application/json; charset=utf-8", LEGACY),
])
def test_the_answer_has_the_type_that_the_client_accepts(header: str | None, expected: str | None) -> None:
    if expected is None:
        with pytest.raises(HttpError) as found:
            negotiate_media_type(header)
        assert found.value.status == 406
    else:
        assert negotiate_media_type(header) == expected


Case = tuple[dict[str, Any], int, str]
ME = {"query": "{ me { name role } }"}
CASES: list[tuple[str, dict[str, Any], int, str | None]] = [
    ("a query", {"json": ME}, 200, None),
    ("GET", {"method": "GET", "params": {"query": "{ me { name } }"}}, 200, None),
    ("GET with variables", {"method": "GET", "params": {
        "query": "query($n: Int) { operations(first: $n) { edges { cursor } } }", "variables": '{"n": 1}'}}, 200, None),
    ("GET, variables no JSON", {"method": "GET", "params": {"query": "{ me { name } }", "variables": "{"}}, 400,
     "BAD_REQUEST"),
    ("a mutation by GET", {"method": "GET", "params": {"query": "mutation { pause(operation: 1) { id } }"}}, 405,
     "METHOD"),
    ("PUT", {"method": "PUT", "json": ME}, 405, "METHOD"), ("DELETE", {"method": "DELETE"}, 405, "METHOD"),
    ("a form", {"data": {"query": "{ me { name } }"}}, 415, "MEDIA_TYPE"),
    ("text, as a form can send", {"content": json.dumps(ME), "headers": {"content-type": "text/plain"}}, 415,
     "MEDIA_TYPE"),
    ("multipart", {"files": {"query": b"{ me { name } }"}}, 415, "MEDIA_TYPE"),
    ("no content type", {"content": json.dumps(ME)}, 415, "MEDIA_TYPE"),
    ("no JSON", {"content": "{", "headers": {"content-type": "application/json"}}, 400, "BAD_REQUEST"),
    ("a batch", {"json": [ME]}, 400, "BAD_REQUEST"), ("no query", {"json": {}}, 400, "BAD_REQUEST"),
    ("query no text", {"json": {"query": 3}}, 400, "BAD_REQUEST"),
    ("variables no object", {"json": {**ME, "variables": [1]}}, 400, "BAD_REQUEST"),
    ("operationName no text", {"json": {**ME, "operationName": 3}}, 400, "BAD_REQUEST"),
    ("a large body", {"json": {"query": "#" + "x" * limits.MAX_BODY_BYTES}}, 413, "TOO_LARGE"),
    ("a syntax error", {"json": {"query": "{ me"}}, 400, "BAD_REQUEST"),
    ("an unknown field", {"json": {"query": "{ nobody }"}}, 400, "BAD_REQUEST"),
    ("the same, legacy", {"json": {"query": "{ nobody }"}, "headers": {"accept": LEGACY}}, 200, "BAD_REQUEST"),
    ("two operations, no name", {"json": {"query": "query A { me { name } } query B { me { role } }"}}, 400,
     "BAD_REQUEST"),
    ("two operations, named", {"json": {"query": "query A { me { name } } query B { me { role } }",
                                        "operationName": "B"}}, 200, None),
    ("a variable of the wrong type", {"json": {"query": "query($n: Int!) { operation(id: $n) { id } }",
                                               "variables": {"n": "x"}}}, 400, "BAD_REQUEST"),
    ("an error of a field", {"json": {"query": '{ instances(selector: "what=1") { totalCount } }'}}, 200, "BAD_INPUT"),
    ("Accept of something else", {"json": ME, "headers": {"accept": "text/html"}}, 406, "NOT_ACCEPTABLE"),
    ("a subscription without a stream", {"json": {"query": "subscription { events { id } }"}}, 406, "NOT_ACCEPTABLE"),
    ("no token", {"json": ME, "headers": {"authorization": ""}}, 401, "UNAUTHENTICATED"),
    ("a wrong token", {"json": ME, "headers": {"authorization": "Bearer wrong"}}, 401, "UNAUTHENTICATED"),
    ("another scheme", {"json": ME, "headers": {"authorization": "Basic YTpi"}}, 401, "UNAUTHENTICATED"),
    ("too deep", {"json": {"query": "{ instances { edges { node " + "{ report " * 12 + "{ open }" + "}" * 12
                           + " } } }"}}, 400, "TOO_COMPLEX"),
    ("too much", {"json": {"query": "{ operations(first: 500) { edges { node { targets(first: 500) { edges { node "
                                    "{ name } } } } } } }"}}, 400, "TOO_COMPLEX"),
    ("too many tokens", {"json": {"query": "{" + " me { name }" * 2000 + "}"}}, 400, "BAD_REQUEST"),
    ("fragments that contain themselves", {"json": {"query": "{ me { ...a } } fragment a on Me { ...a }"}}, 400, None),
]


def test_requests_are_answered_according_to_the_specification(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s, s.api() as client:
            for what, case, status, code in CASES:
                given = dict(case)
                answer = await client.request(given.pop("method", "POST"), "/graphql", **given)
                assert answer.status_code == status, (what, answer.status_code, answer.text)
                kind = answer.headers["content-type"].partition(";")[0]
                accept = given.get("headers", {}).get("accept", MODERN)
                assert kind in (accept, MODERN, LEGACY), what
                body = answer.json()
                if code is not None:
                    assert body["errors"][0]["extensions"]["code"] == code, (what, body)
                elif status == 200:
                    assert "errors" not in body and body["data"], what
                if status >= 400:
                    assert "data" not in body, what
                if status == 405:
                    assert "POST" in answer.headers["allow"]
                if status == 401:
                    assert answer.headers["www-authenticate"].startswith("Bearer")

    run(test)


def test_fragments_that_double_at_each_level_are_refused_quickly() -> None:
    bomb = "{ ...f0 }" + "".join(f" fragment f{i} on Query {{ ...f{i + 1} ...f{i + 1} }}" for i in range(40)) + (
        " fragment f40 on Query { __typename }")
    with pytest.raises(limits.LimitExceeded):
        limits.cost(parse(bomb), {})


def test_the_cost_of_nested_pages_is_multiplied() -> None:
    def of(query: str, **variables: Any) -> int:
        return limits.cost(parse(query), variables)

    assert of("{ instances(first: 10) { edges { node { name } } } }") == 1 + 10 + 10 + 10
    assert of("query($n: Int) { instances(first: $n) { totalCount } }", n=7) == 1 + 7
    assert of("{ instances { totalCount } }") == 1 + limits.DEFAULT_PAGE
    assert of("{ instances(first: 99999) { totalCount } }") == 1 + limits.MAX_PAGE


def test_introspection_can_be_switched_off(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path, introspection=False) as s:
            body = await s.ask("{ __schema { types { name } } }")
            assert "introspection" in body["errors"][0]["message"].lower() and "data" not in body
            assert (await s.ask("{ me { name __typename } }"))["data"]["me"]["__typename"] == "Me"

    run(test)


def test_roles_limit_what_a_token_may_do(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(1)
            made = {}
            for role in ("READ", "OPERATE", "INSTANCE"):
                body = await s.ask("mutation($r: Role!, $n: String!) { createToken(name: $n, role: $r) { secret } }",
                                   r=role, n=f"my-{role.lower()}")
                made[role] = body["data"]["createToken"]["secret"]
            queries = {"READ": "{ instances { totalCount } }",
                       "OPERATE": 'mutation { drain(input: {selector: "i0000", supersede: true}) { id } }',
                       "ADMIN": "{ tokens { name } }"}
            allowed = {"READ": ["READ"], "OPERATE": ["READ", "OPERATE"]}
            for role, may in allowed.items():
                for needed, query in queries.items():
                    body = await s.ask(query, token=made[role])
                    if needed in may:
                        assert "errors" not in body, (role, needed, body)
                    else:
                        assert body["errors"][0]["extensions"]["code"] == "FORBIDDEN", (role, needed)
            assert (await s.ask("{ me { name } }", token=made["INSTANCE"]))["errors"]
            await s.ask('mutation { revokeToken(name: "my-read") { name } }')
            assert (await s.ask("{ me { name } }", token=made["READ"]))["errors"][0]["extensions"]["code"] == (
                "UNAUTHENTICATED")
            last = await s.ask('mutation { revokeToken(name: "admin") { name } }')
            assert last["errors"][0]["extensions"]["code"] == "CONFLICT"
            twice = await s.ask('mutation { createToken(name: "my-read", role: READ) { secret } }')
            assert twice["errors"][0]["extensions"]["code"] == "CONFLICT"
            stored = (tmp_path / "agent.db").read_bytes() + (tmp_path / "agent.db-wal").read_bytes()
            assert not any(secret.encode() in stored for secret in (*made.values(), s.admin, s.token))
            assert {oct(p.stat().st_mode & 0o777) for p in tmp_path.glob("*.token")} == {"0o600"}

    run(test)


def test_internal_errors_are_reported_without_details(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            s.engine.fleet.sorted_names = None  # type: ignore[assignment]  # read by queries, and not by the agent's own sweep
            body = await s.ask("{ instances { totalCount } }")
            assert body["errors"][0]["extensions"] == {"code": "INTERNAL"}
            assert "Traceback" not in json.dumps(body) and "NoneType" not in json.dumps(body)
            s.engine.fleet.sorted_names = []

    run(test)
    assert "Traceback" in capsys.readouterr().err


def test_pages_of_instances_join_without_gaps_or_overlaps(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(25)
            query = ("query($a: String, $f: Int!) { instances(first: $f, after: $a) { totalCount "
                     "pageInfo { hasNextPage endCursor } edges { cursor node { name state } } } }")
            names, after, pages = [], None, 0
            while True:
                page = (await s.ask(query, a=after, f=10))["data"]["instances"]
                names += [edge["node"]["name"] for edge in page["edges"]]
                pages, after = pages + 1, page["pageInfo"]["endCursor"]
                assert page["totalCount"] == 25
                if not page["pageInfo"]["hasNextPage"]:
                    break
            assert pages == 3 and names == sorted(s.instances)
            for bad, words in (({"f": 501}, "first: expected 0 to 500"), ({"f": 1, "a": "%%"}, "expected a cursor")):
                assert words in (await s.ask(query, **bad))["errors"][0]["message"]

    run(test)


@pytest.mark.parametrize(("selector", "expected"), [
    ("", True), ("app-1", True), ("app-*", True), ("name=app-?", True), ("name!=app-1", False), ("zone=b", False),
    ("zone=a,state=ready", True), ("state!=ready", False), ("generation<4", True), ("generation>=4", False),
    ("generation=3", True), (" zone = a , name = app-1 ", True), ("version=0.*", True),
])
def test_selectors(selector: str, expected: bool) -> None:
    values = {"name": "app-1", "zone": "a", "state": "ready", "generation": "3", "version": "0.1"}
    assert matches(parse_selector(selector), values) is expected


@pytest.mark.parametrize("selector", ["colour=red", "zone<3", "generation<x", "=3", "state=asleep"])
def test_an_invalid_selector_is_reported(selector: str) -> None:
    with pytest.raises(SelectorError, match="selector: expected"):
        parse_selector(selector)


async def sse(client: httpx.AsyncClient, query: str, into: list[tuple[str, Any]], **variables: Any) -> None:
    async with client.stream("POST", "/graphql", json={"query": query, "variables": variables},
                             headers={"accept": STREAM}) as answer:
        assert answer.headers["content-type"].startswith(STREAM), await answer.aread()
        kind = ""
        async for line in answer.aiter_lines():
            if line.startswith("event: "):
                kind = line[7:]
            elif line.startswith("data: ") and kind:
                into.append((kind, json.loads(line[6:] or "null")))


def test_a_subscription_follows_an_operation_to_its_end(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s, s.api() as client:
            await s.start_many(4)
            s.instances["i0002"].open = 1
            ident = await s.begin(Kind.DRAIN)
            events: list[tuple[str, Any]] = []
            query = "subscription($id: Int!) { operation(id: $id) { phase counts { state count } } }"
            following = asyncio.create_task(sse(client, query, events, id=ident))
            await until(lambda: events)
            s.instances["i0002"].open = 0
            await following
            phases = [event[1]["data"]["operation"]["phase"] for event in events if event[0] == "next"]
            assert phases[0] == "RUNNING" and phases[-1] == "SUCCEEDED" and events[-1][0] == "complete"
            await sse(client, query, events, id=99)
            assert events[-2][1]["errors"][0]["extensions"]["code"] == "NOT_FOUND" and events[-1][0] == "complete"

    run(test)


def test_subscriptions_to_events_and_instances_complete_when_the_agent_stops(tmp_path: Path) -> None:
    async def test() -> None:
        events: list[tuple[str, Any]] = []
        lists: list[tuple[str, Any]] = []
        async with scene(tmp_path) as s:
            client = s.api()
            queries = ("subscription { events { action subject result cursor } }",
                       "subscription { instances { totalCount edges { node { name state } } } }")
            tasks = [asyncio.create_task(sse(client, query, into))
                     for query, into in zip(queries, (events, lists), strict=True)]
            await until(lambda: lists)
            await s.start_many(2)
            await s.end(await s.begin(Kind.DRAIN))
            await until(lambda: any(e[1]["data"]["events"]["result"] == "succeeded" for e in events))
            await until(lambda: [edge["node"]["state"] for edge in lists[-1][1]["data"]["instances"]["edges"]]
                        == ["DRAINED"] * 2)
        await asyncio.wait_for(asyncio.gather(*tasks), 10)
        assert events[-1] == ("complete", None) and lists[-1] == ("complete", None)
        await client.aclose()

    run(test)


def test_abandoned_streams_are_closed(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            for _ in range(5):
                async with s.api() as client:
                    events: list[tuple[str, Any]] = []
                    task = asyncio.create_task(sse(client, "subscription { instances { totalCount } }", events))
                    await until(lambda: events)  # noqa: B023
                    task.cancel()
                    await asyncio.gather(task, return_exceptions=True)
            await s.start_many(1)
            await until(lambda: not s.engine.watchers)

    run(test)


def test_a_repeated_plan_shows_what_would_change(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(2)
            query = ("query($o: JSON!) { plan(overlay: $o) { generation matched sample difference } }")
            overlay = {"settings": {"instances": 3, "bounds": {"most-tries": None}}}
            plan = (await s.ask(query, o=overlay))["data"]["plan"]
            assert plan == {"generation": 0, "matched": 2, "sample": ["i0000", "i0001"], "difference": [
                "+ settings.bounds.most-tries: null", "+ settings.instances: 3"]}
            await s.end(await s.begin(overlay=overlay, expect=0))
            overlay["settings"]["instances"] = 4
            plan = (await s.ask(query, o=overlay))["data"]["plan"]
            assert plan["difference"] == ["~ settings.instances: 3 -> 4"] and plan["generation"] == 1
            found = (await s.ask("{ configuration(generation: 1) { overlay actor operation } }"))["data"]
            kept = found["configuration"]
            assert kept["actor"] == "ann" and kept["overlay"]["settings"]["instances"] == 3
            assert "expected an object" in (await s.ask(query, o=[1]))["errors"][0]["message"]

    run(test)


@pytest.mark.parametrize(("given", "code", "words"), [
    ({"selector": ""}, "BAD_INPUT", "selector: expected which instances"),
    ({"selector": "nobody"}, "NO_TARGETS", "expected a selector that matches"),
    ({"selector": "*", "policy": {"answerMs": 5}}, "BAD_INPUT", "policy.answerMs: expected 100 to"),
    ({"selector": "*", "policy": {"wave": -1}}, "BAD_INPUT", "policy.wave"),
    ({"selector": "*", "idempotencyKey": "x" * 201}, "BAD_INPUT", "idempotencyKey"),
])
def test_invalid_mutations_change_nothing(given: dict[str, Any], code: str, words: str,
                                                   tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(1)
            body = await s.ask("mutation($input: OperationInput!) { drain(input: $input) { id } }", input=given)
            assert body["errors"][0]["extensions"]["code"] == code and words in body["errors"][0]["message"]
            assert await s.engine.store.read(lambda r: r.operations(99, 9)) == []

    run(test)


def test_the_documents_of_the_command_line_fit_the_schema() -> None:
    from ironscale.cli import common, instances

    schema = build_schema((ROOT / "docs" / "schema.graphql").read_text())
    for document in (common.TARGETS, instances.LIST, instances.FLEET,
                     common.OPERATION + "{ operation(id: 1) { ...Op } }"):
        assert validate(schema, parse(document)) == []
    assert isinstance(AgentScene, type)
