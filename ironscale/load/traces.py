"""Recorded arrivals: this project's own form, and access logs and HAR files brought into it. A line that can't be read
is named, and nothing of its file is used.

The own form is JSON lines. The first is a header, each further one `[at_us, class, tenant, key, size]`: microseconds
since the first arrival, names ("" = not known), a number that stands for what the request is about (0 = not known), and
body bytes. No ids, paths, addresses or bodies: who reads a trace learns when and how much, not who and what.
"""

from __future__ import annotations

import fnmatch
import json
import re
from array import array
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import IO, Any, NamedTuple

FORMAT, VERSION = "ironscale-trace", 1
FORMATS = ("trace", "clf", "jsonl", "har")
MOST_LINE = 1 << 20
MOST_US = 366 * 86_400 * 1_000_000
# Common Log Format, and what Combined adds behind it (Apache HTTP Server, mod_log_config).
CLF = re.compile(
    r'\S+ \S+ (?P<user>\S+) \[(?P<time>[^\]]+)\] "(?P<request>(?:[^"\\]|\\.)*)" (?P<status>\d{3}) '
    r'(?P<size>\d+|-)(?: "(?:[^"\\]|\\.)*" "(?:[^"\\]|\\.)*")?(?: .*)?'
)
TIME_FIELDS = ("time", "timestamp", "@timestamp", "ts", "msec", "time_iso8601", "startedDateTime")
METHOD_FIELDS, PATH_FIELDS = ("method", "request_method"), ("path", "uri", "url", "request_uri")
SIZE_FIELDS = ("request_size", "body_size", "request_length")


class TraceError(Exception):
    """A trace that cannot be used; one line with file, line, what was expected and what stood there."""


class Row(NamedTuple):
    at_us: int
    kind: str = ""
    tenant: str = ""
    key: int = 0
    size: int | None = None


@dataclass(slots=True)
class Trace(Sequence[Row]):
    """Rows in columns: a trace of millions of lines takes some tens of bytes each."""

    at_us: array[int] = field(default_factory=lambda: array("q"))
    kinds: array[int] = field(default_factory=lambda: array("H"))
    tenants: array[int] = field(default_factory=lambda: array("H"))
    keys: array[int] = field(default_factory=lambda: array("Q"))
    sizes: array[int] = field(default_factory=lambda: array("q"))  # -1 = not known
    names: list[str] = field(default_factory=lambda: [""])
    numbers: dict[str, int] = field(default_factory=lambda: {"": 0})

    def __len__(self) -> int:
        return len(self.at_us)

    def __getitem__(self, index: Any) -> Any:
        size = self.sizes[index]
        return Row(
            self.at_us[index],
            self.names[self.kinds[index]],
            self.names[self.tenants[index]],
            self.keys[index],
            size if size >= 0 else None,
        )

    def number(self, name: str) -> int:
        found = self.numbers.get(name)
        if found is None:
            if len(self.names) > 0xFFFF:
                raise ValueError(f"at most {0xFFFF:,} names of classes and tenants, got more")
            found = self.numbers[name] = len(self.names)
            self.names.append(name)
        return found

    def add(self, at_us: int, kind: str, tenant: str, key: int, size: int | None) -> None:
        self.at_us.append(at_us)
        self.kinds.append(self.number(kind))
        self.tenants.append(self.number(tenant))
        self.keys.append(key)
        self.sizes.append(-1 if size is None else size)

    def in_order(self) -> Trace:
        """By time from 0 on; logs are written in the order of the answers."""
        order = sorted(range(len(self)), key=self.at_us.__getitem__)
        first_us = self.at_us[order[0]] if order else 0
        return Trace(
            array("q", (self.at_us[i] - first_us for i in order)),
            array("H", (self.kinds[i] for i in order)),
            array("H", (self.tenants[i] for i in order)),
            array("Q", (self.keys[i] for i in order)),
            array("q", (self.sizes[i] for i in order)),
            self.names,
            self.numbers,
        )


def lines_of(path: Path, progress: Callable[[int], None] | None = None) -> Iterator[tuple[int, str]]:
    """(number from 1, line), without empty ones."""
    try:
        with path.open("rb") as file:
            for number, raw in enumerate(file, 1):
                if len(raw) > MOST_LINE:
                    raise TraceError(
                        f"{path}:{number}: expected a line of {MOST_LINE:,} bytes at most, got {len(raw):,}"
                    )
                if progress is not None and not number % 100_000:
                    progress(number)
                try:
                    line = raw.decode("utf-8").strip()
                except UnicodeDecodeError as error:
                    raise TraceError(
                        f"{path}:{number}: expected UTF-8, got byte {error.object[error.start]:#04x} at "
                        f"column {error.start + 1}"
                    ) from error
                if line:
                    yield number, line
    except OSError as error:
        raise TraceError(f"{path}: expected a file that can be read, got {error.strerror}") from error


def _short(text: str) -> str:
    return repr(text if len(text) <= 60 else text[:60] + "...")


def read(path: Path) -> Trace:
    """A trace in the own form. Raises TraceError; then nothing of it counts."""
    found, lines = Trace(), lines_of(path)
    number, line = next(lines, (1, ""))
    try:
        header = json.loads(line)
        assert isinstance(header, dict) and header.get("format") == FORMAT
    except (ValueError, AssertionError):
        raise TraceError(
            f'{path}:{number}: expected a header {{"format": "{FORMAT}", ...}}, got {_short(line)}; bring '
            "other logs into it with `ironscale load import`"
        ) from None
    if header.get("version") != VERSION:
        raise TraceError(f"{path}:{number}: expected version {VERSION}, got {header.get('version')!r}")
    last_us, first_us, loads, add = 0, -1, json.loads, found.add
    for number, line in lines:
        try:
            at_us, kind, tenant, key, size = loads(line)
            right = (
                type(at_us) is int
                and type(key) is int
                and type(size) is int
                and type(kind) is str
                and type(tenant) is str
                and 0 <= at_us <= MOST_US
                and 0 <= key < 1 << 32
                and -1 <= size <= 1 << 40
            )
        except (ValueError, TypeError):
            right = False
        if not right:
            raise TraceError(f"{path}:{number}: expected [at_us, class, tenant, key, size], got {_short(line)}")
        if at_us < last_us:
            raise TraceError(
                f"{path}:{number}: expected a time of {last_us} us or later, as the line before, got {at_us}"
            )
        last_us = at_us
        if first_us < 0:  # a recording that was cut begins in the middle
            first_us = at_us
        add(at_us - first_us, kind, tenant, key, size if size >= 0 else None)
    return found


def header(**more: Any) -> str:
    return json.dumps({"format": FORMAT, "version": VERSION, **more}, ensure_ascii=False)


def line(row: Row) -> str:
    size = -1 if row.size is None else row.size
    return json.dumps([row.at_us, row.kind, row.tenant, row.key, size], ensure_ascii=False, separators=(",", ":"))


def write(file: IO[str], rows: Iterable[Row], **more: Any) -> int:
    """Rows in the order of time; gives how many."""
    file.write(header(**more) + "\n")
    count = 0
    for row in rows:
        file.write(line(row) + "\n")
        count += 1
    return count


# Other forms


@dataclass(frozen=True, slots=True)
class Rules:
    """How a log's lines become classes and tenants: the first pattern that fits "METHOD PATH" names the class."""

    kinds: Sequence[tuple[str, str]] = ()  # (class, pattern with * and ?)
    tenant: str = ""  # field that names the tenant; Common Log Format knows `user`
    time: str = ""  # field of the time, JSON lines

    def kind(self, method: str, path: str) -> str:
        text = f"{method} {path}"
        return next((name for name, pattern in self.kinds if fnmatch.fnmatchcase(text, pattern)), "")


class _Keys:
    """Numbers for what requests are about, in the order in which they are first seen: names stay out."""

    def __init__(self) -> None:
        self.known: dict[str, int] = {}

    def number(self, path: str) -> int:
        return self.known.setdefault(path, len(self.known) + 1)


def detect(path: Path) -> str:
    """The form of a file by its first line."""
    if path.suffix == ".har":
        return "har"
    _, first = next(lines_of(path), (1, ""))
    if CLF.fullmatch(first):
        return "clf"
    if first.startswith("{"):
        try:
            found = json.loads(first)
        except ValueError:
            return "har"  # a JSON document over several lines
        return "trace" if found.get("format") == FORMAT else "har" if "log" in found else "jsonl"
    raise TraceError(
        f"{path}:1: expected an access log (Common or Combined), JSON lines, a HAR file or a trace, got {_short(first)}"
    )


def bring(path: Path, form: str, rules: Rules, progress: Callable[[int], None] | None = None) -> Trace:
    """A file of any form as a trace. Raises TraceError."""
    if form == "trace":
        return read(path)
    found = {"clf": _clf, "jsonl": _jsonl, "har": _har}[form](path, rules, progress)
    if not len(found):
        raise TraceError(f"{path}: expected at least one request, got none")
    return found.in_order()


def _clf(path: Path, rules: Rules, progress: Callable[[int], None] | None) -> Trace:
    if rules.tenant not in ("", "user"):
        raise TraceError(f"{path}: expected the tenant's field to be user in this form, got {rules.tenant!r}")
    found, keys = Trace(), _Keys()
    times: dict[str, int] = {}
    kinds: dict[str, tuple[str, int]] = {}
    for number, text in lines_of(path, progress):
        match = CLF.fullmatch(text)
        if match is None:
            raise TraceError(f"{path}:{number}: expected a line of Common or Combined Log Format, got {_short(text)}")
        stamp = match["time"]
        at_us = times.get(stamp)
        if at_us is None:
            try:
                at_us = round(datetime.strptime(stamp, "%d/%b/%Y:%H:%M:%S %z").timestamp() * 1e6)
            except ValueError:
                raise TraceError(
                    f"{path}:{number}: expected a time like 10/Oct/2026:13:55:36 +0400, got {stamp!r}"
                ) from None
            if len(times) > 10_000:
                times.clear()
            times[stamp] = at_us
        request = match["request"]
        known = kinds.get(request)
        if known is None:
            method, _, rest = request.partition(" ")
            target = rest.rpartition(" ")[0] or rest
            known = rules.kind(method, target.partition("?")[0]), keys.number(target)
            if len(kinds) < 100_000:
                kinds[request] = known
        user = match["user"] if rules.tenant else "-"
        found.add(at_us, known[0], "" if user == "-" else user, known[1] & 0xFFFFFFFF, None)
    return _spread(found)


def _spread(trace: Trace) -> Trace:
    """Times in whole seconds: those of one second are spread evenly over it, as nothing says where they lay."""
    if any(at_us % 1_000_000 for at_us in trace.at_us):
        return trace
    seen: dict[int, int] = {}
    total: dict[int, int] = {}
    for at_us in trace.at_us:
        total[at_us] = total.get(at_us, 0) + 1
    for i, at_us in enumerate(trace.at_us):
        turn = seen[at_us] = seen.get(at_us, 0) + 1
        trace.at_us[i] = at_us + (2 * turn - 1) * 500_000 // total[at_us]
    return trace


def _time_us(value: Any) -> int:
    """Unix seconds (or milliseconds, from 10^11 on), or ISO 8601 with a zone. Raises ValueError."""
    if isinstance(value, str) and not re.fullmatch(r"\d+(\.\d+)?", value, re.ASCII):
        moment = datetime.fromisoformat(value)
        if moment.tzinfo is None:
            raise ValueError("a time without a zone")
        return round(moment.timestamp() * 1e6)
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        raise ValueError("no time")
    seconds = float(value)
    if not 0 <= seconds < 1e14:
        raise ValueError("no time")
    return round(seconds * 1e6) if seconds < 1e11 else round(seconds * 1e3)


def _first(entry: dict[str, Any], names: Sequence[str]) -> Any:
    return next((entry[name] for name in names if name in entry), None)


def _jsonl(path: Path, rules: Rules, progress: Callable[[int], None] | None) -> Trace:
    found, keys = Trace(), _Keys()
    fields = (rules.time,) if rules.time else TIME_FIELDS
    for number, text in lines_of(path, progress):
        try:
            entry = json.loads(text)
        except ValueError as error:
            raise TraceError(f"{path}:{number}: expected a JSON object, got {error}") from error
        if not isinstance(entry, dict):
            raise TraceError(f"{path}:{number}: expected a JSON object, got {_short(text)}")
        value = _first(entry, fields)
        try:
            at_us = _time_us(value)
        except ValueError:
            raise TraceError(
                f"{path}:{number}: expected Unix seconds or ISO 8601 with a zone in {' or '.join(fields)}, got "
                f"{value!r}"
            ) from None
        target = str(_first(entry, PATH_FIELDS) or "")
        size = _first(entry, SIZE_FIELDS)
        tenant = str(entry.get(rules.tenant) or "") if rules.tenant else ""
        found.add(
            at_us,
            rules.kind(str(_first(entry, METHOD_FIELDS) or "GET"), target.partition("?")[0]),
            tenant,
            keys.number(target) & 0xFFFFFFFF if target else 0,
            size if type(size) is int and size >= 0 else None,
        )
    return _spread(found)


def _har(path: Path, rules: Rules, progress: Callable[[int], None] | None) -> Trace:
    found, keys = Trace(), _Keys()
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
        entries = document["log"]["entries"]
        assert isinstance(entries, list)
    except OSError as error:
        raise TraceError(f"{path}: expected a file that can be read, got {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise TraceError(f"{path}: expected UTF-8, got byte {error.object[error.start]:#04x}") from error
    except ValueError as error:
        raise TraceError(f"{path}: expected a HAR file (JSON), got {error}") from error
    except (KeyError, TypeError, AssertionError):
        raise TraceError(f"{path}: log.entries: expected a list, got none") from None
    for i, entry in enumerate(entries):
        where = f"{path}: log.entries[{i}]"
        try:
            request = entry["request"]
            method, url, size = request["method"], request["url"], request.get("bodySize", -1)
        except (KeyError, TypeError, AttributeError):
            raise TraceError(f"{where}.request: expected method and url, got {_short(str(entry))}") from None
        try:
            at_us = _time_us(entry.get("startedDateTime"))
        except ValueError:
            raise TraceError(
                f"{where}.startedDateTime: expected ISO 8601 with a zone, got {entry.get('startedDateTime')!r}"
            ) from None
        target = "/" + str(url).partition("://")[2].partition("/")[2]
        found.add(
            at_us,
            rules.kind(str(method), target.partition("?")[0]),
            "",
            keys.number(target) & 0xFFFFFFFF,
            size if type(size) is int and size >= 0 else None,
        )
    return found
