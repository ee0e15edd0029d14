"""What one call of discovery tells while its lists are older than the last one believed. Pure: no I/O, no clock.

Either that discovery service lags, or it is a new process that numbers its lists anew. Until that shows, an upstream is
used only if neither our list nor the older ones say that it drains or is gone: if they are outdated, it is left out for
a moment; if they are new, nothing may be sent to it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from ironscale.interface import UpstreamState
from ironscale.net.listing import Listing, Member


class OlderLists:
    """The upstreams that older lists have named, and those that they have taken out of use."""

    def __init__(self) -> None:
        self.named: set[str] = set()  # by the latest whole list and the changes after it
        self.left_out: set[str] = set()

    def apply(self, listing: Listing, believed: Mapping[str, Member]) -> list[Member]:
        """Returns what changes by one list, where `believed` is our own. One that is back is only used if our own list
        has it as ready."""
        if listing.full:
            self.named = set()
        changes = [self.change(member) for member in listing.members]
        return [one for one in changes if one is not None and is_ready(believed.get(one.name))]

    def change(self, member: Member) -> Member | None:
        if is_ready(member):
            self.named.add(member.name)
            return member if member.name in self.left_out else None
        return self.leave_out(member)

    def leave_out(self, member: Member) -> Member:
        """The member as draining: its requests may end, and it can still be taken back."""
        self.left_out.add(member.name)
        return replace(member, upstream=replace(member.upstream, state=UpstreamState.DRAINING))

    def unnamed(self, believed: Mapping[str, Member]) -> list[Member]:
        """Leaves out those of our own list that the latest whole one and the changes after it don't name."""
        return [self.leave_out(member) for name, member in believed.items()
                if name not in self.named and is_ready(member)]


def is_ready(member: Member | None) -> bool:
    return member is not None and member.upstream.state is UpstreamState.READY
