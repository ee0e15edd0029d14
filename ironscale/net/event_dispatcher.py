"""One balancer on the data path: events in, one after the other; what it decides, carried out in order."""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable
from typing import Protocol

from ironscale import interface as api
from ironscale.balance import Balancer


class EventDispatcher:
    """What the sidecar's own balancer and those of other fronts have in common; who carries out fills in the rest."""

    def __init__(self, balancer: Balancer, now_us: Callable[[], int]) -> None:
        self.balancer = balancer
        self.now_us = now_us
        self.pending_events: deque[api.Event] = deque()
        self.dispatching = False

    def dispatch(self, event: api.Event) -> None:
        """Hand over one event and carry out what comes of it; events that an action causes wait."""
        self.pending_events.append(event)
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.pending_events:
                self.handle_event(self.pending_events.popleft())
        finally:
            self.dispatching = False

    def handle_event(self, event: api.Event) -> None:
        if isinstance(event, api.AttemptEnded):  # an action before it may have closed the request
            event.request_ended = not self.is_open(event.request)
        # hazard: one bad event must neither end the process nor leave its request unanswered
        try:
            actions = self.balancer.handle(self.now_us(), event)
        except Exception:
            self.log(f"the decisions failed on {event!r}\n{traceback.format_exc()}")
            if isinstance(event, api.RequestArrived | api.AttemptEnded):
                self.fail(event.request)
            return
        for action in actions:
            try:
                self.execute_action(action)
            except Exception:
                self.log(f"could not carry out {action!r}\n{traceback.format_exc()}")
                if isinstance(action, api.Send | api.Refuse | api.Fail):
                    self.fail(action.request)

    def is_open(self, ident: int) -> bool:
        """Whether the request is still owed its answer."""
        raise NotImplementedError

    def execute_action(self, action: api.Action) -> None:
        raise NotImplementedError

    def fail(self, ident: int) -> None:
        """The decisions gave no answer: the request has failed, whatever ran."""
        raise NotImplementedError

    def log(self, text: str) -> None:
        raise NotImplementedError


class RequestHandler(Protocol):
    """What carries the requests of some classes elsewhere than to the listed upstreams: a subsystem's, decided by
    balancers of its own."""

    def handle_request(self, event: api.RequestArrived) -> None: ...

    def request_abandoned(self, ident: int) -> None:
        """The client has quit, or the request was ended over the decisions' heads."""

    def notify(self, event: api.DrainChanged | api.SettingsChanged) -> None: ...
