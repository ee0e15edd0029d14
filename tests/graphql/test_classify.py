"""What a request is taken for, held against what a server would run of it."""

from __future__ import annotations

import json
import os
from typing import Any

import pytest
from graphql import execute_sync, parse, validate

from ironscale.graphql import classify as module
from ironscale.graphql.classify import classify, together
from ironscale.graphql.documents import Documents, Limits, Request, RequestError, read_requests
from ironscale.graphql.mapping import read_schema, repeatability
from tests.graphql.samples import CLASSES, FIELDS, LIMITS, MAP, SCHEMA, SDL, Maker, mapped, verdict

MARK = 'mark(input: {requestId: "k", homework: 1, points: 2}) { points }'
SUBMIT = 'submit(input: {homework: 1, text: "t"}) { id }'


def kind(query: str, **variables: Any) -> tuple[str, str]:
    found = verdict(query, **variables)
    return found.found.name, found.key


def test_each_effect_alone() -> None:
    assert kind("{ homework(id: 1) { title } }") == ("view", "")
    assert kind(f"mutation {{ {SUBMIT} }}") == ("pay", "")
    assert kind(f"mutation {{ {MARK} }}") == ("mark", "k")
    assert kind('mutation { rename(name: "x") { name } }') == ("pay", "")  # nobody mapped it
    assert kind("subscription { marked { points } }") == ("feed", "")


def test_the_least_repeatable_part_decides_in_any_order() -> None:
    for body in (f"{MARK} {SUBMIT}", f"{SUBMIT} {MARK}"):
        found = verdict(f"mutation {{ {body} }}")
        assert (found.found.name, found.key) == ("pay", "") and found.why.startswith("Mutation.submit")
        names = ["mark", "pay"] if body.startswith("mark") else ["pay", "mark"]
        assert [part.found.name for part in found.parts] == names


def test_a_mutation_behind_three_fragments_and_an_alias_named_like_a_query() -> None:
    found = verdict(f"mutation {{ ...A }} fragment A on Mutation {{ ... on Mutation {{ ...B }} }}"
                    f" fragment B on Mutation {{ ...C }} fragment C on Mutation {{ query: {SUBMIT} }}")
    assert (found.kind, found.found.name) == ("mutation", "pay")
    assert [(part.response, part.name) for part in found.parts] == [("query", "Mutation.submit")]


@pytest.mark.parametrize(("given", "name"), [
    ({"x": True}, "pay"), ({"x": False}, "look"),
    ({}, "pay"),  # not told: a server would refuse it, and nothing may rest on that
    ({"x": "false"}, "pay"), ({"x": None}, "pay"),
])
def test_include_on_the_only_mutation(given: dict[str, Any], name: str) -> None:
    assert verdict("mutation($x: Boolean!) { __typename submit(input: {homework: 1, text: \"t\"}) @include(if: $x)"
                   " { id } }", **given).found.name == name


def test_a_condition_by_its_default_and_a_variable_that_is_not_declared_is_not_given() -> None:
    query = 'mutation($x: Boolean = false) { submit(input: {homework: 1, text: "t"}) @include(if: $x) { id } }'
    assert verdict(query).found.name == "look" and verdict(query, x=True).found.name == "pay"
    keyed = 'mutation($k: String = "d") { mark(input: {requestId: $k, homework: 1, points: 2}) { points } }'
    assert verdict(keyed).key == "d" and verdict(keyed, k="e", z="f").key == "e"
    assert verdict(keyed, k=None).found.name == "pay"  # told as null, which is no key


def test_skip_and_include_together_need_both() -> None:
    query = ('mutation($a: Boolean!, $b: Boolean!) { submit(input: {homework: 1, text: "t"}) @skip(if: $a)'
             " @include(if: $b) { id } }")
    names = {(a, b): verdict(query, a=a, b=b).found.name for a in (True, False) for b in (True, False)}
    assert names == {(True, True): "look", (True, False): "look", (False, False): "look", (False, True): "pay"}


@pytest.mark.parametrize("key", ["null", '""', "$k"])
def test_a_keyed_mutation_without_its_key_is_never_sent_again(key: str) -> None:
    head = "($k: String)" if key == "$k" else ""
    found = verdict(f"mutation{head} {{ mark(input: {{requestId: {key}, homework: 1, points: 2}}) {{ points }} }}")
    assert found.found.name == "pay" and "is not given" in found.why


def test_whether_a_keyed_one_is_asked_for_may_not_be_known() -> None:
    query = ('mutation($x: Boolean) { mark(input: {requestId: "k", homework: 1, points: 2}) @include(if: $x)'
             " { points } }")
    found = verdict(query.replace("$x: Boolean", "$x: Boolean!"))
    assert found.found.name == "pay" and "is not known" in found.why


def test_doubt_about_what_stands_above_holds_for_what_stands_below() -> None:
    fields = mapped({**FIELDS, "Homework.render": {"class": "note", "key": "key"}},
                    SDL.replace("solution: String,", "solution: String, render(key: String): String,"))
    schema = read_schema(SDL.replace("solution: String,", "solution: String, render(key: String): String,"), "s")

    def found(query: str, **variables: Any) -> str:
        request = Request(query, None, variables)
        return classify(request, Documents(schema, LIMITS).find(request), schema, fields, LIMITS).found.name

    inner = '{ render(key: "k") }'
    assert found(f"{{ homework(id: 1) {inner} }}") == "note"
    for query in (f"query($x: Boolean!) {{ homework(id: 1) @include(if: $x) {inner} }}",
                  f"query($x: Boolean!) {{ homework(id: 1) {{ ... @include(if: $x) {inner} }} }}",
                  f"query($x: Boolean!) {{ homework(id: 1) {{ ...F @skip(if: $x) }} }} fragment F on Homework {inner}",
                  f"query($x: Boolean!) {{ school {{ homeworks @include(if: $x) {inner} }} }}"):
        assert found(query) == "pay", query
        assert found(query, x="@skip" not in query) == "note", query


def test_keys_in_lists_all_count_and_an_empty_list_has_none() -> None:
    def marks(*keys: str) -> str:
        return ("mutation { markAll(inputs: [" + ", ".join(
            f"{{requestId: {key}, homework: 1, points: 1}}" for key in keys) + "]) { points } }")

    one, two, turned = verdict(marks('"a"')), verdict(marks('"a"', '"b"')), verdict(marks('"b"', '"a"'))
    assert one.key == "a" and two.found.name == "mark" and len(two.key) == 64 and two.key == turned.key
    assert verdict(marks('"a"', "null")).found.name == verdict(marks()).found.name == "pay"
    # what is joined must not be mistaken for another pair
    assert verdict(marks('"a"', '"b=c"')).key != verdict(marks('"a=b"', '"c"')).key


def test_two_keyed_parts_have_a_key_together_or_none() -> None:
    note, other = 'note(key: "n")', MARK.replace('"k"', '"l"')
    both = verdict(f"mutation {{ {MARK} b: {other} }}")
    assert both.found.name == "mark" and len(both.key) == 64
    # marks are dropped within a cell for 1.2 s, notes everywhere for 0.6 s: no class has both
    found = verdict(f"mutation {{ {MARK} {note} }}")
    assert found.found.name == "pay" and found.key == "" and "remembered more narrowly" in found.why


def test_the_same_field_selected_twice_runs_once_and_is_one_part() -> None:
    again = MARK.replace("{ points }", "{ homework { id } }")
    found = verdict(f"mutation {{ {MARK} ...A }} fragment A on Mutation {{ {again} }}")
    assert len(found.parts) == 1 and found.key == "k"


def test_nested_fields_with_a_rule_of_their_own_count_also_through_an_interface() -> None:
    fields = mapped({**FIELDS, "Homework.id": "pay", "TeacherMutation.close": {"class": "pay"}})
    assert verdict("{ homework(id: 1) { title } }", fields=fields).found.name == "view"
    assert verdict("{ homework(id: 1) { id } }", fields=fields).found.name == "pay"
    assert verdict("{ node(id: 1) { id } }", fields=fields).found.name == "pay"  # it may be a homework
    assert verdict("{ node(id: 1) { ... on Pupil { name } } }", fields=fields).found.name == "view"


def test_a_schema_question_has_no_effect_and_a_price() -> None:
    deep = "{ __schema { types { fields { type { ofType { ofType { name } } } } } } }"
    found = verdict(deep)
    assert found.found.name == "look" and found.cost > 100
    with pytest.raises(RequestError, match="expected a cost of 50 at most") as told:
        verdict(deep, limits=Limits(cost=50))
    assert told.value.code == "TOO_COSTLY"


def test_a_subscription_needs_a_class_of_its_own() -> None:
    with pytest.raises(RequestError, match=r"one field that has a class, got Subscription\.all"):
        verdict("subscription { all { points } }")


def test_one_tenant_a_request() -> None:
    fields = mapped({**FIELDS, "Mutation.rename": {"class": "pay", "tenant": "name"}})
    found = verdict('mutation { rename(name: "north") { name } }', fields=fields)
    assert found.tenant == "north"
    with pytest.raises(RequestError, match="expected one tenant a request, got north, south"):
        verdict('mutation { a: rename(name: "north") { name } b: rename(name: "south") { name } }', fields=fields)


def test_a_batch_goes_as_its_least_repeatable_part_wherever_that_stands() -> None:
    view, mark, submit = "{ school { name } }", f"mutation {{ {MARK} }}", f"mutation {{ {SUBMIT} }}"
    for queries, name in ((([view, view]), "view"), ([view, mark], "mark"), ([mark, view], "mark"),
                          ([view, mark, submit], "pay"), ([submit, mark, view], "pay")):
        requests, batch = read_requests(json.dumps([{"query": query} for query in queries]).encode(), LIMITS)
        documents = Documents(SCHEMA, LIMITS)
        found = together([classify(one, documents.find(one), SCHEMA, MAP, LIMITS) for one in requests], MAP, LIMITS)
        assert batch and found.found.name == name, queries
        assert found.kind == ("query" if name == "view" else "mutation")
    with pytest.raises(RequestError, match="got a subscription"):
        together([verdict(view), verdict("subscription { marked { points } }")], MAP, LIMITS)
    with pytest.raises(RequestError, match="in all"):
        together([verdict(view)] * 3, MAP, Limits(cost=5))


def test_lists_multiply_and_their_sizes_are_bounded() -> None:
    def cost(query: str, **variables: Any) -> int:
        return verdict(query, **variables).cost

    assert cost("{ school { name } }") == 2
    assert cost("{ homeworks(first: 3) { title } }") == 1 + 3
    assert cost("{ homeworks(first: 3) { pupils(first: 4) { name } } }") == 1 + 3 + 12
    assert cost("{ homeworks(first: 100000) { title } }") == cost("{ homeworks { title } }") == 1 + 40
    assert cost("{ homeworks(first: 0) { title } }") == cost("{ homeworks(first: -5) { title } }") - 39 == 2
    assert cost("query($n: Int) { homeworks(first: $n) { title } }", n=2) == 3
    assert cost("{ homework(id: 1) { pupils { marks { points } } } }") == 1 + 1 + 20 + 200  # a list of unknown size: 10


# Against a server

RUNS = int(os.environ.get("DOCUMENTS", "200"))  # of each block; 2500 take 75 s


class Server:
    """graphql-core runs the document; what it runs is noted."""

    def __init__(self) -> None:
        self.ran: list[tuple[str, dict[str, Any]]] = []

    def resolve(self, source: Any, info: Any, **given: Any) -> Any:
        name = f"{info.parent_type.name}.{info.field_name}"
        self.ran.append((name, given))
        text = str(info.return_type)
        if "[" not in text:
            return self.one(text)
        rule = MAP.rule(info.parent_type.name, info.field_name)
        most = (rule.most if rule is not None else 0) or MAP.default_size
        asked = given.get("first")
        if name == "Mutation.markAll":
            return [{}] * min(most, len(given["inputs"]))
        return [self.one(text)] * (most if asked is None else max(0, min(asked, most)))

    @staticmethod
    def one(text: str) -> Any:
        plain = text.strip("[]!")
        return {"Boolean": True, "Float": 1.0, "Int": 1, "String": "s", "ID": "1"}.get(plain, {})


def count(value: Any) -> int:
    if isinstance(value, dict):
        return sum(1 + count(inner) for inner in value.values())
    return sum(map(count, value)) if isinstance(value, list) else 0


@pytest.mark.parametrize("block", range(4))
def test_whatever_a_server_runs_was_foreseen_and_nothing_was_taken_for_more_repeatable(block: int) -> None:
    ran, undone, unsafe, keyed = 0, 0, 0, 0
    documents = Documents(SCHEMA, LIMITS)
    by_name = {found.name: found for found in CLASSES}
    for seed in range(block * RUNS, (block + 1) * RUNS):
        query, variables = Maker(seed).document()
        try:
            request = Request(query, None, variables)
            found = classify(request, documents.find(request), SCHEMA, MAP, LIMITS)
        except RequestError as error:
            assert error.code in ("INVALID", "TOO_COSTLY", "TOO_DEEP"), (seed, error)
            if error.code == "INVALID":
                assert validate(SCHEMA, parse(query)), seed
            undone += 1
            continue
        server = Server()
        answer = execute_sync(SCHEMA, parse(query), {}, variable_values=variables, field_resolver=server.resolve,
                              type_resolver=lambda *_: "Pupil")
        ran += 1
        roots = {name for name, _ in server.ran if name.split(".")[0] in ("Query", "Mutation")}
        assert roots <= {part.name for part in found.parts}, (seed, query)
        for name, given in server.ran:
            rule = MAP.rule(*name.split("."))
            if name.split(".")[0] not in ("Query", "Mutation") and (rule is None or not rule.name):
                continue
            truth = by_name[rule.name] if rule is not None and rule.name else MAP.unsafe
            values: list[Any] = []
            if truth.effect == "deduplicated":
                values = [one.get("requestId") for one in given.get("inputs", [given.get("input", {})])]
                values = [given.get("key")] if name == "Mutation.note" else values
                if not values or not all(values):
                    truth = MAP.unsafe  # nothing would drop its repeat
            assert repeatability(found.found) <= repeatability(truth), (seed, query, name)
            keys = {key for part in found.parts for key in part.keys}
            if found.found.effect == "deduplicated":
                keyed += 1
                assert set(values) <= keys and found.key, (seed, query)
        unsafe += found.found.effect == "at_most_once"
        if answer.data is not None:
            assert count(answer.data) <= found.cost, (seed, query, count(answer.data), found.cost)
    print(f"{ran} run, {undone} refused, {unsafe} unsafe, {keyed} keyed fields")
    assert ran > 2 * undone and unsafe > RUNS / 10 and keyed


@pytest.mark.parametrize("bug", ["a mutation taken for a read", "fragments not followed", "a missing key taken for one",
                                 "a condition that is not given taken for false", "keys of one part alone"])
def test_planted_bugs_are_found(bug: str, monkeypatch: pytest.MonkeyPatch) -> None:
    walk = module._Walk
    if bug == "a mutation taken for a read":
        monkeypatch.setattr(walk, "by_rule", lambda self, rule, node, keys, unsure: (CLASSES[0], "a bug"))
    elif bug == "fragments not followed":
        plain = walk.roots

        def roots(self: Any, selections: Any, root: Any, doubtful: bool, parts: Any) -> None:
            kept = type(selections)(selections=tuple(
                node for node in selections.selections if type(node).__name__ != "FragmentSpreadNode"))
            plain(self, kept, root, doubtful, parts)

        monkeypatch.setattr(walk, "roots", roots)
    elif bug == "a missing key taken for one":
        def by_rule(self: Any, rule: Any, node: Any, keys: list[str], unsure: bool) -> Any:
            keys += [str(value) for value in self.at(node, rule.key)] if rule.key else []
            return self.fields.classes[rule.name], "a bug"

        monkeypatch.setattr(walk, "by_rule", by_rule)
    elif bug == "a condition that is not given taken for false":
        told = walk.included
        monkeypatch.setattr(walk, "included", lambda self, given: told(self, given) is True and not given)
    else:
        monkeypatch.setattr(walk, "at", lambda self, node, path, at=walk.at: at(self, node, path)[:1])
    with pytest.raises((AssertionError, KeyError)):
        test_whatever_a_server_runs_was_foreseen_and_nothing_was_taken_for_more_repeatable(0)
