"""What older lists of discovery take out of use, after any order of whole lists and changes."""

from __future__ import annotations

import random

import pytest

from ironscale.interface import Upstream, UpstreamState
from ironscale.net.listing import Listing, Member, upstream_id
from ironscale.net.older_lists import OlderLists

NAMES = [f"s-{number}" for number in range(5)]


def member(name: str, state: UpstreamState) -> Member:
    upstream = Upstream(id=upstream_id(name), state=state, zone=0, kind=0, cell=0, weight=1.0, started_us=0)
    return Member(upstream, ("127.0.0.1", 1), name)


class Model:
    """The last word of the older lists on each upstream; one that a whole list leaves out has none."""

    def __init__(self, believed: dict[str, Member]) -> None:
        self.believed = believed
        self.told = dict.fromkeys(believed, UpstreamState.READY)
        self.in_use = {name: one.upstream.state is UpstreamState.READY for name, one in believed.items()}

    def tell(self, listing: Listing) -> None:
        if listing.full:
            self.told = {}
        self.told.update({one.name: one.upstream.state for one in listing.members})

    def report(self, members: list[Member]) -> None:
        for one in members:
            assert self.believed[one.name].upstream.state is UpstreamState.READY  # nothing changes for the others
            self.in_use[one.name] = one.upstream.state is UpstreamState.READY

    def check(self, after_unnamed: bool) -> None:
        for name, ours in self.believed.items():
            told, is_ours_ready = self.told.get(name), ours.upstream.state is UpstreamState.READY
            if told is None and not after_unnamed:
                continue  # its time has not come
            assert self.in_use[name] == (is_ours_ready and told is UpstreamState.READY), (name, ours, told)


# Guards against an order of lists after which an upstream is used that one of both tells to drain or to be gone.
@pytest.mark.parametrize("seed", range(40))
def test_after_any_order_an_upstream_is_used_only_if_both_have_it_as_ready(seed: int) -> None:
    rng = random.Random(seed)
    states = list(UpstreamState)
    believed = {name: member(name, rng.choice([UpstreamState.READY, UpstreamState.READY, UpstreamState.DRAINING]))
                for name in NAMES[:4]}  # the last one is unknown to our own list
    older, model = OlderLists(), Model(believed)
    for number in range(60):
        full = number == 0 or rng.random() < 0.2
        named = rng.sample(NAMES, rng.randint(0, len(NAMES)))
        listing = Listing(number, full, [member(name, rng.choice(states)) for name in named])
        model.tell(listing)
        model.report(older.apply(listing, believed))
        model.check(after_unnamed=False)
        if rng.random() < 0.3:
            model.report(older.unnamed(believed))
            model.check(after_unnamed=True)
