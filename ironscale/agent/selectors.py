"""Selectors, such as `name=app-*,zone=a,state!=drained`, choose instances by their attributes. No I/O."""

from __future__ import annotations

import fnmatch
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass

KEYS = ("name", "zone", "state", "generation", "version")
STATES = ("ready", "not ready", "drained", "draining", "silent", "gone")
COMPARISON = re.compile(r"\s*([a-z]+)\s*(!=|<=|>=|=|<|>)\s*([^,]*?)\s*")


class SelectorError(Exception):
    """The selector is invalid; the text is one line."""


@dataclass(frozen=True, slots=True)
class Comparison:
    """One comparison of a selector."""

    key: str
    operator: str
    value: str

    def matches(self, value: str) -> bool:
        if self.operator in ("=", "!="):
            return fnmatch.fnmatchcase(value, self.value) is (self.operator == "=")
        number, other = int(value), int(self.value)
        return {"<": number < other, ">": number > other, "<=": number <= other, ">=": number >= other}[
            self.operator]


def parse(text: str) -> tuple[Comparison, ...]:
    """Parses a selector into terms that must all hold; an empty text gives none. A bare word means `name=WORD`. Raises
    SelectorError."""
    terms = []
    for part in filter(None, (part.strip() for part in text.split(","))):
        found = COMPARISON.fullmatch(part if any(c in part for c in "=<>") else f"name={part}")
        if found is None or found[1] not in KEYS:
            raise SelectorError(f"selector: expected one of {', '.join(KEYS)} with =, !=, <, >, <= or >=, "
                                f"got {part!r}")
        key, operator, value = found.groups()
        if operator not in ("=", "!=") and (key != "generation" or not value.isdecimal()):
            raise SelectorError(f"selector: expected generation and a whole number beside {operator}, "
                                f"got {part!r}")
        if key == "state" and not any(fnmatch.fnmatchcase(state, value) for state in STATES):
            raise SelectorError(f"selector: expected a state out of {', '.join(STATES)}, got {value!r}")
        terms.append(Comparison(key, operator, value))
    return tuple(terms)


def matches(terms: tuple[Comparison, ...], values: Mapping[str, str]) -> bool:
    return all(term.matches(values[term.key]) for term in terms)


def compile_selector(text: str) -> Callable[[Mapping[str, str]], bool]:
    """A predicate that tells whether an instance's values match the selector. Raises SelectorError."""
    terms = parse(text)
    return lambda values: matches(terms, values)
