"""Decides which agent an instance follows, when it tries another one, and how many followers reconnect at a time.

Nothing here does I/O or reads a clock.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

from ironscale.versions.model import Labels

# An instance must receive a version within DELIVERY_LIMIT_S of its commit, whichever agent is lost. The worst case is
# the sum of these: the time to detect an agent that was stopped (SILENT_AFTER_S) or that is cut off from the record
# (STALE_AFTER_S plus the interval between two bookmarks), the time over which followers spread their reconnects (it
# depends on their number), and for each agent that is dialled an answer or a timeout (CONNECT_TIMEOUT_S).
BOOKMARK_INTERVAL_S = 1.0  # how often an agent sends its position and how long ago it last reached the record
SILENT_AFTER_S = 3.0  # an agent that has sent nothing for this long counts as lost
STALE_AFTER_S = 2.5  # an agent that last reached the record this long ago counts as cut off from it
CONNECT_TIMEOUT_S = 1.0
DELIVERY_LIMIT_S = 12.0
COALESCE_S = 0.1  # commits within this interval are sent to a follower as one update


@dataclass(frozen=True, slots=True)
class AgentEndpoint:
    """Address and location of an agent that serves versions."""

    host: str
    port: int
    zone: str = ""
    region: str = ""


def rendezvous_weight(instance: str, agent: AgentEndpoint) -> int:
    """Rendezvous hashing: the instances of an agent that is lost spread evenly over the other agents."""
    text = f"{instance}\0{agent.host}:{agent.port}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def preference_order(labels: Labels, agents: Sequence[AgentEndpoint]) -> tuple[AgentEndpoint, ...]:
    """All agents in order of preference: first those in the instance's zone, then in its region, then the others."""
    def distance(agent: AgentEndpoint) -> int:
        if labels.zone and agent.zone == labels.zone:
            return 0
        return 1 if labels.region and agent.region == labels.region else 2

    return tuple(sorted(agents, key=lambda agent: (distance(agent), -rendezvous_weight(labels.instance, agent))))


def reconnect_spread_s(followers: int, admitted_per_s: float, agents: int) -> float:
    """Time over which the followers of a lost agent reconnect, as each other agent admits `admitted_per_s` of them."""
    return followers / (admitted_per_s * max(1, agents - 1))


@dataclass(frozen=True, slots=True)
class AgentStatus:
    """What an agent last reported about itself."""

    position: int
    age_s: float  # time since the agent last reached the record


def should_try_others(status: AgentStatus | None, silent_s: float) -> bool:
    """Whether an instance also tries other agents, because its own is silent or cut off from the record."""
    return status is None or silent_s >= SILENT_AFTER_S or status.age_s + silent_s >= STALE_AFTER_S


def should_switch(other: AgentStatus, own: AgentStatus | None) -> bool:
    """Whether to switch to the other agent: always if the own one has not reported; if it is stale, only to one that is
    fresh or has a higher position, or else an instance would switch back and forth between two that are cut off."""
    if own is None or own.age_s < STALE_AFTER_S:
        return own is None
    return other.age_s < STALE_AFTER_S or other.position > own.position


def is_preferred(other: AgentStatus, own: AgentStatus | None, other_agent: AgentEndpoint, own_agent: AgentEndpoint,
                 order: Sequence[AgentEndpoint]) -> bool:
    """Whether the other agent comes earlier in the order of preference and is at least as up to date."""
    nearer = order.index(other_agent) < order.index(own_agent)
    return nearer and other.age_s < STALE_AFTER_S and (own is None or other.position >= own.position)
