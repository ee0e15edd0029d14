"""Runs the client beside a started sidecar, where the operator file names an agent."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import secrets
import time
from collections.abc import AsyncIterator, Callable, Mapping
from importlib import metadata
from typing import TYPE_CHECKING, Protocol

from ironscale.control.client import Client, Identity
from ironscale.control.instance import SidecarInstance
from ironscale.control.layers import Layered
from ironscale.control.processes import machine, start_ticks
from ironscale.net.sidecar import Extension, Sidecar
from ironscale.operator_file import ControlConfig, VersionsConfig, read_secret
from ironscale.tasks import log_failure

if TYPE_CHECKING:
    from ironscale.control.follower import Follower


def version() -> str:
    try:
        return metadata.version("ironscale")
    except metadata.PackageNotFoundError:  # started from a checkout
        return "0"


def client_for(sidecar: Sidecar, control: ControlConfig, token: str, environ: Mapping[str, str],
               end: Callable[[], None]) -> tuple[Client, Layered]:
    host, port = sidecar.config.listen
    identity = Identity(
        name=sidecar.config.name, boot=environ.get("GW_BOOT") or secrets.token_hex(8), pid=os.getpid(),
        version=version(), started_ms=time.time_ns() // 1_000_000, zone=control.zone,
        listen=f"{host}:{sidecar.port or port}", token=token, replaces=environ.get("GW_REPLACES", ""),
        host=machine(), ticks=start_ticks(os.getpid()) or 0)
    instance = SidecarInstance(sidecar, end)
    layered = Layered(instance, sidecar.generation, sidecar.overlay)
    client = Client(layered, identity, control.agents[0], random.Random(secrets.randbits(64)),
                    others=control.agents[1:])

    def report_fence(fence: int) -> None:
        instance.fence = fence

    client.report_fence = report_fence
    return client, layered


def follower_for(layered: Layered, identity: Identity, versions: VersionsConfig) -> Follower:
    """Raises OperatorFileError where its token can't be read."""
    from ironscale.control.follower import Follower, Follows
    from ironscale.versions.model import Labels

    labels = Labels(identity.name, versions.service, versions.zone or identity.zone, versions.region)
    token = read_secret(versions.token_file) if versions.token_file is not None else identity.token
    return Follower(layered, Follows(labels, identity.boot, token, versions.agents),
                    random.Random(secrets.randbits(64)))


class Teaching(Protocol):
    """What passes on what a sidecar has learned: an agent tells newcomers where others teach."""

    def teaches(self) -> str:
        """HOST:PORT where newcomers ask this instance; empty if nowhere."""

    def offer(self, donors: list[str]) -> None:
        """HOST:PORT of instances that teach."""


def beside(control: ControlConfig, environ: Mapping[str, str], teaching: Teaching | None = None,
           versions: VersionsConfig | None = None) -> Extension:
    """Raises OperatorFileError where the token can't be read; later failures are the client's to outlive."""
    token = read_secret(control.token_file)
    if versions is not None and versions.token_file is not None:
        read_secret(versions.token_file)

    @contextlib.asynccontextmanager
    async def running(sidecar: Sidecar, end: Callable[[], None]) -> AsyncIterator[None]:
        client, layered = client_for(sidecar, control, token, environ, end)
        if teaching is not None:
            client.teaches, client.on_donors = teaching.teaches, teaching.offer
        tasks = [asyncio.create_task(log_failure(client.run()))]
        if versions is not None:
            tasks.append(asyncio.create_task(log_failure(follower_for(layered, client.identity, versions).run())))
        try:
            yield
        finally:
            client.bye("ended")
            for task in tasks:
                task.cancel()
            for task in tasks:
                with contextlib.suppress(asyncio.CancelledError):
                    await task

    return running
