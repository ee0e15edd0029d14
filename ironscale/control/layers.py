"""Combines two sources of an instance's overlay: the published configuration and the operation that was rolled out."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ironscale.control.instance import Instance
from ironscale.control.messages import Report
from ironscale.versions.model import combine_patches


class LayeredInstance:
    """Applies the merged overlays to an instance. The operation's overlay is the more specific one, so it takes
    precedence over the published one."""

    def __init__(self, instance: Instance, generation: int = 0, overlay: Mapping[str, Any] | None = None) -> None:
        """`generation` and `overlay` belong to the operation that the instance was started with."""
        self.instance = instance
        self.generation, self.operation_overlay = generation, overlay or {}
        self.published_overlay: Mapping[str, Any] = {}

    def report(self, control_s: float) -> Report:
        return self.instance.report(control_s)

    def upstreams(self) -> list[dict[str, Any]]:
        return self.instance.upstreams()

    def drain(self, draining: bool) -> None:
        self.instance.drain(draining)

    def reconfigure(self, generation: int, overlay: Mapping[str, Any]) -> None:
        """Replaces the operation's overlay, or changes nothing and raises ChangeRefused or RestartNeeded."""
        self.instance.reconfigure(generation, combine_patches(self.published_overlay, overlay))
        self.generation, self.operation_overlay = generation, overlay

    def publish(self, overlay: Mapping[str, Any]) -> None:
        """Replaces the published overlay, or changes nothing and raises ChangeRefused or RestartNeeded."""
        self.instance.reconfigure(self.generation, combine_patches(overlay, self.operation_overlay))
        self.published_overlay = overlay

    def stop(self) -> None:
        self.instance.stop()
