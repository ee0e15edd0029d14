"""GraphQL over HTTP according to the GraphQL-over-HTTP specification; subscriptions use server-sent events.

POST accepts only `application/json`, which an HTML form can't send; this prevents cross-site request forgery. GET is
for queries only. Every request needs a bearer token.
"""

from __future__ import annotations

import asyncio
import json
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from graphql import (
    DocumentNode,
    ExecutionResult,
    GraphQLError,
    GraphQLSchema,
    NoSchemaIntrospectionCustomRule,
    OperationDefinitionNode,
    OperationType,
    execute,
    get_operation_ast,
    parse,
    specified_rules,
    subscribe,
    validate,
)
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from ironscale import logs
from ironscale.agent import limits
from ironscale.agent.schema import Caller, Context
from ironscale.agent.store import StoreError

GRAPHQL_RESPONSE_JSON, PLAIN_JSON, EVENT_STREAM = (
    "application/graphql-response+json", "application/json", "text/event-stream")
PING_INTERVAL_S = 10.0  # interval of comment lines while nothing changes, so that each side notices a lost connection
MAX_ERRORS = 20
Authenticate = Callable[[str], Caller | None]


class HttpError(Exception):
    """A request that is answered with an error before GraphQL execution starts."""

    def __init__(self, status: int, code: str, text: str, headers: dict[str, str] | None = None) -> None:
        super().__init__(text)
        self.status, self.code, self.headers = status, code, headers or {}


def negotiate_media_type(header: str | None) -> str:
    """Chooses the media type of the answer by the client's `Accept` header. Raises HttpError."""
    if not header or not header.strip():
        return GRAPHQL_RESPONSE_JSON
    wanted: list[tuple[float, int, str]] = []
    for place, part in enumerate(header.split(",")):
        name, *parameters = (piece.strip().lower() for piece in part.split(";"))
        quality = 1.0
        for parameter in parameters:
            if parameter.startswith("q="):
                try:
                    quality = float(parameter[2:])
                except ValueError:
                    quality = 0.0
        wanted.append((-quality, place, name))
    for quality, _, name in sorted(wanted):
        if quality == 0.0:
            continue
        if name in (GRAPHQL_RESPONSE_JSON, PLAIN_JSON, EVENT_STREAM):
            return name
        if name in ("*/*", "application/*"):
            return GRAPHQL_RESPONSE_JSON
        if name == "text/*":
            return EVENT_STREAM
    raise HttpError(406, "NOT_ACCEPTABLE", f"Accept: expected {GRAPHQL_RESPONSE_JSON}, {PLAIN_JSON} or {EVENT_STREAM}, "
                    f"got {header[:80]!r}")


def format_error(error: GraphQLError, log: Callable[[str], None]) -> dict[str, Any]:
    """Formats an error for clients: with a stable code, and without internal details."""
    cause = error.original_error
    if isinstance(cause, StoreError):
        error = GraphQLError(str(cause), error.nodes, path=error.path, extensions={"code": f"STORE_{cause.code}"})
    elif cause is not None and not isinstance(cause, GraphQLError):
        log("".join(traceback.format_exception(cause)))
        error = GraphQLError("the agent failed on this; its log says how", error.nodes, path=error.path,
                             extensions={"code": "INTERNAL"})
    found: dict[str, Any] = dict(error.formatted)
    found["extensions"] = {"code": "BAD_REQUEST", **(error.extensions or {})}
    return found


class Api:
    """The ASGI application."""

    def __init__(self, schema: GraphQLSchema, authenticate: Authenticate, context: Callable[[Caller], Context],
                 introspection: bool = True, log: Callable[[str], None] | None = None) -> None:
        self.schema = schema
        self.authenticate = authenticate
        self.context = context
        self.rules = [*specified_rules, *([] if introspection else [NoSchemaIntrospectionCustomRule])]
        self.log = log or logs.write_line
        self.shutting_down = asyncio.Event()
        self.app = Starlette(routes=[Route("/graphql", self.endpoint, methods=["GET", "POST", "HEAD", "OPTIONS", "PUT",
                                                                               "DELETE", "PATCH"])])

    async def endpoint(self, request: Request) -> Response:
        media = GRAPHQL_RESPONSE_JSON
        try:
            if request.method not in ("GET", "POST"):
                raise HttpError(405, "METHOD", f"expected GET or POST, got {request.method}", {"Allow": "GET, POST"})
            media = negotiate_media_type(request.headers.get("accept"))
            caller = self.authenticated_caller(request)
            query, variables, name = await self.parameters(request)
            return await self.execute_request(request, media, caller, query, variables, name)
        except HttpError as error:
            body = {"errors": [{"message": str(error), "extensions": {"code": error.code}}]}
            return JSONResponse(body, error.status, error.headers,
                                media_type=PLAIN_JSON if media == EVENT_STREAM else media)
        except ClientDisconnect:
            return Response(status_code=499)

    def authenticated_caller(self, request: Request) -> Caller:
        scheme, _, token = request.headers.get("authorization", "").partition(" ")
        caller = self.authenticate(token.strip()) if scheme.lower() == "bearer" and token.strip() else None
        if caller is None or caller.role == "instance":
            raise HttpError(401, "UNAUTHENTICATED", "Authorization: expected Bearer and a token that is valid here; "
                            "see `ironscale token`", {"WWW-Authenticate": 'Bearer realm="ironscale"'})
        return caller

    async def parameters(self, request: Request) -> tuple[str, dict[str, Any], str | None]:
        """Returns query, variables and operation name, from the body or from the query string. Raises HttpError."""
        if request.method == "GET":
            given: Any = dict(request.query_params)
            for key in ("variables", "extensions"):
                if key in given:
                    given[key] = self.json(given[key], key)
        else:
            kind = request.headers.get("content-type", "").partition(";")[0].strip().lower()
            if kind != "application/json":
                raise HttpError(415, "MEDIA_TYPE", f"Content-Type: expected application/json, got {kind[:80]!r}")
            given = self.json(await self.body(request), "the body")
        if not isinstance(given, dict):
            raise HttpError(400, "BAD_REQUEST", f"expected a JSON object, got {type(given).__name__}")
        query, variables, name = given.get("query"), given.get("variables"), given.get("operationName")
        if not isinstance(query, str) or not query.strip():
            raise HttpError(400, "BAD_REQUEST", "query: expected a GraphQL document, got nothing")
        if variables is not None and not isinstance(variables, dict):
            raise HttpError(400, "BAD_REQUEST", f"variables: expected an object, got {type(variables).__name__}")
        if name is not None and not isinstance(name, str):
            raise HttpError(400, "BAD_REQUEST", f"operationName: expected a text, got {type(name).__name__}")
        return query, variables or {}, name

    @staticmethod
    def json(raw: str | bytes, what: str) -> Any:
        try:
            return json.loads(raw)
        except (ValueError, RecursionError) as error:
            raise HttpError(400, "BAD_REQUEST", f"{what}: expected JSON, got {error}") from error

    @staticmethod
    async def body(request: Request) -> bytes:
        body = b""
        async for piece in request.stream():
            body += piece
            if len(body) > limits.MAX_BODY_BYTES:
                raise HttpError(413, "TOO_LARGE", f"expected a body of {limits.MAX_BODY_BYTES} bytes at most")
        return body

    async def execute_request(self, request: Request, media: str, caller: Caller, query: str, variables: dict[str, Any],
                     name: str | None) -> Response:
        try:
            document = parse(query, max_tokens=limits.MAX_TOKENS)
        except GraphQLError as error:
            return self.request_error_response(media, [error])
        except RecursionError:
            return self.request_error_response(media, [GraphQLError("expected a document that nests less")])
        errors = self.check(document, variables)
        if errors:
            return self.request_error_response(media, errors)
        operation = get_operation_ast(document, name)
        if operation is None:
            text = f"expected an operation {name!r} in the document" if name else "expected an operationName"
            return self.request_error_response(media, [GraphQLError(text)])
        if request.method == "GET" and operation.operation is OperationType.MUTATION:
            raise HttpError(405, "METHOD", "expected POST for a mutation, got GET", {"Allow": "POST"})
        if operation.operation is OperationType.SUBSCRIPTION:
            if media != EVENT_STREAM:
                raise HttpError(406, "NOT_ACCEPTABLE",
                                f"Accept: expected {EVENT_STREAM} for a subscription, got {media}")
            return await self.stream(document, operation, variables, caller)
        result = execute(self.schema, document, context_value=self.context(caller), variable_values=variables,
                         operation_name=name)
        done: Any = await result if isinstance(result, Awaitable) else result
        return self.result(media, done)

    def check(self, document: DocumentNode, variables: dict[str, Any]) -> list[GraphQLError]:
        """Checks the limits before it validates: the time to validate overlapping fields grows with the square of the
        size of a document."""
        try:
            limits.cost(document, variables)
        except limits.LimitExceeded as error:
            return [GraphQLError(str(error), extensions={"code": "TOO_COMPLEX"})]
        except RecursionError:
            return [GraphQLError("expected fragments that don't contain themselves")]
        return validate(self.schema, document, self.rules, max_errors=MAX_ERRORS)

    def request_error_response(self, media: str, errors: list[GraphQLError]) -> Response:
        """The response to a request that was not executed, without data. Legacy clients get status 200 with it."""
        body = {"errors": [format_error(error, self.log) for error in errors]}
        if media == EVENT_STREAM:
            return JSONResponse(body, 400)
        return JSONResponse(body, 400 if media == GRAPHQL_RESPONSE_JSON else 200, media_type=media)

    def result(self, media: str, done: ExecutionResult) -> Response:
        body = self.payload(done)
        if media == EVENT_STREAM:
            return StreamingResponse(self.single_result_events(body), media_type=EVENT_STREAM)
        status = 200
        if media == GRAPHQL_RESPONSE_JSON and done.data is None and done.errors:
            status = 200 if "data" in body else 400
        return JSONResponse(body, status, media_type=media)

    def payload(self, done: ExecutionResult) -> dict[str, Any]:
        body: dict[str, Any] = {}
        if done.errors:
            body["errors"] = [format_error(error, self.log) for error in done.errors]
        # Variables that don't match their types are found before execution; the response then has no data entry.
        if done.data is not None or not done.errors or any(error.path for error in done.errors):
            body["data"] = done.data
        return body

    async def single_result_events(self, body: dict[str, Any]) -> AsyncIterator[bytes]:
        yield self.event("next", body)
        yield self.event("complete", None)

    @staticmethod
    def event(kind: str, body: dict[str, Any] | None) -> bytes:
        data = json.dumps(body, separators=(",", ":")) if body is not None else ""
        return f"event: {kind}\ndata: {data}\n\n".encode()

    async def stream(self, document: DocumentNode, operation: OperationDefinitionNode, variables: dict[str, Any],
                     caller: Caller) -> Response:
        name = operation.name.value if operation.name else None
        source = subscribe(self.schema, document, context_value=self.context(caller), variable_values=variables,
                           operation_name=name)
        found: Any = await source if isinstance(source, Awaitable) else source
        if isinstance(found, ExecutionResult):
            return self.request_error_response(EVENT_STREAM, list(found.errors or []))
        return StreamingResponse(self.events(found, caller), media_type=EVENT_STREAM,
                                 headers={"Cache-Control": "no-store", "X-Accel-Buffering": "no"})

    async def events(self, results: Any, caller: Caller) -> AsyncIterator[bytes]:
        """Sends results as they are produced. The next result is requested only after the last one was sent, so a slow
        reader exerts backpressure."""
        pending: asyncio.Future[Any] | None = None
        ending = asyncio.ensure_future(self.shutting_down.wait())
        try:
            yield b": open\n\n"
            while True:
                pending = pending or asyncio.ensure_future(anext(results))
                await asyncio.wait({pending, ending}, timeout=PING_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED)
                if ending.done():
                    yield self.event("complete", None)
                    return
                if not pending.done():
                    yield b": ping\n\n"
                    continue
                taken, pending = pending, None
                try:
                    yield self.event("next", self.payload(taken.result()))
                except StopAsyncIteration:
                    yield self.event("complete", None)
                    return
                except GraphQLError as error:
                    yield self.event("next", {"errors": [format_error(error, self.log)]})
                    yield self.event("complete", None)
                    return
        finally:
            ending.cancel()
            if pending is not None:
                pending.cancel()
                await asyncio.gather(pending, return_exceptions=True)
            await results.aclose()
