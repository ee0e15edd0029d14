"""Reads typed values from TOML tables. Every error names the file, the key path, the expected and the actual value."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

Address = tuple[str, int]
T = TypeVar("T")


class TableError(Exception):
    """A file cannot be used; the text is one line."""


class Table:
    """One table of a file. Its readers record the keys they ask for, so that `reject_unknown_keys` finds the others.

    Readers raise `error_type` if a value has the wrong type, is out of range, or is missing and has no default.
    Relative paths start from `folder`.
    """

    def __init__(self, file: str, path: str, values: Any, folder: Path,
                 error_type: type[TableError] = TableError) -> None:
        self.file, self.path, self.folder, self.error_type = file, path, folder, error_type
        if not isinstance(values, dict):
            raise self.error_type(f"{file}: {path}: expected a table, got {values!r}")
        self.values: dict[str, Any] = values
        self.known_keys: set[str] = set()

    def key_path(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def error_for(self, key: str, expected: str) -> TableError:
        """The error to raise for the value of `key`."""
        got = repr(self.values[key]) if key in self.values else "nothing"
        return self.error_type(f"{self.file}: {self.key_path(key)}: expected {expected}, got {got}")

    def get(self, key: str, expected: str, read: Callable[[Any], T | None], default: T | None = None) -> T:
        """The value as converted by `read`, which returns None for a value that is not as expected. Without a default
        the key is required."""
        self.known_keys.add(key)
        if key not in self.values and default is not None:
            return default
        value = read(self.values[key]) if key in self.values else None
        if value is None:
            raise self.error_for(key, expected)
        return value

    def string(self, key: str, default: str | None = None) -> str:
        return self.get(key, "a text without line breaks", text_or_none, default)

    def boolean(self, key: str, default: bool) -> bool:
        return self.get(key, "true or false", lambda v: v if isinstance(v, bool) else None, default)

    def integer(self, key: str, minimum: int, maximum: int, default: int | None = None) -> int:
        def read(value: Any) -> int | None:
            is_valid = isinstance(value, int) and not isinstance(value, bool) and minimum <= value <= maximum
            return value if is_valid else None

        return self.get(key, f"a whole number from {minimum} to {maximum}", read, default)

    def seconds(self, key: str, minimum: float, maximum: float, default: float | None = None) -> float:
        return self.number(key, minimum, maximum, default, "seconds")

    def number(self, key: str, minimum: float, maximum: float, default: float | None = None,
               what: str = "a number") -> float:
        return self.get(key, f"{what} from {minimum:g} to {maximum:g}", lambda v: _number(v, minimum, maximum), default)

    def numbers(self, key: str, minimum: float, maximum: float, count: tuple[int, int],
                default: tuple[float, ...] | None = None) -> tuple[float, ...]:
        """A list of numbers; `count` is its smallest and greatest length."""
        def read(value: Any) -> tuple[float, ...] | None:
            if not isinstance(value, list) or not count[0] <= len(value) <= count[1]:
                return None
            numbers = [_number(entry, minimum, maximum) for entry in value]
            return None if None in numbers else tuple(entry for entry in numbers if entry is not None)

        length = f"{count[0]}" if count[0] == count[1] else f"{count[0]} to {count[1]}"
        return self.get(key, f"a list of {length} numbers from {minimum:g} to {maximum:g}", read, default)

    def interval(self, key: str, minimum: float, maximum: float, default: tuple[float, float] | None = None
             ) -> tuple[float, float]:
        """Two numbers, [low, high]."""
        bounds = self.numbers(key, minimum, maximum, (2, 2), default)
        if bounds[0] > bounds[1]:
            raise self.error_for(key, "[low, high] with low no greater than high")
        return bounds[0], bounds[1]

    def one_of(self, key: str, names: tuple[str, ...], default: str | None = None) -> str:
        return self.get(key, f"one of {', '.join(names)}", lambda v: v if v in names else None, default)

    def address(self, key: str, default: Address | None = None) -> Address:
        return self.get(key, "HOST:PORT", read_address, default)

    def file_path(self, key: str, default: Path | None = None) -> Path:
        text = self.get(key, "a path", text_or_none, str(default) if default is not None else None)
        return self.folder / text

    def table(self, key: str) -> Table | None:
        self.known_keys.add(key)
        value = self.values.get(key)
        return Table(self.file, self.key_path(key), value, self.folder, self.error_type) if key in self.values else None

    def tables(self, key: str) -> list[Table]:
        self.known_keys.add(key)
        entries = self.values.get(key, [])
        if not isinstance(entries, list):
            raise self.error_for(key, f"tables [[{self.key_path(key)}]]")
        return [Table(self.file, f"{self.key_path(key)}[{i}]", entry, self.folder, self.error_type)
                for i, entry in enumerate(entries)]

    def reject_unknown_keys(self) -> None:
        """Raises an error for a key that no reader has asked for. Call it after the last read."""
        for key in self.values:
            if key not in self.known_keys:
                known = ", ".join(sorted(self.known_keys)) or "no key"
                raise self.error_type(f"{self.file}: {self.key_path(key)}: expected one of {known}, got this key")


def _number(value: Any, minimum: float, maximum: float) -> float | None:
    # NaN compares false with everything, so it is rejected here too
    is_valid = isinstance(value, int | float) and not isinstance(value, bool) and minimum <= value <= maximum
    return float(value) if is_valid else None


def read_text(path: Path, error: type[TableError]) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except OSError as reason:
        raise error(f"{path}: expected a file that can be read, got {reason.strerror}") from reason
    except UnicodeDecodeError as reason:
        raise error(f"{path}: expected UTF-8, got byte {reason.object[reason.start]:#04x} "
                    f"at {reason.start}") from reason


def read_toml(text: str, file: str, folder: Path, error: type[TableError]) -> Table:
    """The root table of a TOML file; relative paths in it start from `folder`."""
    try:
        return Table(file, "", tomllib.loads(text), folder, error)
    except tomllib.TOMLDecodeError as reason:
        raise error(f"{file}: expected TOML, got {reason}") from reason


def text_or_none(value: Any) -> str | None:
    """The value if it is a non-empty printable string, which has no line breaks."""
    return value if isinstance(value, str) and value and value.isprintable() else None


def read_address(value: Any) -> Address | None:
    """Parses HOST:PORT; None if the value is not of that form."""
    host, colon, port = str(value).rpartition(":")
    is_valid = (isinstance(value, str) and colon and host and host.isprintable() and port.isascii()
             and port.isdecimal() and int(port) <= 65535)
    return (host, int(port)) if is_valid else None
