"""A stand-in for a PostgreSQL server: protocol 3.0 towards a real client library, SQL carried out on an embedded
SQLite.

What it keeps of the real one: start-up, SCRAM-SHA-256, simple and extended queries, parameter and row formats, error
fields, transaction status, cancel requests, read-only hosts; READ COMMITTED transactions whose writes wait for
another's that is open on the same unique value, deadlocks found, a COMMIT that goes on though its client has gone, the
end of a transaction whose client falls silent (`idle_in_transaction_session_timeout`). What it does not know is refused
with an error. Its script (`Host.hook`, `Host.cut`) stalls, fails and cuts at any place.
Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol"; RFC 5802 and 7677.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import hashlib
import hmac
import itertools
import re
import secrets
import sqlite3
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

SSL, GSS, CANCEL, VERSION_3 = 80877103, 80877104, 80877102, 196608
INT8, INT4, INT2, TEXT, BYTEA, BOOL, FLOAT8 = 20, 23, 21, 25, 17, 16, 701
ITERATIONS = 64  # of the password's hash: the client does as many
MOST_MESSAGE = 4 << 20
PARAMETERS = {"server_version": "16.4", "server_encoding": "UTF8", "client_encoding": "UTF8", "DateStyle": "ISO, MDY",
              "integer_datetimes": "on", "standard_conforming_strings": "on", "TimeZone": "UTC", "is_superuser": "off",
              "IntervalStyle": "postgres"}


class SqlError(Exception):
    """Told to the client in the fields of an error."""

    def __init__(self, code: str, text: str, severity: str = "ERROR") -> None:
        super().__init__(text)
        self.code, self.severity = code, severity


class Drop(Exception):
    """The script ends the connection here, without a word."""


@dataclass
class Result:
    tag: str
    columns: list[str] | None = None
    rows: list[tuple[Any, ...]] = field(default_factory=list)


class Data:
    """What one server, or two that share a disk, hold: committed rows, and the locks of open transactions."""

    def __init__(self) -> None:
        self.db = sqlite3.connect(":memory:", isolation_level=None, check_same_thread=False)
        self.skew_ms = 0
        self.db.execute("PRAGMA foreign_keys = ON")
        self.db.create_function("store_now_ms", 0, self.now_ms)
        self.owners: dict[str, Session] = {}  # key -> the session whose transaction holds it
        self.changed = asyncio.Condition()
        self.commits = 0

    def now_ms(self) -> int:
        return time.time_ns() // 1_000_000 + self.skew_ms

    def copy(self) -> Data:
        """As a standby has it at this moment."""
        other = Data()
        self.db.backup(other.db)
        return other

    def all(self, sql: str, *values: Any) -> list[tuple[Any, ...]]:
        """What is committed, for tests to look at."""
        return self.db.execute(sql, values).fetchall()


# Statement kinds, as the script is told of them
_SAVEPOINT = re.compile(r"(SAVEPOINT|ROLLBACK TO SAVEPOINT|RELEASE SAVEPOINT) (\w+)$", re.I)
_RULE = re.compile(r"CREATE RULE (\w+) AS ON (UPDATE|DELETE) TO (\w+) DO INSTEAD NOTHING$", re.I)
_CONTROL = re.compile(r"\s*(BEGIN|COMMIT|ROLLBACK|SET LOCAL|SET|SHOW)\b", re.I)
_INSERT = re.compile(r"\s*INSERT INTO (\w+) \(([^)]*)\)\s*VALUES \((.*?)\)\s*(ON CONFLICT|RETURNING|$)", re.I | re.S)
_UPDATE = re.compile(r"\s*(?:UPDATE (\w+) SET|DELETE FROM (\w+))\b", re.I)
_WHERE = re.compile(r"\bWHERE (\w+) = \$(\d+)", re.I)
_DDL = re.compile(r"\s*CREATE (?:TABLE|UNIQUE INDEX|INDEX|RULE)\b", re.I)
_SELECT = re.compile(r"\s*SELECT\b.*\bFROM\b", re.I | re.S)
_ADVISORY = re.compile(r"\s*SELECT pg_advisory_xact_lock\(\$1\)\s*$", re.I)
_READ_COMMITTED = re.compile(r"BEGIN( ISOLATION LEVEL READ COMMITTED)?( READ WRITE)?$", re.I)


def translated(sql: str) -> str:
    rule = _RULE.match(sql)
    if rule is not None:
        return f"CREATE TRIGGER {rule[1]} BEFORE {rule[2]} ON {rule[3]} BEGIN SELECT RAISE(IGNORE); END"
    for pattern, text in ((r"\(extract\(epoch FROM clock_timestamp\(\)\) \* 1000\)::bigint", "store_now_ms()"),
                          (r"''::bytea", "x''"), (r'text COLLATE "C"', "TEXT"), (r"\bbigint\b", "INTEGER"),
                          (r"\bbytea\b", "BLOB"), (r"\$(\d+)", r"?\1")):
        sql = re.sub(pattern, text, sql, flags=re.I)
    return sql


def split_list(text: str) -> list[str]:
    """At commas outside of brackets."""
    parts, depth, start = [], 0, 0
    for i, sign in enumerate(text):
        depth += (sign == "(") - (sign == ")")
        if sign == "," and depth == 0:
            parts.append(text[start:i].strip())
            start = i + 1
    return [*parts, text[start:].strip()]


class Session:
    """One connection: its transaction and what it holds."""

    def __init__(self, host: Host, number: int) -> None:
        self.host, self.number, self.data = host, number, host.data
        self.pid, self.secret = number, secrets.randbits(31)
        self.status = b"I"
        self.log: list[tuple[str, tuple[Any, ...]]] = []  # the transaction's writes: carried out anew at its COMMIT
        self.settings: dict[str, str] = {}  # of the transaction
        self.session_settings: dict[str, str] = {}
        self.savepoints: list[tuple[str, int]] = []  # and how long the log was
        self.cancelled = asyncio.Event()
        self.waits_for: Session | None = None
        self.gone = False

    # Locks

    async def lock(self, key: str) -> None:
        """Waits while another open transaction holds it, as an insert waits for one of the same value."""
        data = self.data
        if data.owners.get(key, self) is not self:
            await self.interruptible(self._lock(key))
        data.owners[key] = self

    async def _lock(self, key: str) -> None:
        data = self.data
        try:
            async with data.changed:
                while (owner := data.owners.get(key)) is not None and owner is not self:
                    self.waits_for = owner
                    seen, at = {self}, owner
                    while at.waits_for is not None:
                        at = at.waits_for
                        if at in seen:
                            raise SqlError("40P01", "deadlock detected")
                        seen.add(at)
                    await data.changed.wait()
        finally:
            self.waits_for = None

    async def interruptible(self, wait: Awaitable[Any]) -> None:
        """Until it is done, cancelled, or the statement's time is over."""
        limit_ms = int({**self.session_settings, **self.settings}.get("statement_timeout", "0"))
        waiting = asyncio.ensure_future(wait)
        stop = asyncio.ensure_future(self.cancelled.wait())
        try:
            await asyncio.wait([waiting, stop], timeout=limit_ms / 1000 or None, return_when=asyncio.FIRST_COMPLETED)
            if waiting.done():
                waiting.result()
                return
            raise SqlError("57014", "canceling statement due to user request" if stop.done()
                           else "canceling statement due to statement timeout")
        finally:
            for one in (waiting, stop):
                one.cancel()
            await asyncio.gather(waiting, stop, return_exceptions=True)

    async def release(self, keys: list[str] | None = None) -> None:
        """These, or all that it holds."""
        data = self.data
        async with data.changed:
            for key in [key for key, owner in data.owners.items() if owner is self and (keys is None or key in keys)]:
                del data.owners[key]
            data.changed.notify_all()

    # SQL

    async def execute(self, sql: str, values: tuple[Any, ...]) -> Result:
        """One statement. Raises SqlError, after which an open transaction has failed; Drop where the script says so."""
        sql = sql.strip().rstrip(";").strip()
        kind = self.kind(sql)
        self.cancelled.clear()
        try:
            if self.status == b"E" and kind not in ("commit", "rollback", "rollback to savepoint"):
                raise SqlError("25P02", "current transaction is aborted, commands ignored until end of transaction "
                               "block")
            await self.host.meet(self, kind, False)
            result = await self._execute(kind, sql, values)
            await self.host.meet(self, kind, True)
            return result
        except SqlError:
            if self.status == b"T":
                self.status = b"E"
            raise

    @staticmethod
    def kind(sql: str) -> str:
        found = _SAVEPOINT.match(sql) or _CONTROL.match(sql)
        if found:
            return found[1].lower().replace(" local", "")
        if _ADVISORY.match(sql):
            return "advisory"
        if _INSERT.match(sql):
            return "void" if "'void'" in sql else "insert"
        for pattern, kind in ((_UPDATE, "update"), (_DDL, "ddl"), (_SELECT, "select")):
            if pattern.match(sql):
                return kind
        return "unknown"

    async def _execute(self, kind: str, sql: str, values: tuple[Any, ...]) -> Result:
        if kind == "begin":
            if not _READ_COMMITTED.match(" ".join(sql.split())):
                raise SqlError("0A000", f"not supported here: {sql}")
            self.status = b"T"
            return Result("BEGIN")
        if kind in ("commit", "rollback"):
            return await self.end(kind == "commit")
        if "savepoint" in kind:
            return self.savepoint(kind, sql.split()[-1].lower())
        if kind == "set":
            found = re.fullmatch(r"SET (LOCAL )?(\w+) (?:=|TO) '?(\w+)'?", sql, re.I)
            if found is None:
                raise SqlError("42601", f"syntax error in {sql!r}")
            (self.settings if found[1] else self.session_settings)[found[2].lower()] = found[3]
            return Result("SET")
        if kind == "show":
            name = sql.split()[1].lower()
            if name != "transaction_read_only":
                raise SqlError("42704", f"unrecognized configuration parameter {name!r}")
            return Result("SHOW", [name], [("on" if self.host.read_only else "off",)])
        if kind == "advisory":
            await self.lock(f"advisory:{values[0]}")
            if self.status == b"I":
                await self.release()
            return Result("SELECT 1", ["pg_advisory_xact_lock"], [("",)])
        if kind == "unknown":
            raise SqlError("0A000", f"not supported here: {sql[:60]!r}")
        if kind != "select":
            if self.host.read_only:
                raise SqlError("25006", f"cannot execute {sql.split()[0].upper()} in a read-only transaction")
            taken = [key for key in self.keys(kind, sql, values) if self.data.owners.get(key) is not self]
            for key in taken:
                await self.lock(key)
        result = self.on_sqlite(sql, values)
        if kind in ("insert", "void", "update") and result.tag.endswith(" 0"):
            await self.release(taken)  # it changed nothing: what stands there is not this transaction's
        elif kind != "select":
            self.log.append((sql, values))
            if self.status == b"I":
                await self.end(True)
        return result

    def savepoint(self, kind: str, name: str) -> Result:
        """The locks that were taken since stay: a server that gives some back is met by no test here."""
        if self.status == b"I":
            raise SqlError("25P01", f"{kind.upper()} can only be used in transaction blocks")
        if kind == "savepoint":
            self.savepoints.append((name, len(self.log)))
            return Result("SAVEPOINT")
        places = [i for i, (known, _) in enumerate(self.savepoints) if known == name]
        if not places:
            raise SqlError("3B001", f'savepoint "{name}" does not exist')
        place = places[-1]
        if kind == "release savepoint":
            del self.savepoints[place:]
            return Result("RELEASE")
        del self.savepoints[place + 1:], self.log[self.savepoints[place][1]:]
        self.status = b"T"
        return Result("ROLLBACK")

    def keys(self, kind: str, sql: str, values: tuple[Any, ...]) -> list[str]:
        """What the statement must hold: the unique values that it names, in one order for all."""
        found, keys = _INSERT.match(sql), []
        if found is not None:
            table = found[1]
            columns = [c.strip() for c in found[2].split(",")]
            for row in split_list(f"({found[3]})"):
                named = dict(zip(columns, split_list(row[1:-1]), strict=True))
                for column in self.unique_columns(table):
                    number = re.fullmatch(r"\$(\d+)", named.get(column, ""))
                    if number is not None and values[int(number[1]) - 1] is not None:
                        keys.append(f"{table}.{column}={values[int(number[1]) - 1]!r}")
            return sorted(keys)
        update, where = _UPDATE.match(sql), _WHERE.search(sql)
        if update is not None and where is not None:
            return [f"{update[1] or update[2]}.{where[1]}={values[int(where[2]) - 1]!r}"]
        return [f"{kind}:all"]

    def unique_columns(self, table: str) -> list[str]:
        db, found = self.data.db, []
        for _, index, unique, *_ in db.execute(f"PRAGMA index_list({table})").fetchall():
            columns = db.execute(f"PRAGMA index_info({index})").fetchall()
            if unique and len(columns) == 1:
                found.append(str(columns[0][2]))
        return found

    def on_sqlite(self, sql: str, values: tuple[Any, ...]) -> Result:
        """As the transaction sees it: what is committed by now, and its own writes. Leaves no trace."""
        db = self.data.db
        db.execute("BEGIN")
        try:
            for before, given in self.log:
                db.execute(translated(before), given).fetchall()
            cursor = db.execute(translated(sql), values)
            rows = cursor.fetchall()
            columns = [c[0] for c in cursor.description] if cursor.description else None
            verb = sql.split()[0].upper()
            count = len(rows) if columns is not None else max(0, cursor.rowcount)
            tag = {"INSERT": f"INSERT 0 {count}", "CREATE": "CREATE TABLE"}.get(verb, f"{verb} {count}")
            return Result(tag, columns, rows)
        except sqlite3.IntegrityError as error:
            raise SqlError("23505" if "UNIQUE" in str(error) else "23514", str(error)) from error
        except sqlite3.Error as error:
            code = "42P01" if "no such table" in str(error) else "42P07" if "already exists" in str(error) else "42601"
            raise SqlError(code, str(error)) from error
        finally:
            db.execute("ROLLBACK")

    async def end(self, commit: bool) -> Result:
        failed, log = self.status == b"E", self.log
        self.status, self.log, self.settings, self.savepoints = b"I", [], {}, []
        if commit and not failed and log:
            db = self.data.db
            db.execute("BEGIN")
            for sql, values in log:
                db.execute(translated(sql), values).fetchall()
            db.execute("COMMIT")
            self.data.commits += 1
        await self.release()
        return Result("COMMIT" if commit and not failed else "ROLLBACK")


# The script: awaited before (False) and after (True) each statement; may wait, raise SqlError or Drop.
Hook = Callable[[Session, str, bool], Awaitable[None]]
# Of a connection's number: which direction is cut ("in" towards the server, "out" from it) after how many bytes.
Cut = Callable[[int], tuple[str, int] | None]


class _Wire:
    """A connection's bytes, counted, and cut where the script says."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, cut: tuple[str, int] | None) -> None:
        self.reader, self.writer, self.cut = reader, writer, cut
        self.came = self.went = 0

    async def exactly(self, count: int) -> bytes:
        if self.cut is not None and self.cut[0] == "in" and self.came + count > self.cut[1]:
            await self.reader.readexactly(max(0, self.cut[1] - self.came))
            self.came = self.cut[1]
            raise Drop
        data = await self.reader.readexactly(count)
        self.came += count
        return data

    async def send(self, data: bytes) -> None:
        if self.cut is not None and self.cut[0] == "out" and self.went + len(data) > self.cut[1]:
            if not self.writer.is_closing():
                self.writer.write(data[:max(0, self.cut[1] - self.went)])
                with contextlib.suppress(ConnectionError):
                    await self.writer.drain()
            self.went = self.cut[1]
            raise Drop
        self.went += len(data)
        if self.writer.is_closing():  # its client has gone: what was begun goes on all the same
            return
        self.writer.write(data)
        with contextlib.suppress(ConnectionError):
            await self.writer.drain()


def message(kind: bytes, body: bytes) -> bytes:
    return kind + struct.pack("!i", len(body) + 4) + body


def text(value: str) -> bytes:
    return value.encode() + b"\0"


def error_fields(error: SqlError) -> bytes:
    return message(b"E", b"".join(sign + text(value) for sign, value in (
        (b"S", error.severity), (b"V", error.severity), (b"C", error.code), (b"M", str(error)))) + b"\0")


class Host:
    """One server on a port of its own. Everything about it may be changed at any time."""

    def __init__(self, data: Data | None = None, user: str = "app", password: str = "") -> None:
        self.data = data or Data()
        self.user, self.password = user, password  # an empty password: nobody is asked for one
        self.read_only = False
        self.starting = False  # refuses as a server does that still recovers
        self.hook: Hook | None = None
        self.cut: Cut | None = None
        self.sessions: dict[int, Session] = {}
        self.wires: dict[int, _Wire] = {}
        self.numbers = itertools.count(1)
        self.cancels = 0
        self.bytes: list[tuple[int, int]] = []  # of each ended connection: came, went
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> Host:
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Ends at once, as a process that is killed: what was not committed is gone."""
        if self.server is not None:
            self.server.close()
        for wire in list(self.wires.values()):
            wire.writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def end_sessions(self) -> None:
        """As pg_terminate_backend: each is told 57P01, and its open transaction is rolled back."""
        for number, wire in list(self.wires.items()):
            wire.writer.write(error_fields(SqlError(
                "57P01", "terminating connection due to administrator command", "FATAL")))
            wire.writer.close()
            self.sessions[number].gone = True

    async def meet(self, session: Session, kind: str, after: bool) -> None:
        if self.hook is not None:
            await self.hook(session, kind, after)

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        number = next(self.numbers)
        wire = _Wire(reader, writer, self.cut(number) if self.cut is not None else None)
        session = Session(self, number)
        try:
            if await self.start_up(wire, session):
                self.sessions[number], self.wires[number] = session, wire
                await self.serve(wire, session)
        except (asyncio.IncompleteReadError, ConnectionError, Drop, asyncio.CancelledError):
            pass
        except SqlError as error:  # one that ends the connection
            with contextlib.suppress(Drop, ConnectionError):
                await wire.send(error_fields(error))
        finally:
            self.tasks.discard(task)
            self.sessions.pop(number, None)
            self.wires.pop(number, None)
            self.bytes.append((wire.came, wire.went))
            session.log = []
            await session.release()
            writer.close()

    # Start-up

    async def start_up(self, wire: _Wire, session: Session) -> bool:
        while True:
            length, code = struct.unpack("!ii", await wire.exactly(8))
            if not 8 <= length <= 10_000:
                raise SqlError("08P01", "invalid length of startup packet", "FATAL")
            rest = await wire.exactly(length - 8)
            if code in (SSL, GSS):
                await wire.send(b"N")
                continue
            break
        if code == CANCEL:
            self.cancels += 1
            pid, secret = struct.unpack("!ii", rest)
            found = self.sessions.get(pid)
            if found is not None and found.secret == secret:
                found.cancelled.set()
            return False
        if code >> 16 != 3:
            raise SqlError("0A000", f"unsupported frontend protocol {code >> 16}.{code & 0xffff}", "FATAL")
        parts = rest.rstrip(b"\0").split(b"\0")
        options = {k.decode(): v.decode() for k, v in zip(parts[::2], parts[1::2], strict=False)}
        if code & 0xffff:
            await wire.send(message(b"v", struct.pack("!ii", VERSION_3, 0)))
        if self.starting:
            raise SqlError("57P03", "the database system is starting up", "FATAL")
        if self.password:
            await self.scram(wire, options.get("user", ""))
        await wire.send(message(b"R", struct.pack("!i", 0)))
        read_only = "on" if self.read_only else "off"
        for name, value in {**PARAMETERS, "default_transaction_read_only": read_only,
                            "in_hot_standby": read_only}.items():
            await wire.send(message(b"S", text(name) + text(value)))
        await wire.send(message(b"K", struct.pack("!ii", session.pid, session.secret)) + message(b"Z", b"I"))
        return True

    async def scram(self, wire: _Wire, user: str) -> None:
        """SCRAM-SHA-256 without channel binding."""
        failed = SqlError("28P01", f'password authentication failed for user "{user}"', "FATAL")
        await wire.send(message(b"R", struct.pack("!i", 10) + text("SCRAM-SHA-256") + b"\0"))
        kind, body = await self.read(wire)
        mechanism, _, rest = body.partition(b"\0")
        if kind != b"p" or mechanism != b"SCRAM-SHA-256":
            raise SqlError("08P01", "expected a SASL response", "FATAL")
        first = rest[4:].decode()
        bare = first.split(",", 2)[2]
        nonce = dict(part.split("=", 1) for part in bare.split(","))["r"] + secrets.token_urlsafe(18)
        salt = secrets.token_bytes(16)
        server_first = f"r={nonce},s={base64.b64encode(salt).decode()},i={ITERATIONS}"
        await wire.send(message(b"R", struct.pack("!i", 11) + server_first.encode()))
        kind, body = await self.read(wire)
        final = body.decode()
        without, _, proof = final.rpartition(",p=")
        salted = hashlib.pbkdf2_hmac("sha256", self.password.encode(), salt, ITERATIONS)
        client = hmac.digest(salted, b"Client Key", "sha256")
        signed = f"{bare},{server_first},{without}".encode()
        signature = hmac.digest(hashlib.sha256(client).digest(), signed, "sha256")
        wanted = bytes(a ^ b for a, b in zip(client, signature, strict=True))
        said = dict(part.split("=", 1) for part in without.split(","))
        given = base64.b64decode(proof)
        if user != self.user or said.get("r") != nonce or not hmac.compare_digest(wanted, given):
            raise failed
        server_key = hmac.digest(salted, b"Server Key", "sha256")
        verifier = base64.b64encode(hmac.digest(server_key, signed, "sha256")).decode()
        await wire.send(message(b"R", struct.pack("!i", 12) + f"v={verifier}".encode()))

    # Queries

    async def read(self, wire: _Wire) -> tuple[bytes, bytes]:
        head = await wire.exactly(5)
        length = struct.unpack("!i", head[1:])[0]
        if not 4 <= length <= MOST_MESSAGE:
            raise SqlError("08P01", f"invalid message length {length}", "FATAL")
        return head[:1], await wire.exactly(length - 4)

    async def serve(self, wire: _Wire, session: Session) -> None:
        statements: dict[str, tuple[str, list[int]]] = {}
        portals: dict[str, _Portal] = {}
        skipping = False  # after an error, until Sync
        while not session.gone:
            limit_ms = int(session.session_settings.get("idle_in_transaction_session_timeout", "0"))
            try:
                async with asyncio.timeout(limit_ms / 1000 if limit_ms and session.status != b"I" else None):
                    kind, body = await self.read(wire)
            except TimeoutError:
                raise SqlError("25P03", "terminating connection due to idle-in-transaction timeout", "FATAL") from None
            if kind == b"X":
                return
            if kind == b"Q":
                await self.simple(wire, session, body[:-1].decode())
            elif kind == b"S":
                skipping = False
                portals.clear()
                await wire.send(message(b"Z", session.status))
            elif kind == b"H" or skipping:
                pass
            else:
                try:
                    await self.extended(wire, session, kind, body, statements, portals)
                except SqlError as error:
                    if error.severity != "ERROR":
                        raise
                    skipping = True
                    await wire.send(error_fields(error))

    async def simple(self, wire: _Wire, session: Session, sql: str) -> None:
        try:
            for part in [part for part in sql.split(";") if part.strip()]:
                result = await session.execute(part, ())
                if result.columns is not None:
                    await wire.send(described(result, []))
                    await wire.send(b"".join(data_row(row, []) for row in result.rows))
                await wire.send(message(b"C", text(result.tag)))
        except SqlError as error:
            if error.severity != "ERROR":
                raise
            await wire.send(error_fields(error))
        await wire.send(message(b"Z", session.status))

    async def extended(self, wire: _Wire, session: Session, kind: bytes, body: bytes,
                       statements: dict[str, tuple[str, list[int]]], portals: dict[str, _Portal]) -> None:
        if kind == b"P":
            name, sql, rest = body.split(b"\0", 2)
            count = struct.unpack("!h", rest[:2])[0]
            types = list(struct.unpack(f"!{count}i", rest[2:2 + 4 * count]))
            statements[name.decode()] = sql.decode(), types
            await wire.send(message(b"1", b""))
        elif kind == b"B":
            portal, name, rest = body.split(b"\0", 2)
            found = statements.get(name.decode())
            if found is None:
                raise SqlError("26000", f'prepared statement "{name.decode()}" does not exist')
            portals[portal.decode()] = _Portal(*found, rest)
            await wire.send(message(b"2", b""))
        elif kind in (b"D", b"E"):
            if kind == b"D" and body[:1] == b"S":
                raise SqlError("0A000", "describing a statement is not supported here")
            name = (body[1:] if kind == b"D" else body).split(b"\0", 1)[0]
            found_portal = portals.get(name.decode())
            if found_portal is None:
                raise SqlError("34000", f'portal "{name.decode()}" does not exist')
            if found_portal.result is None:
                found_portal.result = await session.execute(found_portal.sql, found_portal.values)
            result = found_portal.result
            if kind == b"D":
                await wire.send(message(b"n", b"") if result.columns is None
                                else described(result, found_portal.formats))
            else:
                await wire.send(b"".join(data_row(row, found_portal.formats) for row in result.rows)
                                + message(b"C", text(result.tag)))
        elif kind == b"C":
            (statements if body[:1] == b"S" else portals).pop(body[1:-1].decode(), None)
            await wire.send(message(b"3", b""))
        else:
            raise SqlError("08P01", f"invalid frontend message type {kind!r}", "FATAL")


class _Portal:
    """A statement with its parameters."""

    def __init__(self, sql: str, types: list[int], rest: bytes) -> None:
        self.sql = sql
        self.result: Result | None = None
        count = struct.unpack("!h", rest[:2])[0]
        formats = struct.unpack(f"!{count}h", rest[2:2 + 2 * count])
        rest = rest[2 + 2 * count:]
        (count,), rest = struct.unpack("!h", rest[:2]), rest[2:]
        values: list[Any] = []
        for i in range(count):
            (length,), rest = struct.unpack("!i", rest[:4]), rest[4:]
            if length < 0:
                values.append(None)
                continue
            raw, rest = rest[:length], rest[length:]
            binary = formats[i if len(formats) > 1 else 0] == 1 if formats else False
            values.append(read_value(raw, types[i] if i < len(types) else 0, binary))
        self.values = tuple(values)
        count = struct.unpack("!h", rest[:2])[0]
        self.formats = list(struct.unpack(f"!{count}h", rest[2:2 + 2 * count]))


def read_value(raw: bytes, oid: int, binary: bool) -> Any:
    if oid in (INT8, INT4, INT2):
        return int.from_bytes(raw, signed=True) if binary else int(raw)
    if oid == BYTEA:
        return raw if binary else bytes.fromhex(raw[2:].decode())
    if oid == BOOL:
        return int(raw in (b"\1", b"t", b"true"))
    if oid == FLOAT8:
        return struct.unpack("!d", raw)[0] if binary else float(raw)
    if oid in (0, TEXT, 1043):
        return raw.decode()
    raise SqlError("0A000", f"parameters of type {oid} are not supported here")


def oid_of(value: Any) -> int:
    return {int: INT8, bytes: BYTEA, float: FLOAT8}.get(type(value), TEXT)


def described(result: Result, formats: list[int]) -> bytes:
    assert result.columns is not None
    parts = [struct.pack("!h", len(result.columns))]
    for i, name in enumerate(result.columns):
        values = [row[i] for row in result.rows if row[i] is not None]
        oid = oid_of(values[0]) if values else TEXT
        parts.append(text(name) + struct.pack("!ihihih", 0, 0, oid, -1, -1, format_of(i, formats)))
    return message(b"T", b"".join(parts))


def format_of(index: int, formats: list[int]) -> int:
    return 0 if not formats else formats[index if len(formats) > 1 else 0]


def data_row(row: tuple[Any, ...], formats: list[int]) -> bytes:
    parts = [struct.pack("!h", len(row))]
    for i, value in enumerate(row):
        if value is None:
            parts.append(struct.pack("!i", -1))
            continue
        if format_of(i, formats):
            raw = (value.to_bytes(8, signed=True) if isinstance(value, int) else value if isinstance(value, bytes)
                   else struct.pack("!d", value) if isinstance(value, float) else str(value).encode())
        else:
            raw = b"\\x" + value.hex().encode() if isinstance(value, bytes) else str(value).encode()
        parts.append(struct.pack("!i", len(raw)) + raw)
    return message(b"D", b"".join(parts))
