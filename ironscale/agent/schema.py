"""The resolvers of the GraphQL schema, a thin layer over the engine."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import math
import time
from bisect import bisect_right
from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from importlib import resources
from typing import Any

from graphql import GraphQLError, GraphQLSchema, OperationType, build_schema, value_from_ast_untyped

from ironscale.agent import tokens as secrets_
from ironscale.agent.config_diff import difference
from ironscale.agent.engine import Engine
from ironscale.agent.fleet import state_of
from ironscale.agent.limits import MAX_PAGE
from ironscale.agent.model import ON_FAILURE, OPEN_PHASES, Kind, Operation, Policy, State, Target
from ironscale.agent.refusal import Refusal
from ironscale.agent.selectors import SelectorError, compile_selector
from ironscale.agent.store import Event, Published, Records, StoreError, TokenRow
from ironscale.agent.terms import clock_ms
from ironscale.control.messages import Report
from ironscale.disruption.model import MAX_PRIORITY, Halt, Permit, Phase
from ironscale.versions.model import MAX_SCOPE_NAME_CHARS, Labels, Scope, ScopeError, parse_scope
from ironscale.versions.publishing import Draft

MAX_TEXT_LENGTH = 200
MAX_VERSIONS_PAGE = 100  # per page, as each has an overlay of up to 24 KB
MAX_GRAPHQL_INT = 2**31 - 1  # the largest value of GraphQL's Int
MIN_UPDATE_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class Caller:
    """The authenticated caller: the name and role of the token."""

    name: str
    role: str


@dataclass(frozen=True, slots=True)
class Context:
    caller: Caller
    engine: Engine
    started_ms: int
    version: str
    reload_tokens: Callable[[], Any]
    tokens_changed: Callable[[], None]  # called when a change of tokens with an unknown outcome proves committed


def sdl() -> str:
    return resources.files("ironscale.agent").joinpath("schema.graphql").read_text(encoding="utf-8")


def graphql_error(code: str, text: str, **details: Any) -> GraphQLError:
    return GraphQLError(text, extensions={"code": code, **details})


def require_role(info: Any, role: str) -> Context:
    context: Context = info.context
    if not secrets_.has_role(context.caller.role, role):
        raise graphql_error("FORBIDDEN", f"expected a token of role {role}, got {context.caller.role}")
    leader = context.engine.leader
    if leader is not None and info.operation.operation is OperationType.MUTATION:
        where = f"the agent at {leader.api} does" if leader.api else "at present none is known to"
        raise graphql_error("NOT_LEADING", f"this agent does not lead; {where}", leader=leader.api)
    return context


def iso_time(ms: int) -> str | None:
    return datetime.fromtimestamp(ms / 1000, UTC).isoformat(timespec="milliseconds") if ms else None


def graphql_enum_name(value: str) -> str:
    return value.upper().replace(" ", "_")


def encode_cursor(value: object) -> str:
    return base64.urlsafe_b64encode(str(value).encode()).decode()


def decode_cursor(text: str | None) -> str:
    if not text:
        return ""
    try:
        return base64.b64decode(text.encode("ascii"), altchars=b"-_", validate=True).decode()
    except ValueError:
        raise graphql_error("BAD_INPUT", f"after: expected a cursor from an earlier page, got {text!r:.60}") from None


def decode_cursor_number(text: str | None) -> int:
    value = decode_cursor(text)
    if value and not (value.isascii() and value.isdecimal() and len(value) < 18):
        raise graphql_error("BAD_INPUT", f"after: expected a cursor from an earlier page, got {text!r:.60}")
    return int(value or 0)


def page_size(first: int) -> int:
    if not 0 <= first <= MAX_PAGE:
        raise graphql_error("BAD_INPUT", f"first: expected 0 to {MAX_PAGE}, got {first}")
    return first


def connection(nodes: Sequence[Any], cursors: Sequence[str], more: bool, total: int | None = None) -> dict[str, Any]:
    edges = [{"cursor": c, "node": node} for c, node in zip(cursors, nodes, strict=True)]
    found = {"edges": edges,
             "pageInfo": {"hasNextPage": more, "endCursor": cursors[-1] if cursors else None}}
    return found if total is None else {**found, "totalCount": total}


# Conversion to the objects of the schema


def report_object(report: Report) -> dict[str, Any]:
    return {
        "ready": report.ready, "draining": report.draining, "open": report.open,
        "connections": report.connections, "upstreams": report.upstreams,
        "upstreamsReady": report.upstreams_ready, "upstreamsResting": report.upstreams_resting,
        "upstreamsCold": report.upstreams_cold,
        "classes": [{"name": c.name, "served": c.served, "refused": c.refused, "failed": c.failed}
                    for c in report.classes],
        "refusals": [{"name": name, "count": count} for name, count in sorted(report.refusals.items())],
        "cpuSeconds": report.cpu_s, "controlCpuSeconds": report.control_cpu_s, "memoryKb": report.memory_kb,
        "descriptors": report.descriptors,
    }


def instance_object(engine: Engine, name: str) -> dict[str, Any]:
    member, seen = engine.fleet.members[name], engine.fleet.observe(name)
    assert seen is not None
    row = member.row

    async def inspect(info: Any, timeoutMs: int) -> dict[str, Any]:  # noqa: N803 (the schema's name)
        if not 1 <= timeoutMs <= 60_000:
            raise graphql_error("BAD_INPUT", f"timeoutMs: expected 1 to 60000, got {timeoutMs}")
        found = await engine.inspect(name, timeoutMs / 1000)
        return {"report": report_object(found.report), "upstreams": found.upstreams}

    return {
        "name": name, "state": graphql_enum_name(state_of(seen)), "zone": row.zone, "version": row.version,
        "listen": row.listen, "pid": row.pid, "boot": row.boot, "startedAt": iso_time(row.started_ms),
        "lastHeard": iso_time(row.heard_ms), "connected": seen.connected, "generation": row.generation,
        "desiredGeneration": row.desired, "ended": row.ended, "supervised": seen.supervised,
        "report": report_object(member.report) if member.report is not None else None, "inspect": inspect,
    }


def target_object(target: Target) -> dict[str, Any]:
    return {"name": target.name, "state": target.state.name, "detail": target.detail,
            "since": iso_time(target.since_ms), "boot": target.boot, "tries": target.tries,
            "fromGeneration": target.from_generation}


def operation_object(engine: Engine, op: Operation, known: list[Target] | None = None) -> dict[str, Any]:
    async def all_targets() -> list[Target]:
        if known is not None:
            return known
        found = await engine.find(op.id)
        assert found is not None
        return found[1]

    async def counts(info: Any) -> list[dict[str, Any]]:
        found = Counter(target.state for target in await all_targets())
        return [{"state": state.name, "count": found[state]} for state in State if found[state]]

    async def targets(info: Any, first: int, after: str | None = None, state: str | None = None) -> dict[str, Any]:
        size, last = page_size(first), decode_cursor(after)
        found = [t for t in await all_targets() if state is None or t.state.name == state]
        rest = [t for t in found if t.name > last] if last else found
        page = rest[:size]
        return connection([target_object(t) for t in page], [encode_cursor(t.name) for t in page], len(rest) > size,
                          len(found))

    live = engine.live_operations.get(op.id)
    p = op.policy
    return {
        "id": op.id, "kind": op.kind.name, "phase": op.phase.name, "open": op.phase in OPEN_PHASES, "actor": op.actor,
        "note": op.note, "stalled": (live.stalled or live.waits_for) if live else "", "generation": op.generation,
        "fence": op.fence, "createdAt": iso_time(op.created_ms), "endedAt": iso_time(op.ended_ms),
        "policy": {"wave": p.wave, "maxUnavailable": p.max_unavailable, "maxFailures": p.max_failures,
                   "onFailure": p.on_failure.upper(), "answerMs": p.answer_ms, "tries": p.tries,
                   "priority": p.priority, "urgent": p.urgent},
        "counts": counts, "targets": targets,
    }


def event_object(event: Event) -> dict[str, Any]:
    return {"id": event.id, "cursor": encode_cursor(event.id), "at": iso_time(event.at_ms), "actor": event.actor,
            "action": event.action, "subject": event.subject, "result": event.result, "detail": event.detail}


def token_object(row: TokenRow) -> dict[str, Any]:
    return {"name": row.name, "role": row.role.upper(), "createdAt": iso_time(row.created_ms),
            "revokedAt": iso_time(row.revoked_ms)}


# Queries


def names_matching(engine: Engine, selector: str) -> list[str]:
    holds = compile_selector(selector)
    return [name for name in engine.fleet.names() if not selector or holds(engine.fleet.selector_values(name))]


async def q_me(root: Any, info: Any) -> dict[str, Any]:
    caller = require_role(info, "read").caller
    return {"name": caller.name, "role": caller.role.upper()}


async def q_fleet(root: Any, info: Any) -> dict[str, Any]:
    context = require_role(info, "read")
    engine = context.engine
    generation = await engine.store.read(lambda records: records.current_generation())
    states: Counter[str] = Counter()
    behind = 0
    for name, member in engine.fleet.members.items():
        seen = engine.fleet.observe(name)
        assert seen is not None
        states[state_of(seen)] += 1
        behind += member.row.generation != member.row.desired
    return {
        "generation": generation, "instances": len(engine.fleet.members), "ready": states["ready"],
        "draining": states["draining"] + states["drained"], "silent": states["silent"], "gone": states["gone"],
        "behind": behind, "openOperations": len(engine.live_operations), "version": context.version,
        "startedAt": iso_time(context.started_ms), "registrations": engine.fleet.registrations,
        "heartbeats": engine.fleet.heartbeats, "halt": halt_object(engine.permits.halt),
        "leads": engine.leads(), "term": engine.store.term.epoch if engine.leader is None else engine.leader.epoch,
        "leader": engine.leader.api if engine.leader is not None else "",
        "ageMs": 0 if engine.leader is None else clock_ms() - engine.record_read_ms,
    }


def instances_page(engine: Engine, selector: str, first: int, after: str | None) -> dict[str, Any]:
    """Searches from the cursor on until the page is full, so the cost is that of the instances on the page and of those
    skipped. All matching instances are counted only if the query asks for the total."""
    size, last, holds = page_size(first), decode_cursor(after), compile_selector(selector)
    names, page = engine.fleet.names(), []
    for place in range(bisect_right(names, last) if last else 0, len(names)):
        if not selector or holds(engine.fleet.selector_values(names[place])):
            page.append(names[place])
            if len(page) > size:
                break
    found = connection([instance_object(engine, name) for name in page[:size]],
                       [encode_cursor(name) for name in page[:size]], len(page) > size)
    return {**found, "totalCount": lambda info: len(names_matching(engine, selector))}


async def q_instances(root: Any, info: Any, selector: str, first: int, after: str | None = None) -> dict[str, Any]:
    return instances_page(require_role(info, "read").engine, selector, first, after)


async def q_instance(root: Any, info: Any, name: str) -> dict[str, Any] | None:
    engine = require_role(info, "read").engine
    return instance_object(engine, name) if name in engine.fleet.members else None


async def q_operation(root: Any, info: Any, id: int) -> dict[str, Any] | None:
    engine = require_role(info, "read").engine
    found = await engine.find(id)
    return operation_object(engine, *found) if found is not None else None


async def q_operations(root: Any, info: Any, first: int, openOnly: bool,  # noqa: N803
                       after: str | None = None) -> dict[str, Any]:
    engine, size = require_role(info, "read").engine, page_size(first)
    before = decode_cursor_number(after) or 2**62
    ops = await engine.store.read(lambda records: records.operations(before, size + 1, openOnly))
    ops = [engine.live_operations[op.id].op if op.id in engine.live_operations else op for op in ops]
    page = ops[:size]
    return connection([operation_object(engine, op) for op in page], [encode_cursor(op.id) for op in page],
                      len(ops) > size)


async def q_configuration(root: Any, info: Any, generation: int) -> dict[str, Any] | None:
    engine = require_role(info, "read").engine
    found = await engine.store.read(lambda records: records.configuration(generation))
    if found is None:
        return None
    return {"generation": found.generation, "overlay": found.overlay, "actor": found.actor,
            "at": iso_time(found.at_ms), "operation": found.operation}


async def q_plan(root: Any, info: Any, overlay: Any, selector: str) -> dict[str, Any]:
    engine = require_role(info, "read").engine
    overlay = overlay_object(overlay)
    names = names_matching(engine, selector)
    current = await engine.store.read(lambda records: records.configuration(records.current_generation()))
    engine.check_size(overlay)
    return {"generation": current.generation if current else 0, "matched": len(names), "sample": names[:10],
            "difference": difference(current.overlay if current else {}, overlay)}


async def q_events(root: Any, info: Any, first: int, after: str | None = None) -> dict[str, Any]:
    engine, size = require_role(info, "read").engine, page_size(first)
    found = await engine.events(decode_cursor_number(after), size + 1)
    page = found[:size]
    return connection([event_object(e) for e in page], [encode_cursor(e.id) for e in page], len(found) > size)


async def q_tokens(root: Any, info: Any) -> list[dict[str, Any]]:
    engine = require_role(info, "admin").engine
    return [token_object(row) for row in await engine.store.read(lambda records: records.tokens())]


def halt_object(halt: Halt | None) -> dict[str, Any] | None:
    return None if halt is None else {"actor": halt.actor, "reason": halt.reason, "at": iso_time(halt.at_ms),
                                      "liftedAt": iso_time(halt.lifted_ms), "liftedBy": halt.lifted_by}


def permit_object(engine: Engine, permit: Permit) -> dict[str, Any]:
    ledger = engine.permits.ledger
    waits = ""
    if permit.phase is Phase.WAITING:
        waits = ledger.waiting_reason(permit, clock_ms())
    elif permit.phase is Phase.RETURNED:
        waits = ", ".join(f"{key} {ledger.observations[key].reason or 'has still to be asked'}" for key in permit.units
                          if key in ledger.observations)
    return {"id": permit.id, "key": permit.key, "holder": permit.holder, "units": permit.units,
            "reason": permit.reason, "priority": permit.priority, "phase": permit.phase.name, "note": permit.note,
            "createdAt": iso_time(permit.created_ms), "leaseMs": permit.lease_ms, "waitsFor": waits}


async def q_budgets(root: Any, info: Any) -> list[dict[str, Any]]:
    ledger = require_role(info, "read").engine.permits.ledger
    found = []
    for cell in ledger.all_cells():
        number, weight = cell.max_units(), cell.budget.capacity
        found.append({
            "name": cell.budget.name, "part": cell.value, "of": str(cell.budget.of), "units": len(cell.units),
            "most": -1.0 if number == math.inf else number, "mostCapacity": -1.0 if weight is None else weight,
            "out": round(cell.out, 6), "capacityOut": round(cell.weight_out / cell.weight, 6) if cell.weight else 0.0,
            "text": ledger.explain(cell) if cell.units else "matches nothing"})
    return found


async def q_permits(root: Any, info: Any, all: bool) -> list[dict[str, Any]]:
    engine = require_role(info, "read").engine
    ended = await engine.store.read(lambda records: records.permits()) if all else []
    known = engine.permits.ledger.permits
    found = {p.id: p for p in ended} | known
    return [permit_object(engine, found[ident]) for ident in sorted(found)]


async def q_permit(root: Any, info: Any, id: int) -> dict[str, Any]:
    engine = require_role(info, "read").engine
    return permit_object(engine, await engine.permits.find(id))


def version_object(published: Published) -> dict[str, Any]:
    entry = published.entry
    return {"number": entry.version, "scope": str(entry.scope), "overlay": entry.overlay, "base": entry.base,
            "restores": entry.restores, "actor": entry.actor, "at": iso_time(entry.at_ms), "note": published.note,
            "inForce": published.in_force}


def scope_from_input(text: str) -> Scope:
    try:
        return parse_scope(text)
    except ScopeError as problem:
        raise graphql_error("BAD_INPUT", str(problem)) from problem


async def q_versions(root: Any, info: Any, scope: str, first: int, after: str | None = None) -> dict[str, Any]:
    engine, before = require_role(info, "read").engine, decode_cursor_number(after) or 2**62
    if not 0 <= first <= MAX_VERSIONS_PAGE:
        raise graphql_error("BAD_INPUT", f"first: expected 0 to {MAX_VERSIONS_PAGE}, got {first}")
    wanted = scope_from_input(scope) if scope else None
    found = await engine.store.read(lambda records: records.versions(before, first + 1, wanted))
    page = found[:first]
    return connection([version_object(p) for p in page], [encode_cursor(p.entry.version) for p in page],
                      len(found) > first)


async def q_version(root: Any, info: Any, number: int) -> dict[str, Any] | None:
    engine = require_role(info, "read").engine
    found = await engine.store.read(lambda records: records.version(number))
    return version_object(found) if found is not None else None


async def q_configuration_of(root: Any, info: Any, instance: str, service: str, zone: str, region: str
                             ) -> dict[str, Any]:
    engine = require_role(info, "read").engine
    for name, value in (("instance", instance), ("service", service), ("zone", zone), ("region", region)):
        if len(value) > MAX_SCOPE_NAME_CHARS or not value.isprintable():
            raise graphql_error(
                "BAD_INPUT", f"{name}: expected a name of {MAX_SCOPE_NAME_CHARS} characters at most, got {value!r:.60}"
            )
    found = await engine.publisher.compose(Labels(instance, service, zone, region))
    return {"position": found.position, "overlay": found.overlay, "digest": found.digest,
            "layers": [version_object(layer) for layer in found.layers]}


async def q_served(root: Any, info: Any) -> dict[str, Any]:
    engine = require_role(info, "read").engine
    served = engine.publisher.served
    position: int | None = None
    with contextlib.suppress(StoreError):  # callers may ask just because the store is unreachable
        position = await engine.store.read(lambda records: records.version_position())
    return {"position": position, "agents": [{
        "agent": one.agent, "known": one.known, "heardMs": min(one.heard_ms, MAX_GRAPHQL_INT),
        "position": one.summary.position, "ageMs": min(one.age_ms, MAX_GRAPHQL_INT), "instances": one.summary.followers,
        "positions": [{"position": at, "instances": count} for at, count in one.summary.counts],
        "differing": [{"name": d.name, "running": d.running, "status": d.status, "detail": d.detail}
                      for d in one.summary.differing],
        "more": one.summary.more} for one in (served.summary() if served is not None else ())]}


# Mutations


def overlay_object(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise graphql_error("BAD_INPUT", f"overlay: expected an object, got {value!r:.60}")
    return value


def read_policy(given: dict[str, Any] | None) -> Policy:
    given = given or {}
    policy = Policy(given.get("wave", 0), given.get("maxUnavailable", 0), given.get("maxFailures", 0),
                    given.get("onFailure", "STOP").lower(), given.get("answerMs", 10_000),
                    priority=given.get("priority", 0), canary=given.get("canary", 0), gate=given.get("gate", False),
                    soak_ms=given.get("soakMs", 0), soak_most_ms=given.get("soakMostMs", 60_000),
                    margin=given.get("margin", 0.02), unsure=given.get("unsure", "HALT").lower())
    for name, value, least, most in (
        ("wave", policy.wave, 0, 1_000_000), ("maxUnavailable", policy.max_unavailable, 0, 1_000_000),
        ("maxFailures", policy.max_failures, 0, 1_000_000), ("answerMs", policy.answer_ms, 100, 3_600_000),
        ("priority", policy.priority, 0, MAX_PRIORITY), ("canary", policy.canary, 0, 1_000_000),
        ("soakMs", policy.soak_ms, 0, 3_600_000), ("soakMostMs", policy.soak_most_ms, policy.soak_ms, 86_400_000),
        ("margin", policy.margin, 0.0, 1.0),
    ):
        if value is None or not least <= value <= most:
            raise graphql_error("BAD_INPUT", f"policy.{name}: expected {least} to {most}, got {value}")
    assert policy.on_failure in ON_FAILURE
    return policy


def idempotency_key(given: dict[str, Any]) -> str:
    key: str = given.get("idempotencyKey") or ""
    if len(key) > MAX_TEXT_LENGTH:
        raise graphql_error("BAD_INPUT",
                            f"idempotencyKey: expected {MAX_TEXT_LENGTH} characters at most, got {len(key)}")
    return key


async def begin_operation(info: Any, kind: Kind, given: dict[str, Any], **more: Any) -> dict[str, Any]:
    context = require_role(info, "operate")
    engine, key = context.engine, idempotency_key(given)
    names = names_matching(engine, given.get("selector") or "")
    op, _ = await engine.begin(context.caller.name, kind, names, read_policy(given.get("policy")), key=key,
                               supersede=bool(given.get("supersede")), **more)
    return operation_object(engine, op)


def operation_resolver(kind: Kind) -> Callable[..., Any]:
    async def resolve(root: Any, info: Any, input: dict[str, Any]) -> dict[str, Any]:
        if not input["selector"].strip():
            raise graphql_error("BAD_INPUT", "selector: expected which instances are meant, got nothing; "
                                     "`name=*` is all of them")
        return await begin_operation(info, kind, input)

    return resolve


async def m_apply(root: Any, info: Any, input: dict[str, Any]) -> dict[str, Any]:
    return await begin_operation(info, Kind.RECONFIGURE, input, overlay=overlay_object(input["overlay"]),
                       expect=input["expectGeneration"])


def control_resolver(action: str) -> Callable[..., Any]:
    async def resolve(root: Any, info: Any, operation: int, urgent: bool = False) -> dict[str, Any]:
        context = require_role(info, "operate")
        op = await context.engine.control(context.caller.name, operation, action, urgent)
        return operation_object(context.engine, op)

    return resolve


async def m_take_permit(root: Any, info: Any, input: dict[str, Any]) -> dict[str, Any]:
    context = require_role(info, "operate")
    permits = context.engine.permits
    return permit_object(context.engine, await permits.request(
        context.caller.name, input["key"], input["units"], input["reason"] or "", input["priority"] or 0,
        input["leaseMs"] or 0))


async def m_renew_permit(root: Any, info: Any, id: int) -> dict[str, Any]:
    context = require_role(info, "operate")
    return permit_object(context.engine, await context.engine.permits.renew(context.caller.name, id))


async def m_give_back_permit(root: Any, info: Any, id: int, force: bool) -> dict[str, Any]:
    context = require_role(info, "operate")
    return permit_object(context.engine, await context.engine.permits.give_back(context.caller.name, id, force))


async def m_halt(root: Any, info: Any, reason: str) -> dict[str, Any] | None:
    context = require_role(info, "operate")
    if not reason.isprintable() or len(reason) > MAX_TEXT_LENGTH:
        raise graphql_error("BAD_INPUT",
                            f"reason: expected a line of {MAX_TEXT_LENGTH} characters at most, got {reason!r:.60}")
    return halt_object(await context.engine.permits.set_halt(context.caller.name, reason))


async def m_lift_halt(root: Any, info: Any) -> dict[str, Any] | None:
    context = require_role(info, "operate")
    return halt_object(await context.engine.permits.lift_halt(context.caller.name))


async def m_publish(root: Any, info: Any, input: dict[str, Any]) -> dict[str, Any]:
    context = require_role(info, "operate")
    if "overlay" not in input:
        raise graphql_error("BAD_INPUT",
                            "overlay: expected an object, or null to take away what the scope has, got nothing")
    overlay = input["overlay"]
    draft = Draft(scope_from_input(input["scope"]), None if overlay is None else overlay_object(overlay), input["base"],
                  input.get("note") or "")
    return version_object((await context.engine.publisher.publish(
        context.caller.name, draft, idempotency_key(input)))[0])


async def m_restore_version(root: Any, info: Any, input: dict[str, Any]) -> dict[str, Any]:
    context = require_role(info, "operate")
    return version_object((await context.engine.publisher.restore(
        context.caller.name, input["version"], input["base"], idempotency_key(input), input.get("note") or ""))[0])


async def m_forget(root: Any, info: Any, name: str, ended: bool) -> bool:
    context = require_role(info, "operate")
    await context.engine.forget(context.caller.name, name, ended)
    return True


async def m_create_token(root: Any, info: Any, name: str, role: str) -> dict[str, Any]:
    context = require_role(info, "admin")
    if not 0 < len(name) <= 64 or not name.isprintable():
        raise graphql_error("BAD_INPUT", f"name: expected 1 to 64 printable characters, got {name!r:.80}")
    secret, now_ms = secrets_.new_token(), context.engine.now_ms()
    row = TokenRow(name, role.lower(), secrets_.digest(secret), now_ms)

    def work(records: Records) -> None:
        if any(known.name == name for known in records.tokens()):
            raise graphql_error("CONFLICT", f"there is a token {name!r} already; names are not used twice")
        records.put_token(row)
        records.audit(now_ms, context.caller.name, "create token", name, row.role)

    await context.engine.store.write(work, lambda done: context.tokens_changed())
    await context.reload_tokens()
    return {"token": token_object(row), "secret": secret}


async def m_revoke_token(root: Any, info: Any, name: str) -> dict[str, Any]:
    context = require_role(info, "admin")
    now_ms = context.engine.now_ms()

    def work(records: Records) -> TokenRow:
        rows = records.tokens()
        found = next((row for row in rows if row.name == name), None)
        if found is None:
            raise graphql_error("NOT_FOUND", f"there is no token {name!r}")
        if found.revoked_ms:
            return found
        admins = [row for row in rows if row.role == "admin" and not row.revoked_ms]
        if admins == [found]:
            raise graphql_error("CONFLICT", f"{name!r} is the last token of role admin; create another first")
        new = TokenRow(found.name, found.role, found.digest, found.created_ms, now_ms)
        records.put_token(new)
        records.audit(now_ms, context.caller.name, "revoke token", name, found.role)
        return new

    row = await context.engine.store.write(work, lambda done: context.tokens_changed())
    await context.reload_tokens()
    return token_object(row)


# Subscriptions


async def change_notifications(engine: Engine) -> AsyncIterator[None]:
    """Yields at once, and then whenever something has changed, at most once per interval: thousands of instances can
    change at the same time."""
    watcher = asyncio.Event()
    engine.watchers.add(watcher)
    try:
        while True:
            watcher.clear()
            yield None
            start_s = time.monotonic()
            await watcher.wait()
            await asyncio.sleep(max(0.0, MIN_UPDATE_INTERVAL_S - (time.monotonic() - start_s)))
    finally:
        engine.watchers.discard(watcher)


async def s_operation(root: Any, info: Any, id: int) -> AsyncIterator[dict[str, Any]]:
    engine = require_role(info, "read").engine
    before: tuple[Any, ...] | None = None
    async for _ in change_notifications(engine):
        found = await engine.find(id)
        if found is None:
            raise graphql_error("NOT_FOUND", f"there is no operation {id}; see `ironscale ops`")
        stalled = engine.live_operations[id].stalled if id in engine.live_operations else ""
        if (*found, stalled) != before:
            before = (*found, stalled)
            yield {"operation": operation_object(engine, *found)}
        if found[0].phase not in OPEN_PHASES:
            return


async def s_instances(root: Any, info: Any, selector: str, first: int,
                      after: str | None = None) -> AsyncIterator[dict[str, Any]]:
    engine = require_role(info, "read").engine
    async for _ in change_notifications(engine):
        yield {"instances": instances_page(engine, selector, first, after)}


async def s_events(root: Any, info: Any, after: str | None = None) -> AsyncIterator[dict[str, Any]]:
    engine = require_role(info, "read").engine
    last = decode_cursor_number(after)
    if not after:
        last = await engine.store.read(lambda records: records.last_event())
    async for _ in change_notifications(engine):
        while found := await engine.events(last, 200):
            for event in found:
                last = event.id
                yield {"events": event_object(event)}


RESOLVERS: dict[str, dict[str, Callable[..., Any]]] = {
    "Query": {
        "me": q_me, "fleet": q_fleet, "instances": q_instances, "instance": q_instance,
        "operation": q_operation, "operations": q_operations, "configuration": q_configuration,
        "plan": q_plan, "events": q_events, "tokens": q_tokens,
        "budgets": q_budgets, "permits": q_permits, "permit": q_permit,
        "versions": q_versions, "version": q_version, "configurationOf": q_configuration_of, "served": q_served,
    },
    "Mutation": {
        "drain": operation_resolver(Kind.DRAIN), "undrain": operation_resolver(Kind.UNDRAIN),
        "stop": operation_resolver(Kind.STOP),
        "restart": operation_resolver(Kind.RESTART), "apply": m_apply, "pause": control_resolver("pause"),
        "resume": control_resolver("resume"), "abort": control_resolver("abort"),
        "rollBack": control_resolver("rollback"),
        "takePermit": m_take_permit, "renewPermit": m_renew_permit, "giveBackPermit": m_give_back_permit,
        "halt": m_halt, "liftHalt": m_lift_halt, "forget": m_forget,
        "publish": m_publish, "restoreVersion": m_restore_version,
        "createToken": m_create_token, "revokeToken": m_revoke_token,
    },
}
SUBSCRIPTIONS: dict[str, Callable[..., Any]] = {
    "operation": s_operation, "instances": s_instances, "events": s_events}


def with_error_codes(resolve: Callable[..., Any]) -> Callable[..., Any]:
    """Converts a Refusal or SelectorError of a resolver to a GraphQL error with its code. Other exceptions pass."""
    async def resolved(root: Any, info: Any, **arguments: Any) -> Any:
        try:
            return await resolve(root, info, **arguments)
        except Refusal as refusal:
            raise graphql_error(refusal.code, str(refusal), **refusal.details) from refusal
        except SelectorError as problem:
            raise graphql_error("BAD_INPUT", str(problem)) from problem

    return resolved


def stream_with_error_codes(subscribe: Callable[..., Any]) -> Callable[..., Any]:
    async def subscribed(root: Any, info: Any, **arguments: Any) -> AsyncIterator[Any]:
        try:
            async for value in subscribe(root, info, **arguments):
                yield value
        except SelectorError as problem:
            raise graphql_error("BAD_INPUT", str(problem)) from problem

    return subscribed


def make_schema() -> GraphQLSchema:
    schema = build_schema(sdl())
    types: Any = schema.type_map
    for kind, fields in RESOLVERS.items():
        for name, resolve in fields.items():
            types[kind].fields[name].resolve = with_error_codes(resolve)
    for name, subscribe in SUBSCRIPTIONS.items():
        types["Subscription"].fields[name].subscribe = stream_with_error_codes(subscribe)
    for name, asks in (("inspect", types["Instance"]), ("counts", types["Operation"]),
                       ("targets", types["Operation"])):
        asks.fields[name].resolve = with_error_codes(object_method_resolver(name))
    types["JSON"].parse_literal = lambda node, variables=None: value_from_ast_untyped(node, variables)
    return schema


def object_method_resolver(name: str) -> Callable[..., Any]:
    async def resolve(root: Any, info: Any, **arguments: Any) -> Any:
        return await root[name](info, **arguments)

    return resolve

