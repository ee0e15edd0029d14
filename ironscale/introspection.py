"""What the decisions can tell of themselves: to those who look, and to those who learn. Pure, and decides nothing."""

from __future__ import annotations

from collections.abc import Iterable

from ironscale import interface as api
from ironscale.balance import Balancer


def upstream_views(balancer: Balancer) -> list[api.UpstreamView]:
    """Each upstream as it stands now."""
    return [api.UpstreamView(i, s.entry.state, s.window.slots, s.used_slots,
                             s.window.usable_slots(balancer.now_us) == 0, balancer.warmth(s), s.failing,
                             s.patience_doublings > 1, s.min_latency_us)
            for i, s in balancer.upstreams.items()]


def learned_state(balancer: Balancer, idents: Iterable[int] | None = None) -> api.LearnedState:
    """What has been learned, of the upstreams `idents` (None: of all). What was recalled and not tested since is told
    as it was told to the balancer: with its time and whose it was."""
    upstreams = []
    for ident in balancer.upstreams if idents is None else idents:
        server = balancer.upstreams.get(ident)
        if server is None or (server.lesson is None and server.last_observed_us == 0):
            continue
        upstreams.append(server.lesson or api.LearnedUpstream(
            ident, server.entry.started_us, server.last_observed_us, server.window.slots, server.min_latency_us,
            server.failing, server.patience_doublings, server.next_cold_send_us))
    settings = balancer.settings
    classes = [api.LearnedClass(kind.name, latency.last_observed_us, latency.mean_us, latency.base_us)
               for kind, latency in zip(settings.classes, balancer.latency, strict=True) if latency.has_samples]
    seen = sum(balancer.tenant_arrivals)
    tenants = [(tenant.name, count / seen) for tenant, count in
               zip(settings.tenants, balancer.tenant_arrivals, strict=True) if count > 0.0]
    return api.LearnedState(balancer.now_us, settings.zone, balancer.window.slots if balancer.last_observed_us else 0.0,
                       balancer.last_observed_us, tuple(upstreams), tuple(classes), tuple(tenants))
