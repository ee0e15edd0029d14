"""The request log tells how a request went: its attempts, the connections that carried them, and why it ended so."""

from __future__ import annotations

import asyncio
import logging

import pytest

from ironscale import logs
from ironscale.net.lifecycle import Event
from ironscale.net.request_checks import Rejection
from ironscale.net.request_log import MAX_BURST_LINES
from ironscale.standins.http import TURNED_AWAY, Message, ok
from ironscale.standins.upstream import Peer, hang, reply
from tests.sockets import Scene, open_with_request, run, until


class Lines(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.texts: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.texts.append(self.format(record))


@pytest.fixture
def lines() -> list[str]:
    handler, logger = Lines(), logging.getLogger("ironscale")
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    return handler.texts


def test_a_retried_request_is_logged_with_each_attempt_and_its_connection(lines: list[str]) -> None:
    asked: list[str] = []

    async def turn_away_the_first(peer: Peer, message: Message, writer: asyncio.StreamWriter) -> None:
        asked.append(message.headers["x-txn"])
        writer.write(TURNED_AWAY if len(asked) == 1 else ok())

    async def test() -> None:
        peers = [await Peer(turn_away_the_first).start() for _ in range(2)]
        scene = await Scene().start(*(peer.entry(f"s-{i}") for i, peer in enumerate(peers)))
        assert (await scene.call("pay")).status == 200
        assert (await scene.call("pay")).status == 200  # served at once: no line
        assert len(lines) == 1 and "request=t1 class=pay status=200" in lines[0] and "attempts=2: " in lines[0]
        assert "ordinal=1 idle=0.0 outcome='full'" in lines[0] and "outcome='ok'" in lines[0], lines[0]

    run(test)


def test_refused_and_cancelled_requests_are_logged_with_their_reason(lines: list[str]) -> None:
    async def test() -> None:
        peer = await Peer(hang).start()
        scene = await Scene().start(peer.entry("s-1"))
        assert (await scene.call("pay", remaining="5m")).status == 503
        assert "status=503 reason='refused: " in lines[0] and "attempts=0" in lines[0]
        _, writer = await open_with_request(scene.port, scene.request("pay"))
        await until(lambda: peer.got)
        writer.close()
        await until(lambda: not scene.sidecar.by_txn)
        peer.answer_held(ok())
        await until(lambda: len(lines) == 2)
        assert "status=none reason='client left'" in lines[1] and "attempts=1" in lines[1]

    run(test)


def test_many_lines_are_left_out_and_counted(lines: list[str]) -> None:
    async def test() -> None:
        peer = await Peer(reply(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")).start()
        scene = await Scene().start(peer.entry("s-1"))
        log = scene.sidecar.request_log
        log.budget.available, log.budget.lines_per_s = 1.0, 0.0
        for _ in range(4):
            await scene.call("pay", remaining="5m")
        assert len(lines) == 1 and log.budget.left_out_total == 3
        log.budget.available = float(MAX_BURST_LINES)
        await scene.call("pay", remaining="5m")
        assert lines[1].endswith("(3 lines before it left out)")

    run(test)


def test_bytes_that_no_request_asked_for_are_logged_with_their_connection(lines: list[str]) -> None:
    async def test() -> None:
        peer = await Peer().start()
        scene = await Scene().start(peer.entry("s-1"))
        assert (await scene.call()).status == 200
        peer.writers.copy().pop().write(b"HTTP/1.1 200 OK\r\n")
        await until(lambda: scene.sidecar.upstreams.open_count == 0)
        assert "upstream=s-1 connection=1 ordinal=1: 17 bytes that no request asked for" in lines[0]
        assert "bytes that no request asked for 1" in scene.sidecar.upstreams.metrics.summary()

    run(test)


# Guards against a log record that can't be formatted and raises in the code that logs, so that its request is lost.
def test_a_record_that_cannot_be_formatted_raises_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    written: list[str] = []
    monkeypatch.setattr(logs, "write_line", written.append)
    logs.LogHandler().emit(logging.LogRecord("x", logging.INFO, "", 0, "%d", ("no number",), None))
    assert "log record of x could not be formatted: TypeError" in written[0]


# Guards against rejections that leave no reason in the log.
def test_a_rejected_request_is_logged_with_its_reason_and_counted(lines: list[str]) -> None:
    async def test() -> None:
        scene = await Scene().start()
        assert (await scene.call("nowhere")).status == 400
        assert (await scene.call("view", remaining="soon")).status == 400
        counts = scene.sidecar.ledger.counts
        assert counts[Event.REJECTED, Rejection.UNKNOWN_CLASS.value] == 1
        assert counts[Event.REJECTED, Rejection.MALFORMED_REMAINING_TIME.value] == 1

    run(test)
    assert [line.partition("reason=")[2] for line in lines] == ["'unknown class'", "'malformed remaining time'"]
