"""`ironscale record`: what stores hold and what is open, for people and scripts."""

from __future__ import annotations

import asyncio
import json
import sqlite3
import sys
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from ironscale.__main__ import load_extension
from ironscale.cli.config import config
from ironscale.cli.output import CliError, Exit
from ironscale.cli.record import record
from ironscale.net.config import ConfigError
from ironscale.record.journal import Journal, Open
from ironscale.record.model import Entry
from ironscale.record.sqlite import SqliteStore
from ironscale.standins.postgres import Host
from tests.record.postgres import dsn, written_requests
from tests.record.samples import entry


def call(*arguments: str) -> Result:
    return CliRunner().invoke(record, arguments)


def error_of(result: Result, code: Exit) -> str:
    assert isinstance(result.exception, CliError) and result.exception.code is code
    return str(result.exception)


def fill(path: Path, *entries: Entry) -> None:
    async def work() -> None:
        store = SqliteStore(path)
        for one in entries:
            await store.write(one)
        await store.close()

    asyncio.run(work())


@pytest.fixture
def operator(tmp_path: Path) -> Path:
    path = tmp_path / "operator.toml"
    path.write_text('[store]\nclasses = ["submit"]\njournal = "open"\n[[store.to]]\nname = "main"\nsqlite = "r.db"\n')
    fill(tmp_path / "r.db", entry("a", body=b"homework"), entry("b", "deduplicated"))
    return path


@pytest.fixture
def host() -> Iterator[Host]:
    """A stand-in server in a loop and a thread of its own: the commands have theirs."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()

    def call_(work: Callable[[], Any]) -> Any:
        async def inside() -> Any:
            return await work()

        return asyncio.run_coroutine_threadsafe(inside(), loop).result(20)

    async def make() -> Host:
        return await Host().start()

    found: Host = call_(make)
    yield found
    call_(found.stop)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


def leave_open(folder: Path, *entries: Entry, store: str = "main") -> None:
    async def work() -> None:
        journal = Journal(folder, "n0", print)
        journal.begin()
        for one in entries:
            journal.opened(Open(one.attempt, store, one.request, one.kind, one.tenant, one.key, 1_700_000_000_000,
                                "why so"))
        await journal.settle(10)

    asyncio.run(work())


def test_status_and_show(operator: Path) -> None:
    result = call("status", "-f", str(operator))
    assert result.exit_code == 0 and "main" in result.output and "submit" in result.output
    counts = json.loads(call("status", "-f", str(operator), "-o", "json").output)
    assert counts["counts"] == [{"store": "main", "class": "mark", "what": "records", "count": 1},
                                {"store": "main", "class": "submit", "what": "records", "count": 1}]
    (found,) = json.loads(call("show", "a", "-f", str(operator), "-o", "json").output)
    assert (found["request"], found["bytes"], found["until"], found["tenant"]) == ("a", 8, None, "north")
    assert "for ever" in call("show", "a", "-f", str(operator)).output
    body = operator.parent / "body"
    assert call("show", "a", "-f", str(operator), "--body", str(body)).exit_code == 0
    assert body.read_bytes() == b"homework"
    assert "and a file" in error_of(call("show", "a", "-f", str(operator), "--body", str(body)), Exit.USAGE)
    assert "no record of it stands" in error_of(call("show", "zz", "-f", str(operator)), Exit.FAILED)
    assert "expected one of main, got x" in error_of(call("show", "a", "-f", str(operator), "--store", "x"), Exit.USAGE)


def test_open_outcomes_are_listed_and_asked_for(operator: Path) -> None:
    folder = operator.parent / "open"
    assert "expected the folder of the journals" in error_of(call("open", "-f", str(operator)), Exit.USAGE)
    ran, never = entry("ran"), entry("never")
    fill(operator.parent / "r.db", ran)
    leave_open(folder, ran, never)
    leave_open(folder, entry("elsewhere"), store="gone")
    result = call("open", "-f", str(operator))
    assert result.exit_code == Exit.PARTIAL and "why so" in result.output and "ironscale record ask" in result.output
    listed = json.loads(call("open", "-f", str(operator), "-o", "json").output)
    assert {one["request"] for one in listed} == {"ran", "never", "elsewhere"}
    assert listed[0]["since"] == "2023-11-14T22:13:20Z"
    result = call("ask", "-f", str(operator), "-o", "json")
    assert result.exit_code == Exit.PARTIAL
    found = {one["request"]: one["outcome"] for one in json.loads(result.output)}
    assert (found["ran"], found["never"]) == ("ran", "never ran")
    assert found["elsewhere"].startswith("not known: there is no")

    async def late() -> str:
        store = SqliteStore(operator.parent / "r.db")
        verdict = (await store.write(never)).verdict.value
        await store.close()
        return verdict

    assert asyncio.run(late()) == "fenced"  # what was said stays true


def test_a_postgresql_store_and_one_that_does_not_answer(tmp_path: Path, host: Host) -> None:
    path = tmp_path / "operator.toml"
    path.write_text('[store]\nclasses = ["submit"]\njournal = "open"\nby = "key"\n'
                    f'[[store.to]]\nname = "up"\npostgresql = "{dsn(host)}"\n'
                    '[[store.to]]\nname = "away"\npostgresql = "host=127.0.0.1 port=1 user=app"\n')
    lost = entry("lost")
    leave_open(tmp_path / "open", lost, store="up")
    result = call("ask", "-f", str(path))
    assert result.exit_code == 0 and "never ran" in result.output
    assert written_requests(host.data) == [] and host.data.all("SELECT attempt FROM records") == [(lost.attempt,)]
    result = call("status", "-f", str(path))
    assert result.exit_code == Exit.PARTIAL and "marks" in result.output
    assert json.loads(call("status", "-f", str(path), "-o", "json").output)["silent"][0]["store"] == "away"


def test_verify_and_backup(operator: Path) -> None:
    path = operator.parent / "r.db"
    assert "2 records, 0 wrong" in call("verify", str(path)).output
    result = call("backup", str(path), str(operator.parent / "copy.db"))
    assert result.exit_code == 0 and "2 records, verified" in result.output
    assert json.loads(call("verify", str(operator.parent / "copy.db"), "-o", "json").output)["wrong"] == []
    assert "expected a name that is free" in error_of(call("backup", str(path), str(path)), Exit.FAILED)
    assert "got no file" in error_of(call("verify", str(operator.parent / "none.db")), Exit.FAILED)
    connection = sqlite3.connect(path)
    connection.execute("UPDATE records SET body = x'00' WHERE request = 'a'")
    connection.commit()
    connection.close()
    result = call("verify", str(path))
    assert result.exit_code == Exit.FAILED and "fingerprint" in result.output and "restore a backup" in result.output


def test_an_operator_file_without_a_store_is_named(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text("")
    for command in (["open"], ["ask"], ["status"], ["show", "a"]):
        assert "expected [store], got none" in error_of(call(*command, "-f", str(path)), Exit.USAGE)


def test_marks_are_pruned_by_age_and_records_stay(operator: Path, host: Host) -> None:
    with operator.open("a") as file:
        file.write(f'[[store.to]]\nname = "up"\npostgresql = "{dsn(host)}"\n')
    old, new = entry("old"), entry("new")
    leave_open(operator.parent / "open", old, new)
    leave_open(operator.parent / "open", entry("there"), store="up")
    assert call("ask", "-f", str(operator)).exit_code == 0
    connection = sqlite3.connect(operator.parent / "r.db")
    connection.execute("UPDATE records SET at_ms = at_ms - 8 * 86400000 WHERE attempt = ?", (old.attempt,))
    connection.commit()
    connection.close()
    host.data.skew_ms = 8 * 86_400_000
    result = call("prune", "-f", str(operator))
    assert result.exit_code == 0 and result.output.splitlines() == ["main: 1 marks deleted", "up: 1 marks deleted"]
    counts = json.loads(call("status", "-f", str(operator), "--store", "main", "-o", "json").output)["counts"]
    assert {one["what"]: one["count"] for one in counts if one["class"] == "-"} == {"marks": 1}
    assert sum(one["count"] for one in counts if one["what"] == "records") == 2
    assert call("prune", "-f", str(operator), "--older", "0.5").exit_code != 0  # a late commit could still come


def test_what_can_not_be_opened_is_named_before_anything_is_done(
        operator: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    text = operator.read_text()
    for line, words in (('postgresql = "host=h password=x"', "store.to.main.postgresql: expected a PostgreSQL"),
                        ('postgresql = "host=h"\npassword_file = "none"', "none: expected a token, got No such file")):
        operator.write_text(text.replace('sqlite = "r.db"', line))
        assert words in error_of(call("status", "-f", str(operator)), Exit.USAGE)
        checked = CliRunner().invoke(config, ["check", str(operator)])
        assert words in error_of(checked, Exit.USAGE) and "password=x" not in str(checked.exception)
    operator.write_text(text.replace('sqlite = "r.db"', 'postgresql = "host=h"'))
    monkeypatch.setitem(sys.modules, "ironscale.record.postgres", None)
    assert "expected the packages of ironscale[record]" in error_of(call("status", "-f", str(operator)), Exit.USAGE)
    with pytest.raises(ConfigError, match="pip install 'ironscale.record.'"):  # the sidecar says the same in one line
        load_extension({"GW_OPERATOR": str(operator)})
