"""The command line's end of the agent's API."""

from __future__ import annotations

import contextlib
import json
import os
import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import httpx

from ironscale.cli.output import CODES, CliError, Exit, fail
from ironscale.operator_file import OperatorFileError, read_secret

CALL_S = 10.0
NOT_LEADING = "NOT_LEADING"


@dataclass(slots=True)
class Where:
    """The agent's address and the token, from options, environment or the data folder."""

    address: str | None
    token_file: Path | None
    data: Path

    def urls(self) -> list[str]:
        """Several, with commas, are agents of one record: whichever leads. Raises CliError."""
        address = self.address or os.environ.get("IRONSCALE_AGENT")
        if not address:
            try:
                address = (self.data / "address").read_text(encoding="ascii").strip()
            except OSError:
                fail(Exit.NO_AGENT, f"no agent: {self.data}/address is not there; start one with `ironscale agent`, "
                     "or name it with --agent URL")
        found = [one.strip() for one in address.split(",") if one.strip()]
        return [f"{one if one.startswith(('http://', 'https://')) else f'http://{one}'}".rstrip("/") + "/graphql"
                for one in found]

    def token(self) -> str:
        path = self.token_file or (Path(os.environ["IRONSCALE_TOKEN_FILE"])
                                   if os.environ.get("IRONSCALE_TOKEN_FILE") else self.data / "admin.token")
        try:
            return read_secret(path)
        except OperatorFileError as error:
            fail(Exit.DENIED, f"{error}; name a token with --token-file")


def extensions(answer: httpx.Response) -> dict[str, Any]:
    """Of the first error; empty without one."""
    try:
        return dict((answer.json().get("errors") or [{}])[0].get("extensions") or {})
    except (ValueError, AttributeError, TypeError, IndexError):
        return {}


def code_of(answer: httpx.Response) -> str:
    return str(extensions(answer).get("code", ""))


def leader_of(answer: httpx.Response) -> str:
    """The API of the agent that leads, where one that follows has named it; empty otherwise."""
    found = extensions(answer)
    leader = found.get("leader") if found.get("code") == NOT_LEADING else None
    return f"{leader}/graphql" if isinstance(leader, str) and leader else ""


class Api:
    """GraphQL calls, and errors as exit codes."""

    def __init__(self, where: Where) -> None:
        self.where = where
        self.urls = where.urls()
        self.url = self.urls[0]
        self.client = httpx.Client(headers={"Authorization": f"Bearer {where.token()}",
                                            "Accept": "application/graphql-response+json"},
                                   timeout=CALL_S, trust_env=False)

    def post(self, query: str, variables: dict[str, Any]) -> httpx.Response:
        """At the agent that leads, if the one that was asked knows it; where nobody listens, at the next. Raises httpx
        errors."""
        for _ in range(len(self.urls)):
            try:
                answer = self.client.post(self.url, json={"query": query, "variables": variables})
                break
            except httpx.ConnectError as error:
                problem = error
                self.turn()
        else:
            raise problem
        leader = leader_of(answer)
        if leader and leader != self.url:
            self.url = leader
            answer = self.client.post(self.url, json={"query": query, "variables": variables})
        return answer

    def turn(self) -> None:
        """To the next agent; the folder may name another address since the agent was started again."""
        with contextlib.suppress(CliError):
            self.urls = self.where.urls()
        place = self.urls.index(self.url) if self.url in self.urls else -1
        self.url = self.urls[(place + 1) % len(self.urls)]

    def call(self, query: str, **variables: Any) -> dict[str, Any]:
        """One call. Raises CliError."""
        try:
            answer = self.post(query, variables)
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            fail(Exit.NO_AGENT, f"no agent answers at {self.url}: {error}; is it running? `ironscale agent` starts one")
        return self.read(answer)

    def read(self, answer: httpx.Response) -> dict[str, Any]:
        try:
            body = answer.json()
            errors, data = body.get("errors") or [], body.get("data")
        except (ValueError, AttributeError):
            fail(Exit.NO_AGENT, f"{self.url} is no agent: it answered {answer.status_code} with no GraphQL")
        if errors:
            first = errors[0]
            code = (first.get("extensions") or {}).get("code", "")
            fail(CODES.get(code, Exit.FAILED), describe(first))
        found: dict[str, Any] = data
        return found

    def mutate(self, query: str, input_: dict[str, Any], within_s: float = 30.0) -> dict[str, Any]:
        """A mutation, told again by the same idempotency key where its answer was lost: its effect comes once."""
        keyed = {**input_, "idempotencyKey": input_.get("idempotencyKey") or uuid.uuid4().hex}
        return self.again(query, f"look with `ironscale ops`, or repeat with --key {keyed['idempotencyKey']}", within_s,
                          input=keyed)

    def again(self, query: str, advice: str, within_s: float = 30.0, **variables: Any) -> dict[str, Any]:
        """A mutation that is the same if it comes twice, told again where its answer was lost."""
        deadline_s = time.monotonic() + within_s
        while True:
            try:
                answer = self.post(query, variables)
                if code_of(answer) != NOT_LEADING or time.monotonic() >= deadline_s:
                    return self.read(answer)
                problem: Exception = CliError(Exit.NO_AGENT, "none leads at present")
            except httpx.ConnectError as error:
                # never sent, if this is the first try; after that the key makes it one
                problem = error
            except httpx.HTTPError as error:
                problem = error
            if time.monotonic() >= deadline_s:
                fail(Exit.NO_AGENT, f"no answer from {self.url} ({problem}): whether it was begun is not known; "
                     f"{advice}")
            time.sleep(0.3)

    def stream(self, query: str, **variables: Any) -> Iterator[dict[str, Any]]:
        """Results of a subscription until it completes. Raises CliError, httpx errors where it breaks."""
        headers = {"Accept": "text/event-stream"}
        with self.client.stream("POST", self.url, json={"query": query, "variables": variables}, headers=headers,
                                timeout=httpx.Timeout(CALL_S, read=30.0)) as answer:
            if answer.headers.get("content-type", "").partition(";")[0] != "text/event-stream":
                answer.read()
                self.read(answer)
                fail(Exit.FAILED, f"{self.url} answered {answer.status_code} with no event stream")
            kind, data = "", ""
            for line in answer.iter_lines():
                if line.startswith("event: "):
                    kind = line[7:]
                elif line.startswith("data: "):
                    data += line[6:]
                elif not line and kind:
                    if kind == "complete":
                        return
                    body = json.loads(data)
                    if body.get("errors"):
                        first = body["errors"][0]
                        code = (first.get("extensions") or {}).get("code", "")
                        fail(CODES.get(code, Exit.FAILED), describe(first))
                    yield body["data"]
                    kind, data = "", ""

    def pages(self, query: str, field: str, **variables: Any) -> Iterator[dict[str, Any]]:
        """All nodes of a connection, page by page."""
        after = None
        while True:
            page = self.call(query, after=after, **variables)[field]
            for edge in page["edges"]:
                yield edge["node"]
            if not page["pageInfo"]["hasNextPage"]:
                return
            after = page["pageInfo"]["endCursor"]


def describe(error: dict[str, Any]) -> str:
    """An error in one line, and what the agent says beside it."""
    extensions = error.get("extensions") or {}
    text = str(error.get("message"))
    if extensions.get("difference"):
        text += "; differs: " + "; ".join(extensions["difference"][:5])
    return text
