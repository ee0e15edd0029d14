"""The load balancer's decisions during a drain and after a settings change, without sockets."""

from __future__ import annotations

import pytest

from ironscale.interface import (
    DrainChanged,
    Fail,
    Outcome,
    Refuse,
    RequestClass,
    Settings,
    SettingsChanged,
    Tenant,
    Upstream,
    restart_only_change,
)
from ironscale.introspection import upstream_views
from tests.balancer_harness import settings
from tests.test_slots import MARK, PAY, READ, fill_slots, ready_world


def test_a_drained_sidecar_refuses_new_requests_and_answers_accepted_ones() -> None:
    world = ready_world(4)
    taken = world.new_request(PAY)
    world.deliver(DrainChanged(True))
    new = world.new_request(READ)
    refusal = world.answer(new)
    assert isinstance(refusal, Refuse) and refusal.reason == "draining" and refusal.retry_after_us > 0
    assert not world.sends(new) and world.answer(taken) is None
    world.end_attempt(taken, 0, Outcome.OK)
    assert world.requests[taken].answers == 1
    world.deliver(DrainChanged(False))
    assert world.sends(world.new_request(READ))


def test_requests_buffered_when_the_drain_began_are_sent() -> None:
    world = ready_world(2)
    waiting = fill_slots(world)[-1]
    world.deliver(DrainChanged(True))
    world.end_attempt(world.sends()[0].request, 0, Outcome.OK)
    assert world.sends(waiting)


def test_accepted_requests_are_retried_during_a_drain() -> None:
    world = ready_world(4)
    taken = world.new_request(READ)
    world.deliver(DrainChanged(True))
    world.end_attempt(taken, 0, Outcome.FULL)
    assert len(world.sends(taken)) == 2


@pytest.mark.parametrize(("class_index", "kind"), [(PAY, Fail), (READ, Refuse)])
def test_a_drain_does_not_change_how_a_reset_is_answered(class_index: int, kind: type[object]) -> None:
    world = ready_world(1)
    taken = world.new_request(class_index)
    world.deliver(DrainChanged(True))
    world.end_attempt(taken, 0, Outcome.RESET)
    world.advance(5_000_000)
    assert isinstance(world.answer(taken), kind)


def test_new_settings_keep_learned_state_and_open_requests() -> None:
    world = ready_world(2, tenants=[Tenant("big", 100.0), Tenant("small", 10.0)])
    out = world.new_request(PAY, tenant=0)
    before = {ident: server.window.slots for ident, server in world.balancer.upstreams.items()}
    world.balancer.tenant_arrivals = [7.0, 3.0]
    new = settings(tenants=[Tenant("new", 5.0), Tenant("small", 10.0), Tenant("big", 200.0)])
    new.classes.append(RequestClass("extra", 100_000, 500_000))
    world.deliver(SettingsChanged(new))
    world.settings = new
    assert {i: s.window.slots for i, s in world.balancer.upstreams.items()} == before
    assert world.balancer.tenant_arrivals == [0.0, 3.0, 7.0]
    assert world.balancer.requests[out].event.tenant == 2  # still the tenant "big", whose index has changed
    world.end_attempt(out, 0, Outcome.OK)
    assert world.requests[out].answers == 1
    assert world.sends(world.new_request(3))  # the new class is served


def test_a_request_of_a_removed_tenant_counts_for_no_tenant() -> None:
    world = ready_world(2, tenants=[Tenant("a", 1.0)])
    out = world.new_request(READ, tenant=0)
    world.deliver(SettingsChanged(settings(tenants=[])))
    assert world.balancer.requests[out].event.tenant == 0 >= len(world.balancer.tenant_arrivals)
    assert world.sends(world.new_request(READ, tenant=0))


def test_a_new_latency_target_applies_from_the_next_request() -> None:
    world = ready_world(2, hedging=False)
    changed = settings(hedging=False)
    changed.classes[READ] = RequestClass("read", 30_000, 1_000_000)
    world.deliver(SettingsChanged(changed))
    assert world.sends(world.new_request(READ))[0].timeout_us == 45_000


@pytest.mark.parametrize(("change", "words"), [
    (lambda s: s.classes.pop(), "taken away"),
    (lambda s: setattr(s.classes[0], "name", "other"), "request class"),
    (lambda s: setattr(s.classes[1], "effect", "idempotent"), "request class"),
    (lambda s: setattr(s.classes[MARK], "group", "all"), "request class"),
    (lambda s: setattr(s, "zone", 3), "zone"),
    (lambda s: setattr(s, "report_names", ["x"]), "report names"),
    (lambda s: setattr(s, "list_on_request", not s.list_on_request), "list on request"),
])
def test_settings_that_open_requests_depend_on_can_not_change(change: object, words: str) -> None:
    """Open requests depend on these settings: a request that is not idempotent could be retried as if it were."""
    old, new = settings(), settings()
    change(new)  # type: ignore[operator]
    assert words in restart_only_change(old, new)


def test_other_settings_can_change() -> None:
    old, new = settings(), settings(instances=9, max_attempts=1, retry_after=False, cold_share=0.5)
    new.classes[0] = RequestClass("read", 1_000, 2_000, dedup_memory_us=5)
    new.classes.append(RequestClass("more", 1_000, 2_000))
    new.classes[0].effect, new.classes[0].group = old.classes[0].effect, old.classes[0].group
    new.classes[0].name = old.classes[0].name
    assert restart_only_change(old, new) == ""


def test_upstream_views_show_each_upstream() -> None:
    world = ready_world(1)
    world.deliver_list([Upstream(100), Upstream(101, started_us=world.now_us)])
    request = world.new_request(PAY)
    views = {view.id: view for view in upstream_views(world.balancer)}
    assert set(views) == {100, 101} and views[101].cold and not views[100].cold
    assert sum(view.used for view in views.values()) == 1
    assert views[world.sends(request)[0].upstream].slots >= 1.0
    assert isinstance(world.balancer.settings, Settings)
