"""Lets the socket tests reuse connections to upstreams without the waits that the reuse policy asks for."""

from __future__ import annotations

import pytest

from ironscale.net import connection_reuse


def reuse_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection may carry its next request as soon as it has been answered. Upstreams are taken to give equal
    answers often, as those of most tests do, unless a test says otherwise."""
    monkeypatch.setattr(connection_reuse, "MIN_IDLE_US", 0)
    monkeypatch.setattr(connection_reuse, "PROBATION_IDLE_US", 0)
    monkeypatch.setattr(connection_reuse, "MIN_ANSWERS", 0)
    monkeypatch.setattr(connection_reuse, "INITIAL_EQUAL_SHARE", 1.0)
