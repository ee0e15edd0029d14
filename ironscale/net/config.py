"""What a sidecar is told at its start: environment and JSON file into one checked `Config`."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from ironscale import settings
from ironscale.interface import Settings
from ironscale.net.discovery import Directory, ListError, Listing

Address = tuple[str, int]
LEAST_SOCKETS = 64
# A shared discovery works at calls in turn; the settings don't say for how long one may wait (3 s at one customer's).
CALL_US = 3_300_000
LEAST_ANSWER_US, MOST_ANSWER_US = 250_000, 1_000_000  # of an agent on this machine, which answers at once


class ConfigError(Exception):
    """A configuration that cannot be used; the text is one line."""


@dataclass(slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    file_discovery: Address | None  # a reload goes by this: the environment can't change
    seed: int
    sockets: int  # file descriptors that the process may hold
    settings: Settings
    report_fields: list[str]  # as answers' load reports name them
    discovery_timeout_us: int  # discovery answers a call within so long, or it will not
    upstream_idle_timeout_us: int  # an upstream closes a connection that has been idle for this long
    directory: Directory  # reads discovery's lists with the settings' zone and kind names
    last_known_list: Listing  # the list as last known; may be empty or old
    document: Mapping[str, Any]  # the JSON that all this was read from
    generation: int = 0  # of the overlay that it was started with; 0 = none
    overlay: Mapping[str, Any] = field(default_factory=dict)


def parse_address(text: object, what: str) -> Address:
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) <= 65535:
        raise ConfigError(f"{what}: expected HOST:PORT, got {text!r}")
    return host, int(port)


def _names(value: object) -> list[str]:
    return [str(name) for name in value] if isinstance(value, list) else []


def _answer_us(options: settings.Options) -> int:
    """Hazard: what an agent on this machine has counts as told, also while it is silent and as soon as it is back."""
    if options.string("registry-mode") == "on_request":
        return CALL_US
    grace_us = options.integer("invariants.drain-grace", "1000000")
    return min(max(grace_us // 2, LEAST_ANSWER_US), MOST_ANSWER_US)


def parse(data: Mapping[str, Any], environ: Mapping[str, str]) -> Config:
    """The environment's name and addresses go before those in the file."""

    def told(variable: str, key: str) -> str:
        value = environ.get(variable) or data.get(key)
        if not value:
            raise ConfigError(f"{variable} is not set and the configuration has no {key!r}")
        return str(value)

    raw = data.get("settings")
    try:
        options = settings.flatten_object(raw)
        assert isinstance(raw, dict)
        directory = Directory(_names(raw.get("areas")), _names(raw.get("kinds")))
        in_file = data.get("discovery")
        sockets = int((data.get("limits") or {}).get("sockets", 1024))
        if sockets < LEAST_SOCKETS:
            raise ConfigError(f"limits.sockets: expected {LEAST_SOCKETS} or more, got {sockets}")
        known = directory.read(data.get("known") or {"generation": 0, "reset": True, "instances": []})
        return Config(
            name=told("GW_NAME", "name"),
            listen=parse_address(told("GW_LISTEN", "listen"), "listen"),
            discovery=parse_address(told("GW_DISCOVERY", "discovery"), "discovery"),
            file_discovery=parse_address(in_file, "discovery") if in_file else None,
            seed=int(str(data.get("seed", "0")), 16),
            sockets=sockets,
            settings=replace(settings.read_settings(options), list_by_watch=True),
            report_fields=[name for name in options.string("report.names", "").split(",") if name],
            discovery_timeout_us=_answer_us(options),
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
    """`base` with a JSON merge patch (RFC 7396) on it; neither is changed."""
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
    """GW_CONFIG names the file; GW_OVERLAY, if set, one of `generation` and `overlay`, a patch on the first."""
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
