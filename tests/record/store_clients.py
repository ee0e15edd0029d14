"""Simulated clients of a store of record, and the results they received: the input of
`ironscale.record.history_check`."""

from __future__ import annotations

import asyncio
import random

from ironscale.record import history_check
from ironscale.record.journal import Journal
from ironscale.record.model import Entry, Store
from ironscale.record.recorder import AttemptHandle, Recorder
from ironscale.record.write_attempt import Attempt, AttemptOutcome
from tests.record.samples import another_attempt

RESULT_OF_OUTCOME = {
    AttemptOutcome.RAN: history_check.SERVED,
    AttemptOutcome.NEVER_RAN: history_check.REFUSED,
    AttemptOutcome.CONFLICT: history_check.CONFLICT,
    AttemptOutcome.OPEN: history_check.FAILED,
}


class StoreClients:
    """One recorder, its clients, their results and the log."""

    def __init__(self, store: Store, seed: int = 1) -> None:
        self.lines: list[str] = []
        journal = Journal(None, "n", self.lines.append)
        self.recorder = Recorder("s", store, journal, self.lines.append, random.Random(seed))
        self.reports: list[history_check.ClientReport] = []
        self.handles: list[AttemptHandle] = []

    async def submit(self, one: Entry, seconds: float, tries: int = 1) -> str:
        """Submits one request, retried only after attempts that never ran; returns the client's result."""
        for turn in range(tries):
            handle = await self.attempt(another_attempt(one) if turn else one, seconds)
            outcome = handle.state.outcome
            if outcome is not AttemptOutcome.NEVER_RAN:
                break
        result = RESULT_OF_OUTCOME[outcome]
        self.reports.append(
            history_check.ClientReport(
                one.request,
                one.kind,
                one.tenant,
                one.key,
                one.effect,
                one.fingerprint,
                result,
                handle.state.answer if result == history_check.SERVED else b"",
            )
        )
        return result

    async def attempt(self, one: Entry, seconds: float) -> AttemptHandle:
        """Runs one attempt until its outcome is known or its time is up."""
        loop = asyncio.get_running_loop()
        finished = asyncio.Event()

        def on_result(plan: Attempt) -> None:
            finished.set()

        deadline = loop.time() + seconds
        handle = self.recorder.write(one, deadline, on_result)
        self.handles.append(handle)
        timer = loop.call_at(deadline, handle.give_up)
        await finished.wait()
        timer.cancel()
        return handle

    async def wait_until_resolved(self) -> None:
        """Waits until no attempt is open."""
        while self.recorder.handles:
            await asyncio.wait(list(self.recorder.handles))

    def outcomes(self) -> dict[str, str]:
        return {handle.attempt: handle.state.outcome.value for handle in self.handles}
