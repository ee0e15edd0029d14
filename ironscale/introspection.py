"""Introspection of the decision module: the state of each upstream for monitoring, and everything learned, for
storing or sharing it. Pure functions; they change no state."""

from __future__ import annotations

from collections.abc import Iterable

from ironscale import interface as api
from ironscale.balance import Balancer


def upstream_views(balancer: Balancer) -> list[api.UpstreamView]:
    """The current state of each upstream."""
    return [api.UpstreamView(i, s.entry.state, s.window.slots, s.used_slots,
                             s.window.usable_slots(balancer.now_us) == 0, balancer.warmth(s), s.failing,
                             s.patience_doublings > 1, s.min_latency_us)
            for i, s in balancer.upstreams.items()]


def learned_state(balancer: Balancer, upstream_ids: Iterable[int] | None = None) -> api.LearnedState:
    """Everything learned, about the upstreams `upstream_ids` (None: all). What the balancer was given and has not
    tested since is returned unchanged, with its original time and source."""
    upstreams = []
    for upstream_id in balancer.upstreams if upstream_ids is None else upstream_ids:
        upstream = balancer.upstreams.get(upstream_id)
        if upstream is None or (upstream.lesson is None and upstream.last_observed_us == 0):
            continue
        upstreams.append(
            upstream.lesson
            or api.LearnedUpstream(
                upstream_id,
                upstream.entry.started_us,
                upstream.last_observed_us,
                upstream.window.slots,
                upstream.min_latency_us,
                upstream.failing,
                upstream.patience_doublings,
                upstream.next_cold_send_us,
            )
        )
    settings = balancer.settings
    classes = [
        api.LearnedClass(request_class.name, latency.last_observed_us, latency.mean_us, latency.base_us)
        for request_class, latency in zip(settings.classes, balancer.latency, strict=True)
        if latency.has_samples
    ]
    total = sum(balancer.tenant_arrivals)
    tenants = [(tenant.name, count / total) for tenant, count in
               zip(settings.tenants, balancer.tenant_arrivals, strict=True) if count > 0.0]
    return api.LearnedState(balancer.now_us, settings.zone, balancer.window.slots if balancer.last_observed_us else 0.0,
                       balancer.last_observed_us, tuple(upstreams), tuple(classes), tuple(tenants))
