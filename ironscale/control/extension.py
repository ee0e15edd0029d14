"""Runs the agent client alongside a sidecar if the operator file names an agent."""

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

from ironscale.control.client import AgentClient, Identity
from ironscale.control.instance import SidecarInstance
from ironscale.control.layers import LayeredInstance
from ironscale.control.processes import machine_boot_id, start_ticks
from ironscale.net.process import Extension
from ironscale.net.sidecar import Sidecar
from ironscale.operator_file import ControlConfig, VersionsConfig, read_secret
from ironscale.tasks import log_failure

if TYPE_CHECKING:
    from ironscale.control.follower import Follower


def package_version() -> str:
    """The installed version of this package; "0" if it isn't installed."""
    try:
        return metadata.version("ironscale")
    except metadata.PackageNotFoundError:  # runs from a source checkout
        return "0"


def create_client(sidecar: Sidecar, control: ControlConfig, token: str, environ: Mapping[str, str],
                  end: Callable[[], None]) -> tuple[AgentClient, LayeredInstance]:
    """The client for a running sidecar, and the layered instance that it controls. `end` shuts the sidecar down."""
    host, port = sidecar.config.listen
    identity = Identity(
        name=sidecar.config.name, boot=environ.get("GW_BOOT") or secrets.token_hex(8), pid=os.getpid(),
        version=package_version(), started_ms=time.time_ns() // 1_000_000, zone=control.zone,
        listen=f"{host}:{sidecar.port or port}", token=token, replaces=environ.get("GW_REPLACES", ""),
        host=machine_boot_id(), ticks=start_ticks(os.getpid()) or 0)
    instance = SidecarInstance(sidecar, end)
    layered = LayeredInstance(instance, sidecar.config.layers.generation, sidecar.config.layers.overlay)
    client = AgentClient(layered, identity, control.agents[0], random.Random(secrets.randbits(64)),
                         others=control.agents[1:])

    def report_fence(fence: int) -> None:
        instance.fence = fence

    client.on_fence_raised = report_fence
    return client, layered


def create_follower(layered: LayeredInstance, identity: Identity, versions: VersionsConfig) -> Follower:
    """The follower of published versions. Raises OperatorFileError if its token can't be read."""
    from ironscale.control.follower import Follower, FollowerIdentity
    from ironscale.versions.model import Labels

    labels = Labels(identity.name, versions.service, versions.zone or identity.zone, versions.region)
    token = read_secret(versions.token_file) if versions.token_file is not None else identity.token
    return Follower(layered, FollowerIdentity(labels, identity.boot, token, versions.agents),
                    random.Random(secrets.randbits(64)))


class LearnedStateExchange(Protocol):
    """Exchange of learned state between sidecars: the agent tells new instances which others hand out theirs."""

    def serving_address(self) -> str:
        """HOST:PORT where new instances can fetch this instance's learned state; empty if it is not served."""

    def offer_donors(self, donors: list[str]) -> None:
        """Receives the HOST:PORT of instances that serve their learned state."""


def control_extension(
    control: ControlConfig,
    environ: Mapping[str, str],
    learned_state: LearnedStateExchange | None = None,
    versions: VersionsConfig | None = None,
) -> Extension:
    """The extension that runs the control channel while the sidecar runs. Raises OperatorFileError if a token can't be
    read now; the client retries after any later failure."""
    token = read_secret(control.token_file)
    if versions is not None and versions.token_file is not None:
        read_secret(versions.token_file)

    @contextlib.asynccontextmanager
    async def run_client(sidecar: Sidecar, end: Callable[[], None]) -> AsyncIterator[None]:
        client, layered = create_client(sidecar, control, token, environ, end)
        if learned_state is not None:
            client.learned_state_address, client.on_donors = learned_state.serving_address, learned_state.offer_donors
        tasks = [asyncio.create_task(log_failure(client.run()))]
        if versions is not None:
            tasks.append(asyncio.create_task(log_failure(create_follower(layered, client.identity, versions).run())))
        try:
            yield
        finally:
            client.send_goodbye("ended")
            for task in tasks:
                task.cancel()
            for task in tasks:
                with contextlib.suppress(asyncio.CancelledError):
                    await task

    return run_client
