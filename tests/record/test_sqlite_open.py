"""Files that temporarily cannot be opened for writing: committed data stays, and writing continues."""

from __future__ import annotations

from pathlib import Path

import apsw
import pytest

from ironscale.record.database import ConnectionFactory, close_and_remove_wal, set_persistent_wal
from ironscale.record.model import StoreFailure


def open_connection(path: Path) -> apsw.Connection:
    return ConnectionFactory(path).open()


def log_path(path: Path) -> Path:
    return path.with_name(f"{path.name}-wal")


def commit_row(path: Path) -> None:
    connection = open_connection(path)
    connection.execute("CREATE TABLE a (b); INSERT INTO a VALUES (1)")
    set_persistent_wal(connection)
    connection.close(True)


# Guards against deletion of a log with commits not yet checkpointed, because the shared-memory index was read-only.
def test_a_connection_closed_after_an_error_keeps_the_log(tmp_path: Path) -> None:
    path = tmp_path / "r.db"
    commit_row(path)
    assert log_path(path).exists()
    assert open_connection(path).execute("SELECT b FROM a").fetchall() == [(1,)]


def test_a_connection_closed_cleanly_leaves_one_file(tmp_path: Path) -> None:
    path = tmp_path / "r.db"
    commit_row(path)
    close_and_remove_wal(open_connection(path))
    assert [one.name for one in tmp_path.iterdir()] == ["r.db"]
    assert open_connection(path).execute("SELECT b FROM a").fetchall() == [(1,)]


# Guards against a store that opened its file read-only and refuses every write until the process ends.
def test_a_file_that_opens_read_only_is_rejected(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "r.db"
    commit_row(path)

    class ReadOnly(apsw.Connection):
        def __init__(self, name: str, flags: int = 0, vfs: str | None = None) -> None:
            super().__init__(name, flags=apsw.SQLITE_OPEN_READONLY, vfs=vfs)

    monkeypatch.setattr(apsw, "Connection", ReadOnly)
    with pytest.raises(StoreFailure) as found:
        open_connection(path)
    assert found.value.code == "SQLITE_READONLY"
    monkeypatch.undo()
    open_connection(path).execute("INSERT INTO a VALUES (2)")
