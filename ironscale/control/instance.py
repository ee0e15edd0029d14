"""The interface through which an instance is controlled, and its implementation for a real sidecar."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from ironscale import interface as api
from ironscale.control.messages import ClassCounts, Report
from ironscale.introspection import upstream_views
from ironscale.net.config import ConfigError
from ironscale.net.listing import ListParser
from ironscale.net.sidecar import RestartRequired, Sidecar

# Keys that differ for each instance, so an overlay for many instances can't set them.
PER_INSTANCE_KEYS = ("name", "listen", "seed", "known")
PER_INSTANCE_SETTINGS = ("self-index",)
OUTCOMES = ("served", "refused", "failed")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class ChangeRefused(Exception):
    """The instance refuses the change, and nothing has changed; the error text is a single line."""


class RestartNeeded(Exception):
    """The change is valid but needs a new process; nothing has changed."""


class Instance(Protocol):
    """What the agent's commands act on. Each call is short, and has taken effect when it returns."""

    def report(self, control_s: float) -> Report:
        """The current state. `control_s`: CPU seconds that control work has used."""
        ...

    def upstreams(self) -> list[dict[str, Any]]:
        """Each upstream as the load balancer sees it, for `inspect`."""

    def drain(self, draining: bool) -> None: ...

    def reconfigure(self, generation: int, overlay: Mapping[str, Any]) -> None:
        """Replaces the overlay, or changes nothing and raises ChangeRefused or RestartNeeded."""

    def stop(self) -> None: ...


def describe_registration(entry: api.Upstream, directory: ListParser) -> dict[str, Any]:
    """What discovery says about an upstream, with the configured names in place of numbers."""
    zones, kinds = list(directory.zones.configured), list(directory.kinds.configured)
    return {"zone": zones[entry.zone] if entry.zone < len(zones) else "",
            "kind": kinds[entry.kind] if entry.kind < len(kinds) else "", "group": str(entry.cell),
            "weight": entry.weight, "startedUs": entry.started_us}


def check_overlay(overlay: Mapping[str, Any]) -> None:
    """Raises ChangeRefused if the overlay sets a key that differs for each instance."""
    for key in PER_INSTANCE_KEYS:
        if key in overlay:
            raise ChangeRefused(f"{key}: expected no key that each instance has of its own, "
                                f"got {overlay[key]!r:.60}")
    settings = overlay.get("settings", {})
    if not isinstance(settings, Mapping):
        raise ChangeRefused(f"settings: expected an object, got {settings!r:.60}")
    for key in PER_INSTANCE_SETTINGS:
        if key in settings:
            raise ChangeRefused(f"settings.{key}: expected no key that each instance has of its own, "
                                f"got {settings[key]!r:.60}")


def resident_memory_kb() -> int:
    """The resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES // 1024


class SidecarInstance:
    """Controls a running sidecar. `end` shuts it down."""

    def __init__(self, sidecar: Sidecar, end: Callable[[], None]) -> None:
        self.sidecar = sidecar
        self.shut_down = end
        self.fence = 0

    def report(self, control_s: float) -> Report:
        sidecar = self.sidecar
        views = upstream_views(sidecar.balancer)
        ready = [view for view in views if view.state is api.UpstreamState.READY]
        return Report(
            generation=sidecar.config.layers.generation, fence=self.fence,
            ready=sidecar.is_ready() and not sidecar.server.stopping,
            draining=sidecar.draining or sidecar.server.stopping,
            open=len(sidecar.requests), connections=len(sidecar.server.connections),
            upstreams=len(views), upstreams_ready=len(ready),
            upstreams_resting=sum(view.resting for view in ready),
            upstreams_cold=sum(view.cold for view in ready),
            classes=[ClassCounts(c.name, *(sidecar.answers[i, what] for what in OUTCOMES))
                     for i, c in enumerate(sidecar.config.settings.classes)],
            refusals={reason or "not told": count for reason, count in sidecar.refusals.items()},
            cpu_s=time.process_time(), control_cpu_s=control_s, memory_kb=resident_memory_kb(),
            descriptors=len(os.listdir("/proc/self/fd")),
        )

    def upstreams(self) -> list[dict[str, Any]]:
        pools, directory = self.sidecar.upstreams.pools, self.sidecar.config.directory
        servers = self.sidecar.balancer.upstreams
        return [{
            "name": pools[view.id].member.name if view.id in pools else str(view.id),
            **describe_registration(servers[view.id].entry, directory), "warmth": round(view.warm_fraction, 4),
            "state": view.state.value, "slots": round(view.slots, 3), "used": view.used,
            "resting": view.resting, "cold": view.cold, "failing": view.failing, "mute": view.unresponsive,
            "leastMs": round(view.min_latency_us / 1000, 3),
        } for view in upstream_views(self.sidecar.balancer)]

    def drain(self, draining: bool) -> None:
        if self.sidecar.server.stopping:
            raise ChangeRefused("the process is ending")
        self.sidecar.drain(draining)

    def reconfigure(self, generation: int, overlay: Mapping[str, Any]) -> None:
        if self.sidecar.server.stopping:
            raise ChangeRefused("the process is ending")
        check_overlay(overlay)
        try:
            self.sidecar.reconfigure(generation, overlay)
        except ConfigError as error:
            raise ChangeRefused(str(error)) from error
        except RestartRequired as error:
            raise RestartNeeded(str(error)) from error

    def stop(self) -> None:
        self.shut_down()
