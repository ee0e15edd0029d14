"""A school's schema, its mapping, and documents made by chance."""

from __future__ import annotations

import random
import re
from collections.abc import Mapping
from typing import Any

from ironscale.graphql.classify import Verdict, classify
from ironscale.graphql.documents import Documents, Limits, Request
from ironscale.graphql.mapping import FieldMap, make_map, read_schema
from ironscale.interface import RequestClass

SDL = """
type Query {
  homework(id: ID!): Homework
  homeworks(first: Int): [Homework!]!
  school: School
  extra: String
  node(id: ID!): Node
}
type Mutation {
  submit(input: SubmitInput!): Submission
  mark(input: MarkInput!): Mark
  markAll(inputs: [MarkInput!]!): [Mark!]!
  note(key: String, text: String): Boolean
  rename(name: String!): School
  teacher: TeacherMutation
}
type TeacherMutation { close(homework: ID!): Boolean, look: String }
type Subscription { marked(pupil: ID): Mark, all: Mark }
input SubmitInput { homework: ID!, text: String! }
input MarkInput { requestId: String, homework: ID!, points: Float! }
interface Node { id: ID! }
type Homework implements Node {
  id: ID!, title: String, pupils(first: Int): [Pupil!]!, solution: String, school: School
}
type Pupil implements Node { id: ID!, name: String, marks: [Mark!]! }
type Mark { points: Float, homework: Homework }
type Submission { id: ID! }
type School { name: String, homeworks(first: Int): [Homework!]! }
"""
FIELDS: dict[str, Any] = {
    "Query.*": "view",
    "Query.homeworks": {"class": "view", "size": "first", "most": 40},
    "Query.extra": "look",
    "Homework.pupils": {"size": "first", "most": 20},
    "School.homeworks": {"size": "first", "most": 5},
    "Mutation.submit": "pay",
    "Mutation.mark": {"class": "mark", "key": "input.requestId"},
    "Mutation.markAll": {"class": "mark", "key": "inputs.requestId"},
    "Mutation.note": {"class": "note", "key": "key"},
    "Mutation.teacher": "pay",
    "Subscription.marked": "feed",
}
CLASSES = [
    RequestClass("view", 1, 4_000_000), RequestClass("look", 1, 2_000_000),
    RequestClass("pay", 1, 8_000_000, effect="at_most_once"),
    RequestClass("mark", 1, 8_000_000, effect="deduplicated", group="cell", dedup_memory_us=1_200_000),
    RequestClass("note", 1, 8_000_000, effect="deduplicated", group="all", dedup_memory_us=600_000),
    RequestClass("feed", 1, 90_000_000, stream=True),
]
LIMITS = Limits()
SCHEMA = read_schema(SDL, "school.graphql")


def mapped(fields: Mapping[str, Any] | None = None, sdl: str | None = None) -> FieldMap:
    schema = SCHEMA if sdl is None else read_schema(sdl, "school.graphql")
    return make_map(schema, FIELDS if fields is None else fields, CLASSES, "pay", "map.toml")


MAP = mapped()


def verdict(query: str, operation: str | None = None, fields: FieldMap = MAP, limits: Limits = LIMITS,
            **variables: Any) -> Verdict:
    request = Request(query, operation, variables)
    return classify(request, Documents(SCHEMA, limits).find(request), SCHEMA, fields, limits)


class Maker:
    """Documents by chance: fragments, aliases, conditions, nested lists, variables that are given or not."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.fragments: list[str] = []
        self.names = 0
        self.variables: dict[str, Any] = {}
        self.declared: dict[str, str] = {}

    def name(self, stem: str) -> str:
        self.names += 1
        return f"{stem}{self.names}"

    def chance(self, share: float) -> bool:
        return self.random.random() < share

    def variable(self, kind: str, values: list[Any]) -> str:
        """Declared; given, given as null, left to its default, or not given at all."""
        name = self.name("v")
        default = ""
        if kind == "Boolean" and self.chance(0.3):
            default = f" = {self.random.choice(['true', 'false'])}"
        required = "!" if kind == "Boolean" and not default else ""
        self.declared[name] = f"${name}: {kind}{required}{default}"
        if required or self.chance(0.7):
            self.variables[name] = self.random.choice(values)
        return f"${name}"

    def condition(self) -> str:
        if not self.chance(0.3):
            return ""
        value = self.random.choice(["true", "false", ""]) or self.variable("Boolean", [True, False])
        return f" @{self.random.choice(['skip', 'include'])}(if: {value})"

    def key(self) -> str:
        return self.variable("String", ["k1", "k2", None]) if self.chance(0.5) else self.random.choice(
            ['"k1"', '"k2"', "null", '""'])

    def mark_input(self) -> str:
        key = f"requestId: {self.key()}, " if self.chance(0.8) else ""
        return f"{{{key}homework: 1, points: {self.random.choice(['2', '2.5', '9007199254740993'])}}}"

    def mark_inputs(self) -> str:
        return ", ".join(self.mark_input() for _ in range(self.random.randint(0, 2)))

    def first(self) -> str:
        if not self.chance(0.6):
            return ""
        value = self.variable("Int", [1, 2, 3]) if self.chance(0.4) else str(self.random.randint(0, 4))
        return f"(first: {value})"

    def selections(self, kind: str, depth: int) -> str:
        found = [self.selection(kind, depth) for _ in range(self.random.randint(1, 3))]
        return "{ " + " ".join(found) + " }"

    def selection(self, kind: str, depth: int) -> str:
        dice = self.random.random()
        if dice < 0.12:
            return f"... on {kind}{self.condition()} {self.selections(kind, depth)}"
        if dice < 0.24:
            name = self.name("F")
            self.fragments.append(f"fragment {name} on {kind} {self.selections(kind, depth)}")
            return f"...{name}{self.condition()}"
        field, arguments, inner = self.random.choice(self.fields(kind, depth))
        alias = f"{self.name(self.random.choice(['query', 'a', 'view']))}: "
        below = " " + self.selections(inner, depth - 1) if inner else ""
        return f"{alias}{field}{arguments}{self.condition()}{below}"

    def fields(self, kind: str, depth: int) -> list[tuple[str, str, str]]:
        leaf = [("__typename", "", "")]
        if depth <= 0:
            return leaf
        return leaf + {
            "Query": [("homework", "(id: 1)", "Homework"), ("homeworks", self.first(), "Homework"),
                      ("school", "", "School"), ("extra", "", ""), ("node", "(id: 2)", "Node")],
            "Mutation": [("submit", '(input: {homework: 1, text: "é ☃"})', "Submission"),
                         ("mark", f"(input: {self.mark_input()})", "Mark"),
                         ("markAll", f"(inputs: [{self.mark_inputs()}])", "Mark"),
                         ("note", f"(key: {self.key()})", ""), ("rename", '(name: "n")', "School"),
                         ("teacher", "", "TeacherMutation")],
            "TeacherMutation": [("close", "(homework: 1)", ""), ("look", "", "")],
            "Homework": [("title", "", ""), ("pupils", self.first(), "Pupil"), ("solution", "", ""),
                         ("school", "", "School")],
            "Pupil": [("name", "", ""), ("marks", "", "Mark")],
            "Mark": [("points", "", ""), ("homework", "", "Homework")],
            "Submission": [("id", "", "")],
            "School": [("name", "", ""), ("homeworks", self.first(), "Homework")],
            "Node": [("id", "", "")],
        }[kind]

    def document(self) -> tuple[str, dict[str, Any]]:
        kind = self.random.choice(["query", "mutation"])
        body = self.selections("Query" if kind == "query" else "Mutation", 4)
        text = "\n".join([body, *self.fragments])
        used = {found[1:] for found in re.findall(r"\$\w+", text)}  # fields that were not chosen have left some behind
        head = ", ".join(one for name, one in self.declared.items() if name in used)
        return (f"{kind} Q{f'({head})' if head else ''} {text}",
                {name: value for name, value in self.variables.items() if name in used})
