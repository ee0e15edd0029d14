"""The stand-in machine's arithmetic."""

from __future__ import annotations

from ironscale.standins.machine import Machine, Shape

S = 1_000_000


def test_cores_and_queue() -> None:
    machine: Machine[str] = Machine(Shape(cores=2, speed=2.0, queue=1), 0)
    assert machine.offer("a", 30_000, 0) and machine.start(0) == ("a", 15_000)
    assert machine.offer("b", 10_000, 0) and machine.start(0) == ("b", 5_000)
    assert machine.offer("c", 10_000, 0) and machine.start(0) is None
    assert not machine.offer("d", 10_000, 0)
    machine.end()
    machine.slow = 3.0
    assert machine.start(0) == ("c", 15_000) and machine.start(0) is None


def test_a_cold_machine_warms_up() -> None:
    machine: Machine[str] = Machine(Shape(cold_share=0.2, warm_up_us=10 * S), 5 * S)
    assert [round(machine.warmth(t * S), 2) for t in (5, 10, 15, 20)] == [0.2, 0.6, 1.0, 1.0]
    machine.offer("a", 30_000, 5 * S)
    assert machine.start(5 * S) == ("a", 150_000)


def test_sent_too_much_while_cold_it_falls_and_stays_down() -> None:
    def fed(per_s_of_work: float) -> bool:
        machine: Machine[int] = Machine(Shape(cold_share=0.1, warm_up_us=100 * S, overload_factor=2.5, queue=10**6), 0)
        for tick in range(300):  # 3 s in steps of 10 ms
            machine.offer(tick, int(per_s_of_work * 10_000), tick * 10_000)
        return machine.fallen

    # at 0.1 of a core, 2.5 times that is 0.25 of a core's time each second; a bucket's width more is let pass
    assert not fed(0.22) and fed(0.35)
    warm: Machine[int] = Machine(Shape(queue=10**6), -S)
    for tick in range(300):
        warm.offer(tick, 100_000, tick * 10_000)
    assert not warm.fallen
