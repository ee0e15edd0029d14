"""Drives one balancer on the data path: passes events to it one at a time and carries out its actions in order."""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable
from typing import Protocol

from ironscale import interface as api
from ironscale.balance import Balancer


class EventDispatcher:
    """Dispatches events to a balancer. Base class of the sidecar and of dispatchers in extensions, which carry out the
    actions."""

    def __init__(self, balancer: Balancer, now_us: Callable[[], int]) -> None:
        self.balancer = balancer
        self.now_us = now_us
        self.pending_events: deque[api.Event] = deque()
        self.dispatching = False

    def dispatch(self, event: api.Event) -> None:
        """Handles one event and carries out the resulting actions. Events that an action causes are queued."""
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
        if isinstance(event, api.AttemptEnded):  # an earlier action may have closed the request
            event.request_ended = not self.is_open(event.request)
        # an event that makes the balancer raise must neither end the process nor leave its request unanswered
        try:
            actions = self.balancer.handle(self.now_us(), event)
        except Exception:
            self.log(f"the balancer raised an exception for the event {event!r}\n{traceback.format_exc()}")
            if isinstance(event, api.RequestArrived | api.AttemptEnded):
                self.fail(event.request)
            return
        for action in actions:
            try:
                self.execute_action(action)
            except Exception:
                self.log(f"could not carry out the action {action!r}\n{traceback.format_exc()}")
                if isinstance(action, api.Send | api.Refuse | api.Fail):
                    self.fail(action.request)

    def is_open(self, ident: int) -> bool:
        """Whether the request still waits for its answer."""
        raise NotImplementedError

    def execute_action(self, action: api.Action) -> None:
        raise NotImplementedError

    def fail(self, ident: int) -> None:
        """Answers the request as failed, because the balancer gave no answer. An upstream may have run it."""
        raise NotImplementedError

    def log(self, text: str) -> None:
        raise NotImplementedError


class RequestHandler(Protocol):
    """Handles the requests of some classes in place of the sidecar's balancer. An extension provides it, with balancers
    of its own, and registers it in `Sidecar.request_handlers`."""

    def handle_request(self, event: api.RequestArrived) -> None: ...

    def request_abandoned(self, ident: int) -> None:
        """The client has disconnected, or the request was ended without the balancer."""

    def notify(self, event: api.DrainChanged | api.SettingsChanged) -> None: ...
