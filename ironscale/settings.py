"""Reads the operator's `Settings` from the simulator's path=value lines or from the JSON configuration."""

from __future__ import annotations

import math

from ironscale import interface as api

# Values of load reports: the name in the settings, and the name used here. Other names are kept as they are.
_REPORT_NAMES = {"rif": "in_flight", "q": "queued", "busy": "utilization", "lat_ms": "latency_ms",
                 "rate": "served_per_s", "fail_rate": "errors_per_s"}


class SettingsError(Exception):
    """A setting cannot be read; the text is one line."""


class Options:
    """Settings as pairs of a path and a text. The readers check and convert; they raise SettingsError. Without a
    default a setting is required."""

    def __init__(self, pairs: dict[str, str]) -> None:
        self.pairs = pairs

    def string(self, path: str, default: str | None = None) -> str:
        value = self.pairs.get(path, default)
        if value is None:
            raise SettingsError(f"setting {path} is missing")
        return value

    def number(self, path: str, default: str | None = None) -> float:
        value = self.string(path, default)
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if not math.isfinite(number):
            raise SettingsError(f"setting {path}: expected a number, got {value!r}")
        return number

    def integer(self, path: str, default: str | None = None) -> int:
        number = self.number(path, default)
        if number != int(number):
            raise SettingsError(f"setting {path}: expected a whole number, got {self.string(path, default)!r}")
        return int(number)

    def choice(self, path: str, choices: tuple[str, ...], default: str | None = None) -> str:
        value = self.string(path, default)
        if value not in choices:
            raise SettingsError(f"setting {path}: expected one of {', '.join(choices)}, got {value!r}")
        return value

    def boolean(self, path: str, default: str | None = None) -> bool:
        return self.choice(path, ("true", "false"), default) == "true"


def parse_text(text: str) -> Options:
    """Parses `path=value` lines. Raises SettingsError."""
    pairs: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        path, equals, value = line.partition("=")
        if not equals or not path:
            raise SettingsError(f"settings line {number}: expected path=value, got {line!r}")
        pairs[path] = value
    return Options(pairs)


def flatten_object(value: object) -> Options:
    """Flattens a JSON object to the same paths as in text: a list of objects becomes `PATH.count`, `PATH.0`,
    `PATH.1` ..., any other list a text with commas. Raises SettingsError."""
    if not isinstance(value, dict):
        raise SettingsError(f"settings: expected an object, got {type(value).__name__}")
    pairs: dict[str, str] = {}
    _flatten("", value, pairs)
    return Options(pairs)


def _flatten(path: str, value: object, pairs: dict[str, str]) -> None:
    if isinstance(value, dict):
        for name, member in value.items():
            _flatten(f"{path}.{name}" if path else str(name), member, pairs)
    elif isinstance(value, list) and any(isinstance(member, dict) for member in value):
        pairs[f"{path}.count"] = str(len(value))
        for index, member in enumerate(value):
            _flatten(f"{path}.{index}", member, pairs)
    elif isinstance(value, list):
        pairs[path] = ",".join(map(str, value))
    elif isinstance(value, bool):
        pairs[path] = "true" if value else "false"
    elif value is not None:
        pairs[path] = str(value)


def _read_class(options: Options, prefix: str) -> api.RequestClass:
    return api.RequestClass(
        name=options.string(prefix + "name"),
        aim_us=options.integer(prefix + "aim"),
        deadline_us=options.integer(prefix + "deadline"),
        worth=options.number(prefix + "worth"),
        late_worth=options.number(prefix + "late-worth", "0"),
        aim_stretch=options.number(prefix + "aim-stretch", "0"),
        effect=options.choice(prefix + "effect", api.EFFECTS),
        group=options.choice(prefix + "group", api.GROUPS, "all"),
        dedup_memory_us=options.integer(prefix + "memory-span", "0"),
        stream=options.boolean(prefix + "stream", "false"),
    )


def _read_tenant(options: Options, prefix: str) -> api.Tenant:
    return api.Tenant(options.string(prefix + "name"), options.number(prefix + "allowance-per-s"),
                      options.number(prefix + "share", "0"))


def read_settings(options: Options) -> api.Settings:
    """The settings of one instance; unknown paths are ignored. Raises SettingsError."""
    try:
        return api.Settings(
            classes=[_read_class(options, f"request-classes.{i}.")
                     for i in range(options.integer("request-classes.count"))],
            tenants=[_read_tenant(options, f"accounts.{i}.") for i in range(options.integer("accounts.count", "0"))],
            over_share_worth=options.number("over-share-worth", "1"),
            worth_by_work=options.choice("value-by", ("request", "work"), "request") == "work",
            instances=options.integer("instances"),
            self_index=options.integer("self-index", "0"),
            zone=options.integer("locality", "0"),
            tick_us=options.integer("granularity"),
            max_attempts=options.integer("bounds.most-tries"),
            max_retry_after_us=options.integer("bounds.max-retry-after", "0"),
            connect_timeout_us=options.integer("bounds.dial-timeout", "0"),
            retry_after=options.boolean("bounds.retry-after"),
            cancel=options.boolean("bounds.cancel"),
            probes=options.boolean("bounds.probes"),
            hedging=options.boolean("bounds.second-copies"),
            list_on_request=options.choice("registry-mode", ("pushed", "on_request")) == "on_request",
            ask_within_us=options.integer("invariants.ask-within", "0"),
            cold_share=options.number("invariants.cold-share"),
            warm_up_us=options.integer("invariants.warm-up"),
            overload_factor=options.number("invariants.overload-factor"),
            fall_us=options.integer("invariants.fall"),
            cross_zone_fee=options.number("fees.cross-zone", "0"),
            report_names=[_REPORT_NAMES.get(name, name)
                          for name in options.string("report.names", "").split(",") if name],
            weighted=options.string("weights", "none") != "none",
        )
    except ValueError as error:
        raise SettingsError(f"settings: {error}") from error
