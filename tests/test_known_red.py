"""Tests that KNOWN-RED.txt names existing tests, and that each entry has all four fields."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests import known_red

ROOT = Path(__file__).resolve().parent.parent


def test_each_known_failure_names_a_test_that_exists() -> None:
    for entry in known_red.read():
        path, _, name = entry.test.partition("::")
        case, _, method = name.partition("::")  # a state machine's test case is an attribute of the module
        defined = f"\n{case} = " if method else f"def {case.partition('[')[0]}("
        assert defined in (ROOT / path).read_text(), entry


def test_an_entry_without_its_four_fields_is_an_error(tmp_path: Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("# a comment\ntests/a.py::test_b | make check | it failed | 42\n")
    assert known_red.read(path)[0].test == "tests/a.py::test_b"
    path.write_text("tests/a.py::test_b | it failed\n")
    with pytest.raises(ValueError, match="KNOWN-RED.txt:1"):
        known_red.read(path)
