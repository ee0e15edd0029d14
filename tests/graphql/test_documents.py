"""Bodies and documents that are no good are told in one line, soon, and nothing else is."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest

from ironscale.graphql.documents import (
    Documents,
    Limits,
    Number,
    Request,
    RequestError,
    digest_of,
    read_document,
    read_json,
    read_requests,
)
from tests.graphql.samples import LIMITS, SCHEMA, verdict


def told(work: Any, *given: Any) -> RequestError:
    with pytest.raises(RequestError) as found:
        work(*given)
    assert "\n" not in str(found.value)
    return found.value


@pytest.mark.parametrize(("body", "text"), [
    (b"", "body: expected JSON"),
    (b"{", "body: expected JSON, got Expecting property name"),
    (b'{"query": "\xff"}', "expected UTF-8, got byte 0xff at 11"),
    (b'{"query": "{ a }", "query": "{ b }"}', "expected each key once, got 'query' twice"),
    (b'{"query": "{ a }", "variables": {"a": 1, "a": 2}}', "expected each key once, got 'a' twice"),
    (b'{"query": "{ a }", "variables": {"x": NaN}}', "expected JSON, got NaN"),
    (b"[" * 100_000, "expected JSON"),
    (b"3", "body: expected an object, got 3"),
    (b"[]", "expected 1 to 20 requests in a batch, got 0"),
    (b"[" + b",".join([b'{"query":"{a}"}'] * 21) + b"]", "expected 1 to 20 requests in a batch, got 21"),
    (b'[{"query": "{a}"}, [1]]', "body[1]: expected an object, got ['1']"),
    (b"{}", "body.query: expected a document, got nothing"),
    (b'{"query": 9007199254740993}', "body.query: expected a text, got 9007199254740993"),
    (b'{"query": "{a}", "operationName": 1}', "body.operationName: expected a text or null, got 1"),
    (b'{"query": "{a}", "variables": []}', "body.variables: expected an object or null, got []"),
    (b'{"documentId": "sha256:12"}', "expected a document's id of 64 hexadecimal digits"),
    (b'{"extensions": {"persistedQuery": {"sha256Hash": 3}}}', "document's id of 64 hexadecimal digits, got 3"),
])
def test_a_body_that_is_no_request(body: bytes, text: str) -> None:
    found = told(read_requests, body, LIMITS)
    assert text in str(found) and found.code == "BAD_REQUEST"


def test_a_body_that_is_too_large_is_not_read() -> None:
    assert told(read_requests, b" " * 1_001, Limits(body=1_000)).code == "TOO_LARGE"


def test_numbers_stay_as_they_were_written() -> None:
    found = read_json(b'{"a": 9007199254740993, "b": 1.10, "c": 1e400, "d": [-0]}', LIMITS)
    assert found == {"a": "9007199254740993", "b": "1.10", "c": "1e400", "d": ["-0"]}
    assert all(isinstance(found[key], Number) for key in "abc")
    (request,), _ = read_requests(b'{"query": "query($n: Int) { homeworks(first: $n) { title } }",'
                                  b' "variables": {"n": 7}}', LIMITS)
    assert verdict(request.query, **request.variables).cost == 8


def test_unicode_in_texts_and_names() -> None:
    body = json.dumps({"query": 'mutation { submit(input: {homework: 1, text: "\\u2603 é"}) { id } }',
                       "variables": {"ключ": "значение"}}, ensure_ascii=False).encode()
    (request,), _ = read_requests(body, LIMITS)
    assert verdict(request.query, **request.variables).found.name == "pay"
    assert told(verdict, "{ homеwork(id: 1) { title } }").code == "SYNTAX"  # that e is Cyrillic
    (lone,), _ = read_requests(rb'{"query": "{ school { name } } # \ud800"}', LIMITS)
    assert told(verdict, lone.query).code == "SYNTAX"  # half a character; it is hashed all the same


@pytest.mark.parametrize(("query", "code", "text"), [
    ("", "SYNTAX", "query: line 1, column 1: Syntax Error: Unexpected <EOF>."),
    ("{ school { name }", "SYNTAX", "Expected Name, found <EOF>"),
    ("{ schol { name } }", "INVALID", "Did you mean 'school'?"),
    ("fragment F on Query { extra }", "OPERATION", "expected an operation, got none"),
    ("type Query { a: Int }", "OPERATION", "expected an operation, got none"),
    ("{ ...F } fragment F on Query { ...G } fragment G on Query { ...F }", "INVALID", "got F within itself"),
    ("{ ...F } fragment F on Query { school { homeworks { school { ...G } } } }"
     " fragment G on School { homeworks { school { ...G } } }", "INVALID", "got G within itself"),
    ("{ " + " ".join(f"a{i}: extra" for i in range(10_000)) + " }", "TOO_MANY_TOKENS", "tokens"),
    ("{ " + " ".join(f"a{i}: extra" for i in range(5_001)) + " }", "TOO_MANY_FIELDS", "5,000 fields"),
    ("{ " + "extra " * 4_900 + "}", "TOO_MANY_FIELDS", "fields of one name less often, got 'extra' 201 times"),
    ("{ school " + "{ homeworks { school " * 15 + "{ name }" + " } }" * 15 + " }", "TOO_DEEP", "a depth of 15"),
    ("{" + " school { homeworks {" * 5_000, "TOO_DEEP", "nested too deeply"),
    ("{ a(x: " + "[" * 15_000, "TOO_DEEP", "nested too deeply"),
    ("{ school { homeworks(first: 5) { pupils(first: 20) { marks { homework { pupils(first: 20) { marks { points"
     " } } } } } } } }", "TOO_COSTLY", "a cost of 100,000 at most"),
])
def test_a_document_that_is_not_carried(query: str, code: str, text: str) -> None:
    began = time.process_time()
    found = told(verdict, query)
    assert (found.code, text in str(found)) == (code, True), found
    assert time.process_time() - began < 3.0  # what is refused must not cost more than what is carried


def test_fragments_that_double_at_each_level_are_stopped() -> None:
    query = "{ ...F0 } " + " ".join(
        f"fragment F{n} on Query {{ a{n}: extra ...F{n + 1} ...F{n + 1} }}" for n in range(40)) + (
        " fragment F40 on Query { extra }")
    assert told(verdict, query).code == "TOO_MANY_FIELDS"


def test_a_document_of_64_kib_and_a_thousand_aliases_are_carried() -> None:
    query = "{ " + " ".join(f"a{i}: homework(id: {i}) {{ title }}" for i in range(1_000)) + " }"
    assert len(verdict(query + " #" + "x" * (64 << 10)).parts) == 1_000
    marks = "mutation { " + " ".join(
        f'm{i}: mark(input: {{requestId: "k{i}", homework: 1, points: 2}}) {{ points }}' for i in range(900)) + " }"
    assert len(marks) > 64 << 10
    assert verdict(marks).found.name == "mark"


def test_several_operations_and_a_wrong_name() -> None:
    two = 'query A { school { name } } mutation B { rename(name: "x") { name } }'
    assert verdict(two, "A").found.name == "view" and verdict(two, "B").found.name == "pay"
    assert "operationName: expected one of A, B, got nothing" in str(told(verdict, two))
    assert "operationName: expected one of A, B, got 'C'" in str(told(verdict, two, "C"))


# The cache, and persisted documents


def test_what_was_read_is_kept_within_a_bound_errors_too() -> None:
    read: list[str] = []

    def reading(text: str, *given: Any) -> Any:
        read.append(text)
        return read_document(text, *given)

    documents = Documents(SCHEMA, LIMITS, most_characters=400, read=reading)
    texts = [f"{{ a{n:02}: school {{ name }} }}" for n in range(30)]  # 24 characters each
    for text in (texts[0], texts[0], "{ nothing }"):
        with_error = text == "{ nothing }"
        for _ in range(2):
            if with_error:
                assert told(documents.find, Request(text)).code == "INVALID"
            else:
                assert documents.find(Request(text)).digest == digest_of(text)
    assert len(read) == 2 and (documents.hits, documents.misses) == (4, 2)
    for text in texts:
        documents.find(Request(text))
        documents.find(Request(texts[0]))  # used again and again: it stays
    assert documents.characters <= 400 and len(documents.kept) <= 16
    assert documents.characters == sum(size for _, size in documents.kept.values())
    before = len(read)
    documents.find(Request(texts[0]))
    documents.find(Request(texts[1]))  # pushed out
    assert len(read) == before + 1
    documents.find(Request("{ school { name } } #" + "x" * 200))  # one must not push out all others
    assert len(documents.kept) >= 15


def test_persisted_documents_and_a_closed_list() -> None:
    text, other = "{ school { name } }", "{ extra }"
    ident = digest_of(text)
    documents = Documents(SCHEMA, LIMITS, {ident: text})
    for body in ({"documentId": f"sha256:{ident}"}, {"documentId": ident},
                 {"extensions": {"persistedQuery": {"version": 1, "sha256Hash": ident}}},
                 {"query": text, "extensions": {"persistedQuery": {"version": 1, "sha256Hash": ident}}}):
        (request,), _ = read_requests(json.dumps(body).encode(), LIMITS)
        assert documents.find(request).digest == ident
    assert told(documents.find, Request("", document_id=digest_of(other))).code == "PERSISTED_QUERY_NOT_FOUND"
    assert told(documents.find, Request(other, document_id=ident)).code == "BAD_REQUEST"
    assert documents.find(Request(other)).digest == digest_of(other)
    closed = Documents(SCHEMA, LIMITS, {ident: text}, closed=True)
    assert closed.find(Request(text)).digest == ident == closed.find(Request("", document_id=ident)).digest
    assert told(closed.find, Request(other)).code == "NOT_TRUSTED"
    assert told(closed.find, Request(other, document_id=digest_of(other))).code == "NOT_TRUSTED"
    assert closed.misses == 1  # what is not trusted is not even read
