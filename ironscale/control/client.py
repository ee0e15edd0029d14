"""The connection from an instance to its agent: it sends heartbeats and runs the agent's commands.

The data path keeps working whatever the agent does: each frame is handled in a separate step on the event loop, and all
steps together use no more than `pacing.MAX_LOOP_SHARE` of the loop's time.
"""

from __future__ import annotations

import asyncio
import random
import time
import traceback
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any, cast

from ironscale import logs
from ironscale.control.commands import CommandDeduplicator
from ironscale.control.frames import MAX_FRAME_BYTES, FrameDecoder, FrameError, encode_frame
from ironscale.control.instance import ChangeRefused, Instance, RestartNeeded
from ironscale.control.messages import (
    FROM_AGENT,
    PROTOCOL,
    Command,
    CommandResult,
    Denied,
    Goodbye,
    Heartbeat,
    Hello,
    LeaseRenewal,
    Message,
    MessageError,
    Report,
    Welcome,
    parse_message,
    serialize_message,
)
from ironscale.control.pacing import ControlWorkLimiter, ReconnectBackoff

CONNECT_TIMEOUT_S, WELCOME_TIMEOUT_S = 2.0, 5.0
FALLBACK_WELCOME_TIMEOUT_S = 1.0  # shorter if there are other agents to try
UPSTREAMS_PER_PART = 100  # upstreams in one part of an `inspect` result; sending a part takes about a millisecond
MAX_UNSENT_BYTES = 2 * MAX_FRAME_BYTES  # bytes that the agent has not read yet; above this nothing more is produced
MIN_LOG_INTERVAL_S = 5.0
NOT_LEADING = "NOT_LEADING"


@dataclass(frozen=True, slots=True)
class Identity:
    """What an instance tells its agent about itself; the fields have the same meaning as in `Hello`."""

    name: str
    boot: str
    pid: int
    version: str
    started_ms: int
    zone: str
    listen: str
    token: str
    replaces: str = ""
    host: str = ""
    ticks: int = 0


class AgentClient:
    """Keeps the instance connected to an agent, and reconnects, until `run` is cancelled."""

    def __init__(self, instance: Instance, identity: Identity, address: tuple[str, int], rng: random.Random,
                 log: Callable[[str], None] | None = None, others: tuple[tuple[str, int], ...] = ()) -> None:
        """`others`: agents to try in turn, one at a time, when no agent leads at `address`."""
        self.instance = instance
        self.identity = identity
        self.address = address
        self.agents = (address, *others)
        self.term = 0  # the highest leadership term of an agent that has welcomed this process
        self.commands = CommandDeduplicator(identity.boot)
        self.backoff = ReconnectBackoff(rng)
        self.work_limiter = ControlWorkLimiter()
        self.write_log_line = log or (lambda text: logs.write_line(f"{identity.name}: {text}"))
        self.next_log_at_s = 0.0
        self.session: Session | None = None
        self.failed_attempts = 0  # attempts without a welcome in the current two rounds through `agents`
        # Called with the fence of each command that is run.
        self.on_fence_raised: Callable[[int], None] = lambda fence: None
        # HOST:PORT where this instance serves its learned state, and a callback for the addresses of others that do.
        self.learned_state_address: Callable[[], str] = lambda: ""
        self.on_donors: Callable[[list[str]], None] = lambda donors: None

    def log(self, text: str) -> None:
        """Writes at most one line per MIN_LOG_INTERVAL_S, so that a misbehaving agent can't flood the log."""
        now_s = time.monotonic()
        if now_s >= self.next_log_at_s:
            self.next_log_at_s = now_s + MIN_LOG_INTERVAL_S
            self.write_log_line(f"agent {self.address[0]}:{self.address[1]}: {text}")

    async def run(self) -> None:
        while True:
            await asyncio.sleep(await self.connect_once())

    async def connect_once(self) -> float:
        """Connects once and serves the connection until it ends; gives the seconds to wait before the next attempt."""
        session = Session(self)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: session, *self.address)
        except (OSError, TimeoutError, ValueError) as error:
            session.close()
            self.log(f"can't connect: {error or 'timed out'}")
            return self.switch_agent("") or self.backoff.after_failed_attempt()
        self.session = session
        try:
            await session.ended.wait()
        finally:
            self.session = None
            session.close()
        if session.end_reason:
            self.log(session.end_reason)
        if session.denied is not None and session.denied.code == NOT_LEADING:
            self.backoff.failures = 0
            return self.switch_agent(session.denied.leader) or self.backoff.after_no_leader()
        if session.denied is not None:
            return self.backoff.after_denial(session.denied.retry_ms / 1000)
        if session.welcome is not None:
            self.failed_attempts = 0
            # Another agent is tried after silence: a suspended agent process accepts connections but never answers.
            return (self.switch_agent("") or self.backoff.after_lost_connection() if session.lease_expired
                    else self.backoff.after_lost_connection())
        return self.switch_agent("") or self.backoff.after_failed_attempt()

    def switch_agent(self, leader: str) -> float:
        """Switches to another of the agents in the operator file: the one named as `leader`, or else the next. Gives
        the seconds to wait before connecting to it; 0 after two rounds through all agents, when the caller has to back
        off. A leader address that is not in the operator file is ignored, because this instance would send its token
        to an untrusted address."""
        self.failed_attempts += 1
        leader_agent = next((agent for agent in self.agents if f"{agent[0]}:{agent[1]}" == leader), None)
        current_index = self.agents.index(self.address)
        self.address = leader_agent if leader_agent is not None else self.agents[(current_index + 1) % len(self.agents)]
        if self.failed_attempts >= 2 * len(self.agents):
            self.failed_attempts = 0
        return self.backoff.before_next_agent() if self.failed_attempts else 0.0

    def send_goodbye(self, reason: str) -> None:
        """Tells the agent that the process is shutting down."""
        if self.session is not None and self.session.welcome is not None:
            self.session.send(Goodbye(reason))

    def report(self) -> Report:
        return self.instance.report(self.work_limiter.total_cpu_s)

    def run_command(self, command: Command) -> CommandResult:
        """Runs an admitted command; every failure becomes a result."""
        try:
            detail = self.apply_command(command)
        except ChangeRefused as error:
            return CommandResult(command.id, "refused", str(error))
        except RestartNeeded as error:
            return CommandResult(command.id, "needs restart", str(error))
        except Exception as error:  # otherwise the agent gets no result and no further frame is read
            logs.write_line(traceback.format_exc())
            return CommandResult(command.id, "failed", f"{type(error).__name__}: {error}")
        return CommandResult(command.id, "applied", detail, self.report())

    def apply_command(self, command: Command) -> str:
        """Applies the command to the instance and gives the detail text of its result. Raises ChangeRefused
        or RestartNeeded."""
        match command.kind:
            case "drain" | "undrain":
                self.instance.drain(command.kind == "drain")
                return ""
            case "reconfigure":
                generation, overlay = command.args.get("generation"), command.args.get("overlay")
                if not isinstance(generation, int) or isinstance(generation, bool) or generation < 0:
                    raise ChangeRefused(f"generation: expected a whole number of 0 or more, got {generation!r:.60}")
                if not isinstance(overlay, Mapping):
                    raise ChangeRefused(f"overlay: expected an object, got {overlay!r:.60}")
                self.instance.reconfigure(generation, overlay)
                return ""
            case "stop":
                self.instance.stop()
                return "ending"
        raise ChangeRefused(f"{command.kind}: not known here")


class Session(asyncio.Protocol):
    """One connection to an agent. Each frame is handled in its own step, within the loop's share for control work."""

    def __init__(self, client: AgentClient) -> None:
        self.client = client
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.decoder = FrameDecoder()
        self.ended = asyncio.Event()
        self.end_reason = ""
        self.welcome: Welcome | None = None
        self.denied: Denied | None = None
        self.heartbeat_seq = 0
        self.opened_at_s = self.loop.time()
        self.pending_steps: deque[Callable[[], None]] = deque()  # queued steps: the remaining parts of inspections
        self.step_timer: asyncio.TimerHandle | None = None
        self.heartbeat_timer: asyncio.TimerHandle | None = None
        self.lease_expired = False
        wait_s = WELCOME_TIMEOUT_S if len(client.agents) == 1 else FALLBACK_WELCOME_TIMEOUT_S
        self.silence_timer = self.loop.call_later(wait_s, self.end, "no welcome in time")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.ended.is_set():
            self.transport.abort()
            return
        identity, report = self.client.identity, self.client.report()
        self.send(Hello(
            PROTOCOL, identity.name, identity.boot, identity.pid, identity.version, identity.started_ms, identity.zone,
            identity.listen, identity.token, report.generation, self.client.commands.fence, identity.replaces,
            identity.host, identity.ticks, self.client.learned_state_address()))

    def data_received(self, data: bytes) -> None:
        if self.ended.is_set():
            return
        self.decoder.feed(data)
        if len(self.decoder.buffer) > 2 * MAX_FRAME_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self.schedule_step()

    def schedule_step(self) -> None:
        if self.step_timer is None and not self.ended.is_set():
            wait_s = self.client.work_limiter.wait_s(self.loop.time())
            self.step_timer = self.loop.call_later(wait_s, self.run_next_step)

    def run_next_step(self) -> None:
        """Runs one step: the next queued job, or else the next frame."""
        self.step_timer = None
        if self.ended.is_set():
            return
        if self.transport is not None and self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.step_timer = self.loop.call_later(0.1, self.run_next_step)  # the agent isn't reading
            return
        if self.run_accounted(self.pending_steps.popleft() if self.pending_steps else self.process_frame):
            self.schedule_step()

    def run_accounted(self, work: Callable[[], object]) -> bool:
        """Runs one piece of control work and accounts for its CPU time; False if there was nothing to do."""
        start_s = time.thread_time()
        try:
            return work() is not False
        except (FrameError, MessageError) as error:
            self.end(f"invalid message from the agent: {error}")
            return False
        finally:
            self.client.work_limiter.record_step(self.loop.time(), time.thread_time() - start_s)

    def process_frame(self) -> bool:
        frame = self.decoder.next_message()
        if frame is None:
            return False
        if self.transport is not None:
            self.transport.resume_reading()
        self.on_message(parse_message(frame, FROM_AGENT))
        return True

    def on_message(self, message: Message) -> None:
        if self.welcome is None:
            if isinstance(message, Welcome):
                self.on_welcome(message)
            elif isinstance(message, Denied):
                self.denied = message
                self.end(f"denied ({message.code}): {message.text}")
            else:
                raise MessageError(f"expected welcome or denied, got {message.type}")
        elif isinstance(message, LeaseRenewal):
            self.renew_lease()
        elif isinstance(message, Command):
            self.renew_lease()
            self.on_command(message)
        else:
            raise MessageError(f"expected lease or command, got {message.type}")

    def on_welcome(self, welcome: Welcome) -> None:
        if welcome.beat_ms < 10 or welcome.lease_ms < welcome.beat_ms:
            raise MessageError(f"welcome: expected a lease over a heartbeat of 10 ms or more, got "
                               f"{welcome.lease_ms} and {welcome.beat_ms}")
        if welcome.term and welcome.term < self.client.term:
            # An agent that was suspended may not know yet that another one leads, and would send outdated commands.
            self.end(f"agent rejected: its term {welcome.term} is over, term {self.client.term} has begun")
            return
        self.client.term = max(self.client.term, welcome.term)
        self.welcome = welcome
        self.client.backoff.failures = self.client.failed_attempts = 0
        self.client.backoff.spread_s = min(600.0, welcome.spread_ms / 1000)
        self.renew_lease()
        self.client.on_donors(welcome.donors)
        # The first heartbeat is sent at a random time, so that thousands of instances that connected at the same moment
        # don't send their heartbeats at the same moment.
        self.heartbeat_timer = self.loop.call_later(
            self.client.backoff.random.random() * welcome.beat_ms / 1000, self.on_heartbeat_due)

    def renew_lease(self) -> None:
        """Starts the lease again, after a message from the agent."""
        assert self.welcome is not None
        self.silence_timer.cancel()
        self.silence_timer = self.loop.call_later(self.welcome.lease_ms / 1000, self.on_lease_expired)

    def on_lease_expired(self) -> None:
        self.lease_expired = True
        self.end("no message from the agent within the lease")

    def on_heartbeat_due(self) -> None:
        assert self.welcome is not None
        if not self.ended.is_set():
            self.heartbeat_timer = self.loop.call_later(self.welcome.beat_ms / 1000, self.on_heartbeat_due)
            if self.transport is None or self.transport.get_write_buffer_size() <= MAX_UNSENT_BYTES:
                self.run_accounted(self.send_heartbeat)

    def send_heartbeat(self) -> None:
        self.heartbeat_seq += 1
        self.send(Heartbeat(self.heartbeat_seq, self.client.report()))

    def on_command(self, command: Command) -> None:
        commands = self.client.commands
        admitted, answer = commands.admit(command)
        if admitted and command.kind == "inspect":
            self.pending_steps.append(partial(self.inspect, command.id, None, 0))
        elif admitted:
            self.client.on_fence_raised(commands.fence)
            answer = self.client.run_command(command)
            commands.record_result(answer)
            self.send(answer)
            self.send_heartbeat()  # the agent learns what the instance runs now from a report, not from the result
        elif answer is not None:
            self.send(answer)

    def inspect(self, command_id: str, upstreams: list[dict[str, Any]] | None, start: int) -> None:
        """Sends one part per step, so that a long list doesn't block the loop."""
        if upstreams is None:
            upstreams = self.client.instance.upstreams()
        more = start + UPSTREAMS_PER_PART < len(upstreams)
        self.send(CommandResult(command_id, "applied", "", None if more else self.client.report(),
                                upstreams[start:start + UPSTREAMS_PER_PART], more))
        if more:
            self.pending_steps.append(partial(self.inspect, command_id, upstreams, start + UPSTREAMS_PER_PART))

    def send(self, message: Message) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode_frame(serialize_message(message)))

    def connection_lost(self, exc: Exception | None) -> None:
        self.end("the connection was closed")

    def end(self, reason: str) -> None:
        """Closes the connection and keeps the reason for the log."""
        if not self.ended.is_set():
            self.end_reason = reason
            self.close()

    def close(self) -> None:
        self.ended.set()
        for handle in (self.silence_timer, self.step_timer, self.heartbeat_timer):
            if handle is not None:
                handle.cancel()
        if self.transport is not None:
            self.transport.close()  # data that was already written is still sent
