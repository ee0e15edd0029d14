"""The result file of a scale run: slopes and single readings, with the machine, time and size file they belong to."""

from __future__ import annotations

import json
import math
import statistics
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ironscale.scale.fit import Fit, FitError, fit

FORMAT, VERSION = "ironscale-scale", 1
ROLES = ("sidecar data path", "sidecar control", "agent that leads", "agent that stands by", "record", "discovery",
         "upstream", "operator", "published versions")


class ResultError(Exception):
    """A result file that can't be used; the message is a single line."""


@dataclass(frozen=True, slots=True)
class Point:
    size: float
    repeats: tuple[float, ...]

    @property
    def value(self) -> float:
        return statistics.median(self.repeats)


@dataclass(frozen=True, slots=True)
class Slope:
    """A metric measured at several sizes, and the line fitted to it."""

    name: str  # dotted metric name that never changes, such as `agent.rest.cpu_percent`
    role: str
    x_axis: str  # what the size counts: the label of the x axis
    unit: str
    points: tuple[Point, ...]
    fit: Fit
    measured_at: str  # time of the measurement, UTC
    note: str = ""


@dataclass(frozen=True, slots=True)
class Reading:
    """A metric that was not measured over several sizes."""

    name: str
    role: str
    unit: str
    repeats: tuple[float, ...]
    measured_at: str
    note: str = ""

    @property
    def value(self) -> float:
        return statistics.median(self.repeats)

    @property
    def scatter(self) -> float:
        """The difference between the largest and the smallest repetition."""
        return max(self.repeats) - min(self.repeats)


def build_slope(name: str, role: str, x_axis: str, unit: str, points: Mapping[float, Iterable[float]], measured_at: str,
          note: str = "") -> Slope:
    """Builds a slope from the repetitions at each size. Raises FitError for fewer than three sizes."""
    slope_points = tuple(Point(float(size), tuple(float(v) for v in values)) for size, values in sorted(points.items()))
    return Slope(
        name,
        role,
        x_axis,
        unit,
        slope_points,
        fit([(p.size, v) for p in slope_points for v in p.repeats]),
        measured_at,
        note,
    )


@dataclass(slots=True)
class Result:
    size_digest: str
    machine: dict[str, Any]  # cores, memory_mb, python
    slopes: dict[str, Slope] = field(default_factory=dict)
    readings: dict[str, Reading] = field(default_factory=dict)

    def add(self, *entries: Slope | Reading) -> None:
        """Adds entries; each replaces an earlier slope or reading of the same name."""
        for entry in entries:
            (self.slopes if isinstance(entry, Slope) else self.readings).pop(entry.name, None)
            if isinstance(entry, Slope):
                self.readings.pop(entry.name, None)
                self.slopes[entry.name] = entry
            else:
                self.slopes.pop(entry.name, None)
                self.readings[entry.name] = entry

    def to_json(self) -> str:
        def slope_object(entry: Slope) -> dict[str, Any]:
            return {
                "name": entry.name,
                "role": entry.role,
                "x": entry.x_axis,
                "unit": entry.unit,
                "at": entry.measured_at,
                "note": entry.note,
                "points": [[p.size, *p.repeats] for p in entry.points],
                # Written for other programs. The verdict is left out: it is derived from the points on each load.
                "fit": {key: getattr(entry.fit, key) for key in Fit.__slots__ if key != "verdict"},
            }

        return json.dumps({
            "format": FORMAT, "version": VERSION, "size_digest": self.size_digest, "machine": self.machine,
            "slopes": [slope_object(self.slopes[name]) for name in sorted(self.slopes)],
            "readings": [{"name": r.name, "role": r.role, "unit": r.unit, "at": r.measured_at, "note": r.note,
                          "repeats": list(r.repeats)} for _, r in sorted(self.readings.items())],
        }, indent=1, allow_nan=False) + "\n"

    def write(self, path: Path) -> None:
        """Writes a temporary file and renames it, so that an interrupted run leaves the previous file intact."""
        temporary = path.with_name(f".{path.name}.new")
        temporary.write_text(self.to_json(), encoding="utf-8")
        temporary.replace(path)


class _JsonReader:
    """Validates parsed JSON; each error names the path of the wrong value."""

    def __init__(self, file: str) -> None:
        self.file = file

    def fail(self, path: str, expected: str, got: Any) -> ResultError:
        return ResultError(f"{self.file}: {path}: expected {expected}, got {str(got)[:60]!r}")

    def text(self, value: Any, key: str, path: str, choices: tuple[str, ...] = (), empty: bool = False) -> str:
        text = self.get(value, key, path)
        if not isinstance(text, str) or not (text or empty) or (choices and text not in choices):
            raise self.fail(f"{path}.{key}", f"one of {', '.join(choices)}" if choices else "a text", text)
        return text

    def get(self, value: Any, key: str, path: str) -> Any:
        if not isinstance(value, dict):
            raise self.fail(path, "an object", value)
        if key not in value:
            raise self.fail(f"{path}.{key}" if path else key, "a value", "nothing")
        return value[key]

    def list(self, value: Any, key: str, path: str) -> list[Any]:
        values = self.get(value, key, path)
        if not isinstance(values, list):
            raise self.fail(f"{path}.{key}" if path else key, "a list", values)
        return values

    def number(self, value: Any, path: str) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise self.fail(path, "a number", value)
        return float(value)

    def numbers(self, value: Any, path: str, minimum: int) -> tuple[float, ...]:
        if not isinstance(value, list) or len(value) < minimum:
            raise self.fail(path, f"a list of {minimum} numbers or more", value)
        return tuple(self.number(entry, f"{path}[{i}]") for i, entry in enumerate(value))

    def slope(self, value: Any, path: str) -> Slope:
        points = tuple(Point(row[0], row[1:]) for row in (
            self.numbers(row, f"{path}.points[{i}]", 2) for i, row in enumerate(self.list(value, "points", path))))
        recorded_fit = self.get(value, "fit", path)
        try:
            slope = build_slope(
                self.text(value, "name", path),
                self.text(value, "role", path, ROLES),
                self.text(value, "x", path),
                self.text(value, "unit", path),
                {p.size: p.repeats for p in points},
                self.text(value, "at", path),
                self.text(value, "note", path, empty=True),
            )
        except FitError as error:
            raise ResultError(f"{self.file}: {path}.points: {error}") from error
        # Reject a fit that doesn't follow from the points: one edited by hand would end up in the capacity page.
        for key in ("intercept", "slope", "mean"):
            recorded = self.number(self.get(recorded_fit, key, f"{path}.fit"), f"{path}.fit.{key}")
            if not math.isclose(recorded, getattr(slope.fit, key), rel_tol=1e-6, abs_tol=1e-9):
                raise self.fail(f"{path}.fit.{key}", f"{getattr(slope.fit, key):.6g}, as its points give", recorded)
        return slope


def parse(text: str, file: str) -> Result:
    """Parses and validates the text of a result file. Raises ResultError."""
    reader = _JsonReader(file)
    try:
        value = json.loads(text)
    except ValueError as error:
        raise ResultError(f"{file}: expected JSON, got {error}") from error
    if reader.get(value, "format", "") != FORMAT or reader.get(value, "version", "") != VERSION:
        raise reader.fail("format", f"{FORMAT} {VERSION}", f"{value['format']} {value['version']}")
    machine = reader.get(value, "machine", "")
    for key in ("cores", "memory_mb"):
        reader.number(reader.get(machine, key, "machine"), f"machine.{key}")
    result = Result(reader.text(value, "size_digest", ""), machine)
    for i, entry in enumerate(reader.list(value, "slopes", "")):
        result.add(reader.slope(entry, f"slopes[{i}]"))
    for i, entry in enumerate(reader.list(value, "readings", "")):
        path = f"readings[{i}]"
        result.add(Reading(reader.text(entry, "name", path), reader.text(entry, "role", path, ROLES),
                          reader.text(entry, "unit", path), reader.numbers(reader.get(entry, "repeats", path),
                                                                         f"{path}.repeats", 1),
                          reader.text(entry, "at", path), reader.text(entry, "note", path, empty=True)))
    return result


def load(path: Path) -> Result:
    try:
        return parse(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise ResultError(f"{path}: expected a file that can be read, got "
                          f"{getattr(error, 'strerror', None) or 'no UTF-8'}") from error
