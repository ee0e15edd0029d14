"""An instance under two hands: the published configuration, and over it what an operation has rolled out."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ironscale.control.instance import Instance
from ironscale.control.messages import Report
from ironscale.versions.model import combine_patches


class Layered:
    """Passes on to an instance what both come to. An operation's overlay is the narrower: it goes before."""

    def __init__(self, instance: Instance, generation: int = 0, overlay: Mapping[str, Any] | None = None) -> None:
        """`generation` and `overlay`: of the operation that the instance was started with."""
        self.instance = instance
        self.generation, self.operated = generation, overlay or {}
        self.published: Mapping[str, Any] = {}

    def report(self, control_s: float) -> Report:
        return self.instance.report(control_s)

    def upstreams(self) -> list[dict[str, Any]]:
        return self.instance.upstreams()

    def drain(self, draining: bool) -> None:
        self.instance.drain(draining)

    def reconfigure(self, generation: int, overlay: Mapping[str, Any]) -> None:
        self.instance.reconfigure(generation, combine_patches(self.published, overlay))
        self.generation, self.operated = generation, overlay

    def publish(self, overlay: Mapping[str, Any]) -> None:
        """All or nothing. Raises Refused or RestartNeeded."""
        self.instance.reconfigure(self.generation, combine_patches(overlay, self.operated))
        self.published = overlay

    def stop(self) -> None:
        self.instance.stop()
