"""Pure parts of a store of record: error classification, write attempts, choice of a store, the history check."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ironscale.record import history_check, model, routes
from ironscale.record.errors import TransactionStep, postgres_cause, postgres_outcome, sqlite_cause, sqlite_outcome
from ironscale.record.model import Cause, Row, StoreFailure, Verdict, WriteOutcome, WriteResult
from ironscale.record.write_attempt import Attempt, AttemptOutcome, Done, QueryOutcome, Write
from tests.record.samples import another_attempt, entry

NEVER, UNKNOWN = WriteOutcome.NEVER_RAN, WriteOutcome.UNKNOWN


@pytest.mark.parametrize(("step", "code", "severity", "expected"), [
    (TransactionStep.CONNECT, "", "", NEVER), (TransactionStep.WORK, "", "", NEVER),
    (TransactionStep.WORK, "57P01", "FATAL", NEVER),
    (TransactionStep.WORK, "XX000", "ERROR", NEVER),
    (TransactionStep.COMMIT, "", "", UNKNOWN),  # the connection was lost
    (TransactionStep.COMMIT, "57P01", "FATAL", UNKNOWN),  # terminated while waiting for a standby: committed locally
    (TransactionStep.COMMIT, "XX000", "PANIC", UNKNOWN), (TransactionStep.COMMIT, "40003", "ERROR", UNKNOWN),
    (TransactionStep.COMMIT, "08007", "ERROR", UNKNOWN), (TransactionStep.COMMIT, "57014", "ERROR", UNKNOWN),
    (TransactionStep.COMMIT, "58030", "ERROR", UNKNOWN), (TransactionStep.COMMIT, "ZZ999", "ERROR", UNKNOWN),
    (TransactionStep.COMMIT, "40001", "ERROR", NEVER), (TransactionStep.COMMIT, "23505", "ERROR", NEVER),
    (TransactionStep.COMMIT, "25P02", "ERROR", NEVER), (TransactionStep.COMMIT, "40001", "FATAL", UNKNOWN),
])
def test_sqlstate_to_write_outcome(step: TransactionStep, code: str, severity: str, expected: WriteOutcome) -> None:
    assert postgres_outcome(step, code, severity) is expected


@pytest.mark.parametrize(("step", "code", "expected"), [
    (TransactionStep.CONNECT, "", Cause.UNREACHABLE), (TransactionStep.WORK, "", Cause.BROKEN),
    (TransactionStep.WORK, "25006", Cause.TURNED_AWAY),
    (TransactionStep.CONNECT, "57P03", Cause.TURNED_AWAY), (TransactionStep.CONNECT, "53300", Cause.TURNED_AWAY),
    (TransactionStep.WORK, "40P01", Cause.RETRY), (TransactionStep.COMMIT, "40001", Cause.RETRY),
    (TransactionStep.WORK, "57014", Cause.TIMEOUT),
    (TransactionStep.CONNECT, "28P01", Cause.UNUSABLE),
    (TransactionStep.WORK, "42P01", Cause.UNUSABLE), (TransactionStep.WORK, "XX000", Cause.BROKEN),
])
def test_sqlstate_to_cause(step: TransactionStep, code: str, expected: Cause) -> None:
    assert postgres_cause(step, code) is expected


def test_sqlite_result_codes() -> None:
    assert sqlite_outcome(TransactionStep.WORK, "SQLITE_IOERR") is NEVER
    assert sqlite_outcome(TransactionStep.COMMIT, "SQLITE_BUSY") is NEVER
    for name in ("SQLITE_IOERR", "SQLITE_FULL", "SQLITE_CORRUPT", "SQLITE_NOMEM"):
        assert sqlite_outcome(TransactionStep.COMMIT, name) is UNKNOWN
    assert sqlite_cause("SQLITE_FULL") is Cause.TURNED_AWAY and sqlite_cause("SQLITE_NOTADB") is Cause.UNUSABLE
    assert sqlite_cause("SQLITE_IOERR") is Cause.BROKEN


# Write attempts


def failure(what: WriteOutcome = UNKNOWN) -> StoreFailure:
    return StoreFailure(what, Cause.BROKEN, "it broke\nin two lines", "X")


def test_an_answered_write_is_done() -> None:
    for verdict, outcome in ((Verdict.WRITTEN, AttemptOutcome.RAN), (Verdict.REPEAT, AttemptOutcome.RAN),
                             (Verdict.CONFLICT, AttemptOutcome.CONFLICT),
                             (Verdict.FENCED, AttemptOutcome.NEVER_RAN)):
        plan = Attempt(10.0)
        begun = plan.begin(4.0)
        assert isinstance(begun, Write) and begun.until == pytest.approx(9.5)  # time is reserved for a query
        assert isinstance(plan.write_answered(WriteResult(verdict, b"a")), Done)
        assert plan.outcome is outcome and plan.answer == (b"a" if outcome is AttemptOutcome.RAN else b"")


def test_a_write_that_never_ran_is_reported_without_a_query() -> None:
    plan = Attempt(10.0)
    plan.begin(9.7)
    assert isinstance(plan.write_failed(9.8, failure(NEVER)), Done)
    assert plan.outcome is AttemptOutcome.NEVER_RAN and plan.cause is Cause.BROKEN and "\n" not in plan.detail


def test_an_unknown_outcome_is_queried_until_known_even_after_the_deadline() -> None:
    plan = Attempt(10.0)
    plan.begin(9.0)
    step = plan.write_failed(9.5, failure())
    now, waits = 9.5, []
    for _ in range(40):
        assert (
            isinstance(step, QueryOutcome)
            and plan.outcome is AttemptOutcome.OPEN
            and step.at >= now
            and step.until > step.at
        )
        waits.append(step.at - now)
        now = step.until
        step = plan.query_failed(now, failure(NEVER), 1.0)  # a query that never ran says nothing about the attempt
    assert waits[0] == 0.0 and max(waits) == pytest.approx(5.0) and now > 60.0
    assert isinstance(plan.query_answered(b"a"), Done) and plan.outcome is AttemptOutcome.RAN
    other = Attempt(1.0)
    other.write_failed(0.5, failure())
    assert isinstance(other.query_answered(None), Done) and other.outcome is AttemptOutcome.NEVER_RAN


def test_a_query_before_the_deadline_times_out_at_the_deadline() -> None:
    plan = Attempt(10.0)
    step = plan.write_failed(8.0, failure())
    assert isinstance(step, QueryOutcome) and step.until == 10.0
    step = plan.query_failed(9.9, failure(), 0.0)
    assert isinstance(step, QueryOutcome) and 9.9 < step.at < 10.0 and step.until - step.at == pytest.approx(0.25)


# Names


def test_no_two_effects_share_a_slot() -> None:
    slots = [model.slot_of("deduplicated", *names, "r") for names in (
        ("ab", "c", "k"), ("a", "bc", "k"), ("a", "b", "ck"), ("a.1:b", "", "k"), ("a", "", "1:bk"))]
    slots += [model.slot_of("at_most_once", "a", "b", "", "r"), model.slot_of("deduplicated", "", "", "r:r", "")]
    assert len(set(slots)) == len(slots)
    assert model.fingerprint("/a", b"b") != model.fingerprint("/", b"ab")


def test_attempts_sort_by_time_and_differ() -> None:
    names = [model.attempt_name(at, bytes([i] * 10)) for at in (1, 2, 2**47) for i in (0, 255)]
    assert names == sorted(names) and len(set(names)) == 6 and {len(name) for name in names} == {32}


def test_an_added_store_takes_over_only_its_own_share() -> None:
    about = [f"t{i}" for i in range(3_000)]
    before = [routes.choose_store(("a", "b", "c"), name) for name in about]
    after = [routes.choose_store(("a", "b", "c", "d"), name) for name in about]
    moved = [new for old, new in zip(before, after, strict=True) if old != new]
    assert set(moved) == {3} and 0.2 < len(moved) / 3_000 < 0.3
    assert min(before.count(i) for i in range(3)) > 900
    assert routes.routing_key("tenant", "t", "k", "r") == routes.routing_key("tenant", "t", "other", "s")
    assert routes.routing_key("key", "t", "k", "r") == routes.routing_key("key", "t", "k", "s")
    assert routes.routing_key("key", "t", "", "r") != routes.routing_key("key", "t", "", "s")


# The history checker


def row_of(one: model.Entry, at_ms: int = 0, state: str = "written") -> Row:
    return Row(one.attempt, state, one.request, one.kind, one.tenant, one.key, one.effect, one.target, one.body,
               one.fingerprint, one.answer, at_ms, at_ms + one.memory_ms if one.memory_ms else 0, one.slot)


def report_of(one: model.Entry, what: str) -> history_check.ClientReport:
    return history_check.ClientReport(one.request, one.kind, one.tenant, one.key, one.effect, one.fingerprint, what,
                              one.answer if what == history_check.SERVED else b"")


def test_a_consistent_history_has_no_violations() -> None:
    first, mark = entry("a"), entry("b", "deduplicated")
    repeat = replace(another_attempt(mark), request="c")
    fenced = another_attempt(first)
    rows = [row_of(first), row_of(mark), row_of(replace(another_attempt(mark), request="d"), 60_000),
            Row(fenced.attempt, "void", "", "", "", "", "", "", b"", "", b"", 0, 0, None)]
    clients = [
        report_of(first, "served"),
        report_of(mark, "served"),
        replace(report_of(repeat, "served"), answer=mark.answer),
        report_of(entry("e"), "refused"),
        report_of(entry("f"), "failed"),
    ]
    assert history_check.find_violations(clients, rows, {first.attempt: "ran", fenced.attempt: "never ran"}) == []


@pytest.mark.parametrize(("expected", "clients", "rows", "outcomes"), [
    ("written twice", [], [(0, 0), (1, 0)], {}), ("lost", [("served", 0)], [], {}),
    ("refused", [("refused", 0)], [(0, 0)], {}), ("conflict", [("conflict", 0)], [(0, 0)], {}),
    ("outcome", [], [(0, 0)], {0: "never ran"}),
])
def test_each_violated_rule_is_found(expected: str, clients: list[tuple[str, int]], rows: list[tuple[int, int]],
                                       outcomes: dict[int, str]) -> None:
    attempts = [entry("a")]
    attempts.append(another_attempt(attempts[0]))
    (fault,) = history_check.find_violations([report_of(attempts[i], what) for what, i in clients],
                                    [row_of(attempts[i], at) for i, at in rows],
                                    {attempts[i].attempt: what for i, what in outcomes.items()})
    assert fault.startswith(expected)


def test_a_key_written_twice_before_its_expiry_and_a_wrong_answer_are_found() -> None:
    first = entry("a", "deduplicated")
    second = replace(another_attempt(first), request="b")
    assert history_check.find_violations([], [row_of(first, 0), row_of(second, 59_999)])[0].startswith("written twice")
    assert history_check.find_violations([], [row_of(first, 0), row_of(second, 60_000)]) == []
    assert history_check.find_violations([replace(report_of(first, "served"), answer=b"x")], [row_of(first)])[
        0
    ].startswith("answer")
