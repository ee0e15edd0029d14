"""Periodic jobs go on after an error."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from ironscale.net.periodic import Periodic
from ironscale.net.server import Server
from ironscale.net.upstream import Upstreams
from ironscale.tasks import run_in_background
from tests.sockets import Scene, run, until
from tests.test_shutdown import AnsweringApplication, now_us


def test_a_job_goes_on_after_an_error(capsys: pytest.CaptureFixture[str]) -> None:
    async def test() -> None:
        calls = 0

        def act() -> None:
            nonlocal calls
            calls += 1
            raise OSError(23, "Too many open files in system")

        job = Periodic(0.001, act)
        await until(lambda: calls >= 3)
        job.cancel()
        await asyncio.sleep(0.01)
        before = calls
        await asyncio.sleep(0.01)
        assert calls == before

    run(test)
    assert capsys.readouterr().err.count("tried again") >= 3


def failing_once(real: Callable[[], None]) -> tuple[Callable[[], None], list[bool]]:
    done: list[bool] = []

    def act() -> None:
        done.append(True)
        if len(done) == 1:
            raise OSError(12, "Cannot allocate memory")
        real()

    return act, done


# Guards against sweeps that stop at their first error: a paused listener and silent clients would stay for ever.
def test_the_sweeps_go_on_after_an_error() -> None:
    async def test() -> None:
        server = Server(AnsweringApplication(), 8, now_us)
        await server.listen(("127.0.0.1", 0))
        upstreams = Upstreams(now_us, 15_000_000, 1_000_000, 8)
        scene = await Scene().start()
        assert server.sweeper is not None
        for job in (server.sweeper, upstreams.sweeper, scene.sidecar.clock_checker):
            job.callback, done = failing_once(job.callback)
            job.interval_s = 0.001
            job.run()
            await until(lambda done=done: len(done) >= 2)  # type: ignore[misc]
        await server.stop(0.0, 0.0, 0.0, 5.0)
        upstreams.close()

    run(test)


# Guards against a subsystem's failure that makes the shutdown fail, or that is not logged.
def test_failing_work_alongside_ends_nothing_else(capsys: pytest.CaptureFixture[str]) -> None:
    async def test() -> None:
        async def work() -> None:
            raise RuntimeError("a bug")

        async with run_in_background(work()):
            await asyncio.sleep(0.01)

    run(test)
    assert "a bug" in capsys.readouterr().err
