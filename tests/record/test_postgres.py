"""The store of record in PostgreSQL: the real client library against a stand-in server with injected faults."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from dataclasses import replace

import psycopg
import pytest

from ironscale.record import postgres
from ironscale.record.model import Cause, StoreFailure, Verdict, WriteOutcome
from ironscale.record.postgres import ConnectionOptions, PostgresStore, SettingError, TransactionRun, check_dsn
from ironscale.standins.postgres import Data, Host, SqlError
from tests.record.postgres import StatementFault, StatementGate, dsn, postgres_store, written_requests
from tests.record.samples import another_attempt, entry
from tests.sockets import free_port, run, until

NEVER, UNKNOWN = WriteOutcome.NEVER_RAN, WriteOutcome.UNKNOWN
LONG = 20.0


def deadline_in(seconds: float) -> float:
    return asyncio.get_running_loop().time() + seconds


# The stand-in server with the client library


def test_scram_authentication_and_no_password_in_errors(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.DEBUG)

    async def test() -> None:
        host = await Host(password="s3cret-word").start()
        store = PostgresStore(ConnectionOptions(dsn(host), "s3cret-word"))
        assert (await store.write(entry("a"), deadline_in(LONG))).verdict is Verdict.WRITTEN
        await store.close()
        wrong = PostgresStore(ConnectionOptions(dsn(host), "wr0ng-word"))
        with pytest.raises(StoreFailure, match="password authentication failed") as found:
            await wrong.write(entry("b"), deadline_in(LONG))
        assert (found.value.outcome, found.value.cause, found.value.code) == (NEVER, Cause.UNREACHABLE, "") or (
            found.value.cause is Cause.UNUSABLE)
        assert "wr0ng" not in str(found.value) and "wr0ng" not in repr(found.value)
        await wrong.close()
        await host.stop()
        assert written_requests(host.data) == ["a"]

    run(test)
    assert "s3cret" not in caplog.text and "wr0ng" not in caplog.text


def test_a_password_in_the_connection_string_is_refused_without_being_shown() -> None:
    for text in ("postgresql://app:s3cret@h/db", "host=h password=s3cret", "host=h password='s3cret' bad"):
        with pytest.raises(SettingError) as found:
            check_dsn(text)
        assert "s3cret" not in str(found.value)


def test_the_stand_in_refuses_unknown_statements_and_follows_the_protocol() -> None:
    async def test() -> None:
        async with postgres_store() as (store, (host,)):
            await store.write(entry("a"), deadline_in(LONG))
            connection = await psycopg.AsyncConnection.connect(dsn(host), autocommit=True)
            for sql, code in (("VACUUM", "0A000"), ("SELECT x FROM missing", "42P01"), ("SELEC", "0A000"),
                              ("BEGIN ISOLATION LEVEL SERIALIZABLE", "0A000"), ("SHOW shared_buffers", "42704")):
                with pytest.raises(psycopg.Error) as found:
                    await connection.execute(sql)
                assert found.value.sqlstate == code, sql
            cursor = await connection.execute("SELECT request, body, at_ms, slot FROM records WHERE request = %s",
                                              ("a",))
            (request, body, at_ms, slot), = await cursor.fetchall()
            assert (request, body, slot) == ("a", b"work", "r:a") and abs(at_ms - time.time() * 1000) < 60_000
            binary = await connection.execute("SELECT body, at_ms FROM records WHERE request = %s", ("a",), binary=True)
            assert await binary.fetchall() == [(b"work", at_ms)]
            await connection.execute("BEGIN")
            with pytest.raises(psycopg.Error):
                await connection.execute("SELECT nope FROM records")
            with pytest.raises(psycopg.errors.InFailedSqlTransaction):
                await connection.execute("SELECT request FROM records")
            assert (await connection.execute("COMMIT")).statusmessage == "ROLLBACK"
            for _ in range(8):  # more often than psycopg's threshold for prepared statements
                await connection.execute("SELECT request FROM records WHERE request = %s", ("a",))
            await connection.close()

    run(test)


def test_an_insert_waits_for_an_open_transaction_on_the_same_value_and_a_deadlock_is_found() -> None:
    async def test() -> None:
        async with postgres_store() as (store, (host,)):
            await store.write(entry("first"), deadline_in(LONG))
            one, two = [await psycopg.AsyncConnection.connect(dsn(host), autocommit=True) for _ in range(2)]
            insert = store_sql = postgres.SQL.void
            for connection in (one, two):
                await connection.execute("BEGIN")
            await one.execute(insert, ("x",))
            await two.execute(insert, ("y",))
            waiting = asyncio.create_task(two.execute(store_sql, ("x",)))
            await until(lambda: any(s.waits_for is not None for s in host.sessions.values()))
            with pytest.raises(psycopg.errors.DeadlockDetected):
                await one.execute(insert, ("y",))
            await one.execute("ROLLBACK")
            assert (await (await waiting).fetchall()) == [("x",)]
            await two.execute("COMMIT")
            await one.close()
            await two.close()

    run(test)


# Writes


def test_written_once_repeated_conflicting_and_keyed_as_in_sqlite() -> None:
    async def test() -> None:
        async with postgres_store() as (store, (host,)):
            first = entry("a", body=bytes(range(256)) * 256)
            assert (await store.write(first, deadline_in(LONG))).verdict is Verdict.WRITTEN
            assert (await store.write(another_attempt(first), deadline_in(LONG))).verdict is Verdict.REPEAT
            assert (await store.write(entry("a", body=b"other"), deadline_in(LONG))).verdict is Verdict.CONFLICT
            mark = entry("b", "deduplicated", memory_ms=60_000)
            await store.write(mark, deadline_in(LONG))
            repeat = await store.write(entry("c", "deduplicated"), deadline_in(LONG))
            assert repeat.verdict is Verdict.REPEAT and repeat.answer == mark.answer
            host.data.skew_ms = 60_001  # the key has expired by the store's clock, the only one that counts
            assert (
                await store.write(entry("d", "deduplicated", body=b"new"), deadline_in(LONG))
            ).verdict is Verdict.WRITTEN
            assert await store.ask(mark.attempt, deadline_in(LONG)) == mark.answer
            assert written_requests(host.data) == ["a", "b", "d"]
            assert store.connections.opened == 1

    run(test)


def test_a_key_reused_concurrently_is_not_freed() -> None:
    """After a writer sees that the key has expired and before it frees the slot, another writer frees and reuses it."""
    async def test() -> None:
        async with postgres_store() as (store, (host,)):
            await store.write(entry("first", "deduplicated", memory_ms=1_000), deadline_in(LONG))
            host.data.skew_ms = 1_001
            gate = StatementGate("update")
            host.hook = gate
            slow = asyncio.create_task(store.write(entry("slow", "deduplicated"), deadline_in(LONG)))
            await gate.reached.wait()
            quick = await store.write(entry("quick", "deduplicated", memory_ms=60_000), deadline_in(LONG))
            assert quick.verdict is Verdict.WRITTEN
            gate.go.set()
            found = await slow
            assert found.verdict is Verdict.REPEAT and found.answer == quick.answer
            assert written_requests(host.data) == ["first", "quick"]

    run(test)


def test_two_concurrent_sidecars_write_a_key_once() -> None:
    async def test() -> None:
        async with postgres_store() as (store, (host,)):
            other = PostgresStore(ConnectionOptions(dsn(host)))
            for i in range(40):
                found = await asyncio.gather(*(one.write(entry("", "deduplicated", key=f"k{i}"), deadline_in(LONG))
                                               for one in (store, other)))
                assert sorted(one.verdict.value for one in found) == ["repeat", "written"]
            assert len(written_requests(host.data)) == 40
            await other.close()

    run(test)


@pytest.mark.parametrize("field", ["request", "tenant", "key", "target", "kind", "body"])
def test_no_field_is_taken_for_sql(field: str) -> None:
    text = "'); DROP TABLE records; --\" \\ % %s $1 ; COMMIT"

    async def test() -> None:
        async with postgres_store() as (store, (host,)):
            changes: dict[str, object] = {field: text.encode() if field == "body" else text}
            one = entry(**{"request": "r", "effect": "deduplicated", **changes})  # type: ignore[arg-type]
            assert (await store.write(one, deadline_in(LONG))).verdict is Verdict.WRITTEN
            assert (await store.write(another_attempt(one), deadline_in(LONG))).verdict is Verdict.REPEAT
            (found,), = host.data.all(f"SELECT {field} FROM records WHERE state = 'written'")
            assert found == changes[field]

    run(test)


def test_a_connection_lost_before_commit_never_ran_and_after_it_is_unknown() -> None:
    async def test() -> None:
        async with postgres_store() as (store, (host,)):
            for kind, after, expected in (("begin", False, NEVER), ("insert", False, NEVER), ("insert", True, NEVER),
                                          ("commit", False, UNKNOWN), ("commit", True, UNKNOWN)):
                one = entry(f"{kind} {after}")
                host.hook = StatementFault(kind, after=after)
                with pytest.raises(StoreFailure) as found:
                    await store.write(one, deadline_in(LONG))
                assert (found.value.outcome, found.value.cause) == (expected, Cause.BROKEN), (kind, after)
                host.hook = None
                answer = await store.ask(one.attempt, deadline_in(LONG))
                assert (answer is not None) == ((kind, after) == ("commit", True))
            assert written_requests(host.data) == ["commit True"]

    run(test)


@pytest.mark.parametrize(("kind", "code", "severity", "known", "cause"), [
    ("insert", "40001", "ERROR", NEVER, Cause.RETRY), ("insert", "40P01", "ERROR", NEVER, Cause.RETRY),
    ("commit", "40001", "ERROR", NEVER, Cause.RETRY), ("commit", "57P01", "FATAL", UNKNOWN, Cause.TURNED_AWAY),
    ("insert", "57P01", "FATAL", NEVER, Cause.TURNED_AWAY), ("insert", "53100", "ERROR", NEVER, Cause.TURNED_AWAY),
    ("insert", "42501", "ERROR", NEVER, Cause.UNUSABLE), ("commit", "58030", "ERROR", UNKNOWN, Cause.BROKEN),
])
def test_a_server_error_is_classified_by_its_step(kind: str, code: str, severity: str, known: WriteOutcome,
                                                      cause: Cause) -> None:
    async def test() -> None:
        async with postgres_store() as (store, (host,)):
            await store.write(entry("before"), deadline_in(LONG))
            host.hook = StatementFault(kind, SqlError(code, "by the script", severity))
            with pytest.raises(StoreFailure) as found:
                await store.write(entry("a"), deadline_in(LONG))
            assert (found.value.outcome, found.value.cause, found.value.code) == (known, cause, code)
            # the connection is not reused, and its transaction is not kept
            assert (await store.write(entry("after"), deadline_in(LONG))).verdict is Verdict.WRITTEN
            assert written_requests(host.data) == ["after", "before"]

    run(test)


def test_a_commit_answered_by_rollback_never_ran() -> None:
    async def test() -> None:
        async with postgres_store() as (store, (host,)):
            await store.write(entry("before"), deadline_in(LONG))

            async def work(turn: TransactionRun) -> None:
                await turn.execute(postgres.SQL.void, ("kept",))
                with contextlib.suppress(psycopg.Error):
                    await turn.execute("SELECT nothing_such FROM records")
                await turn.commit()

            with pytest.raises(StoreFailure, match="expected COMMIT, got ROLLBACK") as found:
                await store.run(work, deadline_in(LONG))
            assert found.value.outcome is NEVER
            assert host.data.all("SELECT count(*) FROM records WHERE attempt = 'kept'") == [(0,)]

    run(test)


# Fencing


def test_a_late_commit_loses_against_the_void_marker() -> None:
    """The server holds COMMIT past the client's deadline; the query waits for it and reports its outcome."""
    async def test() -> None:
        async with postgres_store() as (store, (host,)):
            await store.write(entry("before"), deadline_in(LONG))
            late, gate = entry("late"), StatementGate("commit")
            host.hook = gate
            with pytest.raises(StoreFailure) as found:
                await store.write(late, deadline_in(0.2))
            assert (found.value.outcome, found.value.cause) == (UNKNOWN, Cause.TIMEOUT)
            question = asyncio.create_task(store.ask(late.attempt, deadline_in(LONG)))
            await until(lambda: any(s.waits_for is not None for s in host.sessions.values()))
            assert not question.done()
            gate.go.set()  # the COMMIT is executed after all
            assert await question == late.answer
            assert written_requests(host.data) == ["before", "late"]

    run(test)


def test_an_insert_after_the_void_marker_is_fenced() -> None:
    async def test() -> None:
        async with postgres_store() as (store, (host,)):
            await store.write(entry("before"), deadline_in(LONG))
            late, gate = entry("late"), StatementGate("insert")
            host.hook = gate
            writing = asyncio.create_task(store.write(late, deadline_in(LONG)))
            await gate.reached.wait()
            assert await store.ask(late.attempt, deadline_in(LONG)) is None
            gate.go.set()
            assert (await writing).verdict is Verdict.FENCED
            assert written_requests(host.data) == ["before"]

    run(test)


def test_a_query_of_unknown_outcome_can_be_repeated() -> None:
    async def test() -> None:
        async with postgres_store() as (store, (host,)):
            await store.write(entry("before"), deadline_in(LONG))
            lost = entry("lost")
            for after in (False, True):
                host.hook = StatementFault("commit", after=after)
                with pytest.raises(StoreFailure):
                    await store.ask(lost.attempt, deadline_in(LONG))
            host.hook = None
            assert await store.ask(lost.attempt, deadline_in(LONG)) is None
            assert (await store.write(lost, deadline_in(LONG))).verdict is Verdict.FENCED

    run(test)


# Deadlines and cancel requests


def test_a_stalled_statement_is_cancelled_and_its_connection_never_used_again() -> None:
    async def test() -> None:
        async with postgres_store() as (store, (host,)):
            await store.write(entry("before"), deadline_in(LONG))
            holder = await psycopg.AsyncConnection.connect(dsn(host), autocommit=True)
            one = entry("a")
            await holder.execute("BEGIN")
            await holder.execute(postgres.SQL.void, (one.attempt,))
            with pytest.raises(StoreFailure) as found:
                await store.write(one, deadline_in(0.2))
            assert (found.value.outcome, found.value.cause) == (NEVER, Cause.TIMEOUT)
            await until(lambda: not store.tasks)
            assert host.cancels == 1 or found.value.code == "57014"  # or statement_timeout expired first
            await holder.execute("ROLLBACK")
            await holder.close()
            assert (await store.write(entry("after"), deadline_in(LONG))).verdict is Verdict.WRITTEN
            assert written_requests(host.data) == ["after", "before"] and store.connections.opened == 2

    run(test)


def test_a_late_cancel_request_is_not_taken_for_an_outcome() -> None:
    """The cancel request arrives while the server executes the COMMIT."""
    async def test() -> None:
        async with postgres_store() as (store, (host,)):
            await store.write(entry("before"), deadline_in(LONG))
            one, gate = entry("a"), StatementGate("commit")
            host.hook = gate
            with pytest.raises(StoreFailure) as found:
                await store.write(one, deadline_in(0.2))
            assert found.value.outcome is UNKNOWN
            await until(lambda: host.cancels == 1)
            gate.go.set()
            assert await store.ask(one.attempt, deadline_in(LONG)) == one.answer

    run(test)


def test_a_silent_server_delays_nothing_beyond_the_deadline() -> None:
    async def test() -> None:
        async with postgres_store(max_connections=2) as (store, (host,)):
            await store.write(entry("before"), deadline_in(LONG))
            gate = StatementGate("insert", times=100)
            host.hook = gate
            began = time.monotonic()
            found = await asyncio.gather(
                *(store.write(entry(), deadline_in(0.3)) for _ in range(6)), return_exceptions=True
            )
            assert [(type(one), one.outcome) for one in found if isinstance(one, StoreFailure)] == [
                (StoreFailure, NEVER)
            ] * 6
            assert time.monotonic() - began < 10
            host.hook = None
            gate.go.set()
            await until(lambda: not store.tasks)  # no task is left running
            assert len(host.sessions) <= 2
            assert (await store.write(entry("after"), deadline_in(LONG))).verdict is Verdict.WRITTEN

    run(test)


# Failover and unavailable hosts


def test_the_writable_host_is_found_before_and_after_a_failover() -> None:
    async def test() -> None:
        async with postgres_store(2) as (store, (first, second)):
            first.read_only = True
            assert (await store.write(entry("a"), deadline_in(LONG))).verdict is Verdict.WRITTEN
            assert second.data.commits and not first.sessions
            first.read_only, second.read_only = False, True  # the standby is promoted, this one demoted
            with pytest.raises(StoreFailure) as found:
                await store.write(entry("b"), deadline_in(LONG))
            assert (found.value.outcome, found.value.cause, found.value.code) == (NEVER, Cause.TURNED_AWAY, "25006")
            assert (await store.write(entry("b"), deadline_in(LONG))).verdict is Verdict.WRITTEN
            assert [len(first.sessions), len(second.sessions)] == [1, 0]

    run(test)


def test_an_idle_connection_closed_by_the_server_is_not_used() -> None:
    async def test() -> None:
        async with postgres_store() as (store, (host,)):
            await store.write(entry("a"), deadline_in(LONG))
            await host.end_sessions()
            await until(lambda: postgres.is_stale(store.connections.idle[0][0]))
            assert (await store.write(entry("b"), deadline_in(LONG))).verdict is Verdict.WRITTEN

    run(test)


def test_an_unavailable_server_never_ran_the_write_and_is_used_once_it_is_back() -> None:
    async def test() -> None:
        host = Host()
        port = free_port()
        store = PostgresStore(ConnectionOptions(f"host=127.0.0.1 port={port} user=app"))
        with pytest.raises(StoreFailure) as found:
            await store.write(entry("a"), deadline_in(LONG))
        assert (found.value.outcome, found.value.cause) == (NEVER, Cause.UNREACHABLE)
        host.starting = True
        await host.start(port)
        with pytest.raises(StoreFailure) as found:
            await store.write(entry("a"), deadline_in(LONG))
        assert found.value.outcome is NEVER
        host.starting = False
        assert (await store.write(entry("a"), deadline_in(LONG))).verdict is Verdict.WRITTEN
        await store.close()
        await host.stop()

    run(test)


def test_split_brain_attempts_queried_on_the_promoted_host_are_fenced_there() -> None:
    """Records that an asynchronous standby lacks are lost with its primary, as documented for operators. The guarantee
    tested here: an attempt that a host reported as never run does not run later on that host."""
    async def test() -> None:
        async with postgres_store() as (store, (old,)):
            confirmed = entry("confirmed")
            await store.write(entry("both"), deadline_in(LONG))
            standby = await Host(old.data.copy()).start()
            assert (await store.write(confirmed, deadline_in(LONG))).verdict is Verdict.WRITTEN
            promoted = PostgresStore(ConnectionOptions(dsn(standby)))
            assert await promoted.ask(confirmed.attempt, deadline_in(LONG)) is None
            assert (await promoted.write(confirmed, deadline_in(LONG))).verdict is Verdict.FENCED
            assert written_requests(old.data) == ["both", "confirmed"] and written_requests(standby.data) == ["both"]
            await promoted.close()
            await standby.stop()

    run(test)


def test_a_server_without_tls_is_rejected_if_tls_is_required() -> None:
    async def test() -> None:
        async with postgres_store() as (_, (host,)):
            store = PostgresStore(ConnectionOptions(dsn(host, sslmode="require"), "s3cret-word"))
            with pytest.raises(StoreFailure, match="does not support SSL") as found:
                await store.write(entry(), deadline_in(LONG))
            assert found.value.outcome is NEVER and "s3cret" not in str(found.value)
            await store.close()

    run(test)


# Schema


def test_concurrent_starts_create_the_schema_once_and_a_newer_schema_is_refused() -> None:
    async def test() -> None:
        data = Data()
        async with postgres_store(data=data) as (store, (host,)):
            others = [PostgresStore(ConnectionOptions(dsn(host))) for _ in range(4)]
            found = await asyncio.gather(*(one.write(entry(), deadline_in(LONG)) for one in (store, *others)))
            assert {one.verdict for one in found} == {Verdict.WRITTEN}
            for other in others:
                await other.close()
            data.db.execute("UPDATE record_schema SET version = 99")
            newer = PostgresStore(ConnectionOptions(dsn(host)))
            with pytest.raises(StoreFailure, match="expected schema 1 or older, got 99") as refused:
                await newer.write(entry(), deadline_in(LONG))
            assert (refused.value.outcome, refused.value.cause) == (NEVER, Cause.UNUSABLE)
            await newer.close()

    run(test)


def test_synchronous_commit_is_set_in_each_transaction() -> None:
    async def test() -> None:
        seen: list[dict[str, str]] = []

        async def look(session: object, kind: str, after: bool) -> None:
            if kind == "insert" and "statement_timeout" in session.settings:  # type: ignore[attr-defined]
                seen.append(dict(session.settings))  # type: ignore[attr-defined]

        async with postgres_store(synchronous_commit="remote_apply") as (store, (host,)):
            host.hook = look
            await store.write(replace(entry("a")), deadline_in(2.0))
        assert {one.get("synchronous_commit") for one in seen} == {"remote_apply"}
        assert 0 < int(seen[-1]["statement_timeout"]) <= 2_000

    run(test)
