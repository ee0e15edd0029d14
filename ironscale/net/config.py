"""The configuration of a sidecar at its start: reads the environment and JSON files into one validated `Config`."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from ironscale import settings
from ironscale.interface import Settings
from ironscale.net.discovery import ListError, Listing, ListParser

Address = tuple[str, int]
LEAST_SOCKETS = 64
# A shared discovery service handles calls one after another. The settings don't say how long a call may wait there; at
# one customer's it is 3 s.
CALL_US = 3_300_000
LEAST_ANSWER_US, MOST_ANSWER_US = 250_000, 1_000_000  # limits for an agent on this machine, which answers at once


class ConfigError(Exception):
    """An invalid configuration. The message is one line."""


@dataclass(slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    file_discovery: Address | None  # used by a reload, because the environment can't change
    seed: int
    sockets: int  # limit on open file descriptors of the process
    memory_mb: float  # limit on the resident memory of the process; 0 if it is not known
    settings: Settings
    report_fields: list[str]  # names of the fields in the load reports of answers
    discovery_timeout_us: int  # a call that discovery has not answered by then counts as failed
    drain_grace_us: int  # how long after a drain was told requests may still be sent
    upstream_idle_timeout_us: int  # an upstream closes a connection that was idle for this long
    directory: ListParser  # parses the lists of discovery, with the zone and machine type names of the settings
    last_known_list: Listing  # the last known list of upstreams; may be empty or outdated
    document: Mapping[str, Any]  # the JSON document that this was read from
    generation: int = 0  # generation of the overlay that the process started with; 0 if there is none
    overlay: Mapping[str, Any] = field(default_factory=dict)


def parse_address(text: object, what: str) -> Address:
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) <= 65535:
        raise ConfigError(f"{what}: expected HOST:PORT, got {text!r}")
    return host, int(port)


def _string_list(value: object) -> list[str]:
    return [str(name) for name in value] if isinstance(value, list) else []


def _drain_grace_us(options: settings.Options) -> int:
    return options.integer("invariants.drain-grace", "1000000")


def _answer_timeout_us(options: settings.Options) -> int:
    """Returns how long a call to discovery may wait for its answer. For an agent on this machine it is short: what the
    agent knows counts as known to the sidecar, even while the agent is silent and as soon as it is back."""
    if options.string("registry-mode") == "on_request":
        return CALL_US
    return min(max(_drain_grace_us(options) // 2, LEAST_ANSWER_US), MOST_ANSWER_US)


def parse(data: Mapping[str, Any], environ: Mapping[str, str]) -> Config:
    """Validates the document. Name and addresses in the environment take precedence. Raises ConfigError."""

    def required(variable: str, key: str) -> str:
        value = environ.get(variable) or data.get(key)
        if not value:
            raise ConfigError(f"{variable} is not set and the configuration has no {key!r}")
        return str(value)

    raw = data.get("settings")
    try:
        options = settings.flatten_object(raw)
        assert isinstance(raw, dict)
        directory = ListParser(_string_list(raw.get("areas")), _string_list(raw.get("kinds")))
        address_in_file = data.get("discovery")
        limits = data.get("limits") or {}
        sockets = int(limits.get("sockets", 1024))
        memory_mb = float(limits.get("memory_mb") or 0.0)
        if not 0.0 <= memory_mb < math.inf:
            raise ConfigError(f"limits.memory_mb: expected a size, got {memory_mb}")
        if sockets < LEAST_SOCKETS:
            raise ConfigError(f"limits.sockets: expected {LEAST_SOCKETS} or more, got {sockets}")
        known = directory.parse(data.get("known") or {"generation": 0, "reset": True, "instances": []})
        return Config(
            name=required("GW_NAME", "name"),
            listen=parse_address(required("GW_LISTEN", "listen"), "listen"),
            discovery=parse_address(required("GW_DISCOVERY", "discovery"), "discovery"),
            file_discovery=parse_address(address_in_file, "discovery") if address_in_file else None,
            seed=int(str(data.get("seed", "0")), 16),
            sockets=sockets,
            memory_mb=memory_mb,
            settings=replace(settings.read_settings(options), list_by_watch=True),
            report_fields=[name for name in options.string("report.names", "").split(",") if name],
            discovery_timeout_us=_answer_timeout_us(options),
            drain_grace_us=_drain_grace_us(options),
            upstream_idle_timeout_us=options.integer("bounds.conn-idle", "15000000"),
            directory=directory,
            last_known_list=known,
            document=data,
        )
    except settings.SettingsError as error:
        raise ConfigError(str(error)) from error
    except ListError as error:
        raise ConfigError(f"known: {error}") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"seed or limits: {error}") from error


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


def read_json_object(path: str) -> dict[str, Any]:
    """Reads a JSON file that holds an object. Raises ConfigError."""
    try:
        with open(path, encoding="utf-8") as file:
            data = json.load(file)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from error
    if not isinstance(data, dict):
        raise ConfigError(f"{path}: expected a JSON object")
    return data


def load(environ: Mapping[str, str]) -> Config:
    """Reads the file that GW_CONFIG names. GW_OVERLAY, if set, names a file with `generation` and `overlay`, a JSON
    merge patch for the first file. Raises ConfigError."""
    path = environ.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG is not set")
    base = read_json_object(path)
    patch_path = environ.get("GW_OVERLAY")
    if not patch_path:
        return parse(base, environ)
    patch = read_json_object(patch_path)
    generation, overlay = patch.get("generation"), patch.get("overlay")
    if type(generation) is not int or not isinstance(overlay, dict):
        raise ConfigError(f"{patch_path}: expected a whole generation and an object overlay, got {patch!r:.80}")
    return replace(parse(apply_merge_patch(base, overlay), environ), document=base, generation=generation,
                   overlay=overlay)
