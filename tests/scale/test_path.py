"""The cost of a call through a sidecar: the counts, and the metrics computed from them."""

from __future__ import annotations

import math
from pathlib import Path

import ironscale.scale as examples
from ironscale.load.outcome import End, Sample
from ironscale.scale import path
from ironscale.scale.bounds import ChildProcesses, ResourceLimits
from ironscale.scale.result import Result
from ironscale.scale.run import RunContext
from ironscale.scale.size import load
from tests.sockets import run


def example_context() -> RunContext:
    bounds = ResourceLimits(300, 0.5)
    size = load(Path(examples.__file__ or "").parent / "examples/coming.toml")
    return RunContext(size, Path("."), ChildProcesses(bounds), bounds, Result("", {}), lambda line: None)


def served(at_us: int, took_us: int, end: int = End.SERVED) -> Sample:
    return Sample(0, 0, end, 200, at_us, at_us, at_us, at_us + took_us, 0)


def test_metrics_cover_the_window_and_leave_out_the_directly_called_upstream() -> None:
    def look(at_us: int, sidecar_s: float, *upstreams: tuple[int, int, int]) -> path.Snapshot:
        told = [dict(zip(("opened", "held", "taken"), counts, strict=True)) for counts in upstreams]
        return path.Snapshot(at_us, {"sidecar": sidecar_s, "relay": 0.0}, told, 9, 30.0)

    # upstream 0 is also called directly, so its connections are not only the sidecar's
    played = path.ListResult(
        2, [look(1_000_000, 1.0, (5, 5, 50), (1, 1, 10)), look(3_000_000, 1.4, (9, 9, 90), (4, 3, 16))]
    )
    outside = [served(999_999, 9_000), served(3_000_000, 9_000)]
    played.samples = {
        "direct": [*outside, served(1_000_000, 100)], "relay": [*outside, served(1_000_000, 150)],
        "sidecar": [*outside, served(1_000_000, 700), served(2_999_999, 900), served(2_000_000, 1, End.RESET)],
    }
    points = {name: found[0][1] for name, found in played.points_by_name(0).items()}
    assert math.isclose(points["path.cpu_us.sidecar"], 0.4e6 / 2)  # by the two calls due in it and served
    assert points["path.any_added_p50_us.sidecar"] == 600 and points["path.any_added_p99_us.sidecar"] == 800
    assert points["path.any_added_p99_us.relay"] == 50
    assert points["path.new_connection_share"] == 3 / 6 and points["path.opened_per_s"] == 1.5
    assert points["path.connections_held"] == 3
    assert points["path.quiet_share"] == 1 and "path.added_p99_us.sidecar" not in points  # too few calls
    assert played.outcomes() == {"served": 4, "reset": 1}


def test_quiet_slices_are_chosen_by_the_other_routes_and_not_by_the_sidecar() -> None:
    played = path.ListResult(1, [path.Snapshot(0, {}, [], 0, 0.0), path.Snapshot(4 * path.SLICE_US, {}, [], 0, 0.0)])
    at = [n * path.SLICE_US + 5 for n in range(4)]
    slow = path.QUIET_MAX_US + 1
    played.samples = {"direct": [served(at[0], slow), *(served(t, 100) for t in at[1:])],
                      "relay": [served(at[0], 100), served(at[1], slow), *(served(t, 100) for t in at[2:])],
                      "sidecar": [served(t, n) for t, n in zip(at, (1, 2, 3, 50_000), strict=True)]}
    assert played.quiet_latencies(*played.snapshots)["sidecar"] == [3, 50_000]


def test_every_call_through_a_real_sidecar_is_counted() -> None:
    async def play() -> None:
        played = await path.measure_list(3, 3, rate=40.0, warm_up_s=0.2, window_s=0.5, windows=2, seed="t")
        due = len(path.paced_schedule(40.0, 1.2, "t"))
        # on a busy machine an answer may be late or a call refused, but each call still has exactly one outcome
        assert all(len(samples) == due for samples in played.samples.values())
        assert played.outcomes().total() == due and played.outcomes()["served"] > 0, played.outcomes()
        before, after = played.snapshots[0], played.snapshots[-1]
        taken = sum(u["taken"] for u in after.upstreams) - sum(u["taken"] for u in before.upstreams)
        assert taken > 0 and after.cpu_s["sidecar"] > before.cpu_s["sidecar"] > 0
        assert 0 < sum(u["held"] for u in after.upstreams) <= sum(u["opened"] for u in after.upstreams)
        found = path.PathResults()
        found.add(played, 0)
        scene = example_context()
        path.add_results(scene, found, "path", "")
        assert {"path.call.any_added_p99_ms.3", "path.any.direct.p99_ms.3", "path.unserved_share.3"} <= set(
            scene.result.readings)

    run(play)
