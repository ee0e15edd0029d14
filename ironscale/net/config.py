"""The configuration of a sidecar: reads the environment and JSON files into one validated `Config`."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from ironscale import settings
from ironscale.interface import Settings
from ironscale.net.config_layers import DISCOVERY, ENVIRONMENT_KEYS, ConfigLayers, environment_layer
from ironscale.net.listing import ListError, Listing, ListParser

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
    layers: ConfigLayers  # what this was made of


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
    """Validates a configuration without an overlay. Raises ConfigError."""
    return parse_layers(ConfigLayers(data, environment_layer(environ)))


def parse_layers(layers: ConfigLayers) -> Config:
    """Validates the configuration that the layers combine into. Raises ConfigError."""
    data = layers.combined()

    def required(key: str) -> str:
        if not data.get(key):
            variable = next(variable for variable, name in ENVIRONMENT_KEYS.items() if name == key)
            raise ConfigError(f"{variable} is not set and the configuration has no {key!r}")
        return str(data[key])

    raw, address_in_file = data.get("settings"), layers.document.get(DISCOVERY)
    if address_in_file:  # also if another layer hides it now
        parse_address(address_in_file, DISCOVERY)
    try:
        options = settings.flatten_object(raw)
        assert isinstance(raw, dict)
        directory = ListParser(_string_list(raw.get("areas")), _string_list(raw.get("kinds")))
        limits = data.get("limits") or {}
        sockets = int(limits.get("sockets", 1024))
        memory_mb = float(limits.get("memory_mb") or 0.0)
        if not 0.0 <= memory_mb < math.inf:
            raise ConfigError(f"limits.memory_mb: expected a size, got {memory_mb}")
        if sockets < LEAST_SOCKETS:
            raise ConfigError(f"limits.sockets: expected {LEAST_SOCKETS} or more, got {sockets}")
        known = directory.parse(data.get("known") or {"generation": 0, "reset": True, "instances": []})
        return Config(
            name=required("name"),
            listen=parse_address(required("listen"), "listen"),
            discovery=parse_address(required(DISCOVERY), DISCOVERY),
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
            layers=layers,
        )
    except settings.SettingsError as error:
        raise ConfigError(str(error)) from error
    except ListError as error:
        raise ConfigError(f"known: {error}") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"seed or limits: {error}") from error


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


def read_file(environ: Mapping[str, str]) -> dict[str, Any]:
    """Reads the file that GW_CONFIG names. Raises ConfigError."""
    path = environ.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG is not set")
    return read_json_object(path)


def load(environ: Mapping[str, str]) -> Config:
    """Reads the configuration at the start of a process. GW_OVERLAY, if set, names a file with `generation` and
    `overlay`. Raises ConfigError."""
    layers = ConfigLayers(read_file(environ), environment_layer(environ))
    overlay_path = environ.get("GW_OVERLAY")
    if not overlay_path:
        return parse_layers(layers)
    patch = read_json_object(overlay_path)
    generation, overlay = patch.get("generation"), patch.get("overlay")
    if type(generation) is not int or not isinstance(overlay, dict):
        raise ConfigError(f"{overlay_path}: expected a whole generation and an object overlay, got {patch!r:.80}")
    return parse_layers(layers.with_overlay(generation, overlay))


def reload_file(config: Config, environ: Mapping[str, str]) -> Config:
    """Reads the file again, and returns the configuration that is then in force: only discovery can differ. Raises
    ConfigError if a process could not start with the file and the overlay in force."""
    document = read_file(environ)
    parse_layers(replace(config.layers, document=document, environment=environment_layer(environ)))
    layers = config.layers.with_file(document)
    address = layers.combined().get(DISCOVERY)
    if not address:
        raise ConfigError(f"the overlay in force takes {DISCOVERY!r} away")
    return replace(config, layers=layers, discovery=parse_address(address, DISCOVERY))
