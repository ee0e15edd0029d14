"""The layers of a sidecar's configuration, and the one rule for how they combine into what is in force. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

DISCOVERY = "discovery"
ENVIRONMENT_KEYS = {"GW_NAME": "name", "GW_LISTEN": "listen", "GW_DISCOVERY": DISCOVERY}


def apply_merge_patch(base: Any, patch: Any) -> Any:
    """Returns `base` with a JSON merge patch (RFC 7396) applied; neither argument is modified."""
    if not isinstance(patch, Mapping):
        return patch
    result = dict(base) if isinstance(base, Mapping) else {}
    for name, value in patch.items():
        if value is None:
            result.pop(name, None)
        else:
            result[name] = apply_merge_patch(result.get(name), value)
    return result


def environment_layer(environ: Mapping[str, str]) -> dict[str, str]:
    """The keys of the configuration that environment variables set."""
    return {key: environ[variable] for variable, key in ENVIRONMENT_KEYS.items() if environ.get(variable)}


@dataclass(frozen=True, slots=True)
class ConfigLayers:
    """What a configuration is made of. Each layer takes precedence over those before it:

    - `document`, the configuration file as it was at the start; only its discovery follows later versions of the file;
    - `environment`, which sets discovery from the start until the file names another one;
    - `overlay`, a merge patch that agents replace as a whole. It can't change what the environment sets, except for
      discovery.
    """

    document: Mapping[str, Any]
    environment: Mapping[str, str] = field(default_factory=dict)
    generation: int = 0  # of the operation whose overlay is in force; 0 = none
    overlay: Mapping[str, Any] = field(default_factory=dict)

    def combined(self) -> dict[str, Any]:
        """The document that is in force."""
        environment = dict(self.environment)
        if self.overlay_names_discovery():
            environment.pop(DISCOVERY, None)
        return {**apply_merge_patch(self.document, self.overlay), **environment}

    def overlay_names_discovery(self) -> bool:
        return bool(self.overlay.get(DISCOVERY))

    def with_overlay(self, generation: int, overlay: Mapping[str, Any]) -> ConfigLayers:
        return replace(self, generation=generation, overlay=overlay)

    def with_file(self, document: Mapping[str, Any]) -> ConfigLayers:
        """The layers after the file was read again: only a discovery other than the last one that it named counts."""
        address = document.get(DISCOVERY)
        if not address or address == self.document.get(DISCOVERY):
            return self
        environment = {key: value for key, value in self.environment.items() if key != DISCOVERY}
        return replace(self, document={**self.document, DISCOVERY: address}, environment=environment)
