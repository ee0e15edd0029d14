"""Settings of the decisions for stand-in sites: three classes, one of each effect, with wide time limits."""

from __future__ import annotations

from typing import Any

SETTINGS: dict[str, Any] = {
    "accounts": [{"name": "north", "allowance-per-s": 100.0, "share": 0.5}],
    "areas": ["a", "b"], "kinds": ["large", "small"],
    "bounds": {"cancel": True, "conn-idle": 15_000_000, "dial-timeout": 2_000_000, "most-tries": 4,
               "max-retry-after": 1_000_000, "probes": False, "retry-after": True, "second-copies": True},
    "granularity": 4000, "instances": 1, "self-index": 0, "locality": 0, "weights": "none",
    "invariants": {"ask-within": 10_000_000, "cold-share": 0.13, "fall": 1_000_000,
                   "overload-factor": 2.5, "warm-up": 24_000_000},
    "registry-mode": "on_request", "report": {"how": "none", "names": []}, "value-by": "request",
    "request-classes": [
        {"name": "view", "aim": 4_000_000, "deadline": 8_000_000, "worth": 1.0, "effect": "idempotent"},
        {"name": "pay", "aim": 4_000_000, "deadline": 8_000_000, "worth": 5.0,
         "effect": "at_most_once"},
        {"name": "mark", "aim": 4_000_000, "deadline": 8_000_000, "worth": 3.0,
         "effect": "deduplicated", "group": "cell", "memory-span": 1_200_000},
    ],
}
