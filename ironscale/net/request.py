"""A request from its acceptance to the end of its last attempt, and the load report that an answer carries."""

from __future__ import annotations

import math
from collections.abc import Callable

from ironscale.net.event_dispatcher import EventDispatcher
from ironscale.net.exchange import Exchange
from ironscale.net.http_message import Headers
from ironscale.net.timers import Timer
from ironscale.net.upstream_connection import Answer, Attempt


class Request:
    """An accepted request, kept until it is answered and all its attempts have ended."""

    def __init__(self, ident: int, index: int, txn: str, exchange: Exchange, deadline_us: int) -> None:
        self.ident = ident
        self.class_index = index  # index of its class in the settings
        self.txn = txn
        self.exchange = exchange
        self.deadline_us = deadline_us
        self.attempts: list[Attempt] = []
        self.attempts_in_flight = 0
        self.backstop: Timer | None = None
        self.dispatcher: EventDispatcher | None = None  # the one whose balancer decides on it now
        self.has_run = False  # an earlier dispatcher has run it, so the next one's balancer may not refuse it
        # continues with the next dispatcher once the current one has served the request
        self.forward_to: Callable[[Answer | None], None] | None = None
        self.upstream_answer: Answer | None = None  # an upstream's answer, held back until the next dispatcher is done

    def is_open(self) -> bool:
        return not self.exchange.lifecycle.is_over


def parse_load_report(headers: Headers, fields: list[str]) -> list[float]:
    """The load report of an answer, its values in the order of `fields`; empty if it is missing or malformed."""
    if not fields:
        return []
    text = dict(headers).get(b"x-pressure", b"").decode("latin-1")
    pairs = dict(part.split("=", 1) for part in text.split(",") if "=" in part)
    try:
        report = [float(pairs[name]) for name in fields]
    except (KeyError, ValueError):
        return []
    return report if all(math.isfinite(value) for value in report) else []
