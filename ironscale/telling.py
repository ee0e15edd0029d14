"""Introspection of the decision module: the state of each upstream for monitoring, and everything learned, for
storing or sharing it. Pure functions; they change no state."""

from __future__ import annotations

from collections.abc import Iterable

from ironscale import interface as api
from ironscale.balance import Balancer


def upstream_views(balancer: Balancer) -> list[api.UpstreamView]:
    """The current state of each upstream."""
    return [api.UpstreamView(i, s.entry.state, s.window.slots, s.used, s.window.open(balancer.now_us) == 0,
                             balancer.warmth(s), s.failing, s.mute > 1, s.least_us)
            for i, s in balancer.servers.items()]


def learned_state(balancer: Balancer, upstream_ids: Iterable[int] | None = None) -> api.LearnedState:
    """Everything learned, about the upstreams `idents` (None: all). What the balancer was given and has not tested
    since is returned unchanged, with its original time and source."""
    upstreams = []
    for upstream_id in balancer.servers if upstream_ids is None else upstream_ids:
        upstream = balancer.servers.get(upstream_id)
        if upstream is None or (upstream.lesson is None and upstream.confirmed_us == 0):
            continue
        upstreams.append(upstream.lesson or api.LearnedUpstream(
            upstream_id, upstream.entry.started_us, upstream.confirmed_us, upstream.window.slots, upstream.least_us,
            upstream.failing, upstream.mute, upstream.next_cold_us))
    settings = balancer.settings
    classes = [api.LearnedClass(request_class.name, latency.confirmed_us, latency.mean_us, latency.base_us)
               for request_class, latency in zip(settings.classes, balancer.latency, strict=True) if latency.seen]
    total = sum(balancer.tenant_seen)
    tenants = [(tenant.name, count / total) for tenant, count in
               zip(settings.tenants, balancer.tenant_seen, strict=True) if count > 0.0]
    return api.LearnedState(balancer.now_us, settings.zone, balancer.window.slots if balancer.confirmed_us else 0.0,
                       balancer.confirmed_us, tuple(upstreams), tuple(classes), tuple(tenants))
