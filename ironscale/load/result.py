"""What a run found: from the schedule, every try, what the workers saw of themselves and what the servers know. Pure.

A request's latency counts from the moment it was due, through all its tries, until its answer; one that was owed an
answer and had none counts for as long as its client waited. Refusals and failures are counted and kept out of the
latencies: a quick "no" must not make them look better.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ironscale.load.histogram import decode, encode, merged, percentile, rounded, summary
from ironscale.load.outcome import ANSWERED, OURS, RECORD, REFUSALS, UNANSWERED, End, Sample, parse_id
from ironscale.load.scenario import Scenario
from ironscale.load.schedule import Schedule

FORMAT, VERSION = "ironscale-load", 1
ENDS = tuple(end.name.lower() for end in End)
NOT_KNOWN = -1


class ResultError(Exception):
    """A result file that cannot be read; one line."""


@dataclass(frozen=True, slots=True)
class Truth:
    """What the stand-ins know: how often each try ran, and what befell them."""

    once: frozenset[tuple[int, int]] = frozenset()
    more: Mapping[tuple[int, int], int] = field(default_factory=dict)
    after_drain: int = 0
    fell: int = 0
    repeats: int = 0
    strangers: int = 0  # ran, and is none of ours

    def ran(self, index: int, number: int) -> int:
        at = index, number
        return 1 if at in self.once else self.more.get(at, 0)


def truth_of(data: Mapping[str, Any]) -> Truth:
    """From what a site of stand-ins tells at its end."""
    once, strangers = set(), 0
    for text in data["once"].split("\n") if data["once"] else []:
        found = parse_id(text)
        if found is None:
            strangers += 1
        else:
            once.add(found)
    more = {}
    for text, count in data["more"].items():
        found = parse_id(text)
        if found is None:
            strangers += 1
        else:
            more[found] = int(count)
    ups = data["upstreams"]
    return Truth(
        frozenset(once),
        more,
        sum(u["after_drain"] for u in ups),
        sum(u["fell"] for u in ups),
        sum(u["repeats"] for u in ups),
        strangers,
    )


@dataclass(slots=True)
class Interval:
    """What was due in one stretch of time, and how it went; with how well the generator kept its schedule in it."""

    due: int = 0
    ends: Counter[str] = field(default_factory=Counter)
    from_due: Counter[int] = field(default_factory=Counter)  # latencies in us, rounded
    from_send: Counter[int] = field(default_factory=Counter)
    lag: Counter[int] = field(default_factory=Counter)
    flags: list[str] = field(default_factory=list)
    busy: float = 0.0  # of a core, the busiest worker
    gc_us: int = 0  # longest pause
    connections: int = 0


@dataclass(slots=True)
class KindResult:
    due: int = 0
    in_aim: int = 0
    ends: Counter[str] = field(default_factory=Counter)
    from_due: Counter[int] = field(default_factory=Counter)
    from_send: Counter[int] = field(default_factory=Counter)


@dataclass(slots=True)
class Result:
    title: str
    started: str  # wall clock, ISO 8601; only to read
    scenario: str  # its text: with the seed in it, all that is needed to run it again
    scenario_digest: str
    schedule_digest: str
    interval_us: int
    warm_up_us: int
    duration_us: int
    due: int
    tries: int
    intervals: list[Interval]
    kinds: dict[str, KindResult]
    rules: dict[str, int]  # violations; NOT_KNOWN where only servers' knowledge could tell
    marks: list[dict[str, Any]]
    machine: dict[str, Any]
    resent: int = 0
    repeats: int = 0  # keyed requests whose repeat the servers dropped

    # Over the time that counts

    def counted(self) -> list[Interval]:
        return self.intervals[-(-self.warm_up_us // self.interval_us) :]

    def ends(self) -> Counter[str]:
        return merged_names(i.ends for i in self.counted())

    def from_due(self) -> Counter[int]:
        return merged(i.from_due for i in self.counted())

    def from_send(self) -> Counter[int]:
        return merged(i.from_send for i in self.counted())

    def lag(self) -> Counter[int]:
        return merged(i.lag for i in self.counted())

    def flagged(self) -> list[tuple[int, Interval]]:
        return [(n, i) for n, i in enumerate(self.intervals) if i.flags]

    def broken(self) -> dict[str, int]:
        return {name: count for name, count in self.rules.items() if count > 0}

    def reached(self) -> float:
        """Requests a second that were really sent, over the time that counts."""
        sent = sum(i.due - i.ends["unsent"] - i.ends["no_port"] - i.ends["no_socket"] for i in self.counted())
        return sent / max(1e-9, len(self.counted()) * self.interval_us / 1e6)

    # As JSON

    def to_json(self) -> dict[str, Any]:
        return {
            "format": FORMAT,
            "version": VERSION,
            "title": self.title,
            "started": self.started,
            "machine": self.machine,
            "scenario": self.scenario,
            "scenario_digest": self.scenario_digest,
            "schedule_digest": self.schedule_digest,
            "interval_us": self.interval_us,
            "warm_up_us": self.warm_up_us,
            "duration_us": self.duration_us,
            "due": self.due,
            "tries": self.tries,
            "resent": self.resent,
            "repeats": self.repeats,
            "rules": self.rules,
            "marks": self.marks,
            "totals": {
                "ends": dict(self.ends()),
                "from_due_ms": summary(self.from_due()),
                "from_send_ms": summary(self.from_send()),
                "lag_ms": summary(self.lag()),
                "flagged_intervals": len(self.flagged()),
                "reached_per_s": round(self.reached(), 1),
            },
            "classes": {
                name: {
                    "due": k.due,
                    "in_aim": k.in_aim,
                    "ends": dict(k.ends),
                    "from_due_ms": summary(k.from_due),
                    "from_send_ms": summary(k.from_send),
                    "from_due": encode(k.from_due),
                    "from_send": encode(k.from_send),
                }
                for name, k in self.kinds.items()
            },
            "intervals": [
                {
                    "due": i.due,
                    "ends": dict(i.ends),
                    "from_due": encode(i.from_due),
                    "from_send": encode(i.from_send),
                    "lag": encode(i.lag),
                    "flags": i.flags,
                    "busy": i.busy,
                    "gc_us": i.gc_us,
                    "connections": i.connections,
                }
                for i in self.intervals
            ],
        }


def merged_names(parts: Iterable[Mapping[str, int]]) -> Counter[str]:
    total: Counter[str] = Counter()
    for part in parts:
        total.update(part)
    return total


def read(path: Path) -> Result:
    """Raises ResultError."""
    try:
        data = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ResultError(f"{path}: expected a file that can be read, got {error.strerror}") from error
    except ValueError as error:
        raise ResultError(f"{path}: expected JSON, got {error}") from error
    if not isinstance(data, dict) or data.get("format") != FORMAT:
        raise ResultError(
            f"{path}: format: expected {FORMAT!r}, as `ironscale load run --json` writes it, got "
            f"{data.get('format') if isinstance(data, dict) else type(data).__name__!r}"
        )
    if data.get("version") != VERSION:
        raise ResultError(f"{path}: version: expected {VERSION}, got {data.get('version')!r}")
    try:
        return Result(
            **{
                name: data[name]
                for name in (
                    "title",
                    "started",
                    "scenario",
                    "scenario_digest",
                    "schedule_digest",
                    "interval_us",
                    "warm_up_us",
                    "duration_us",
                    "due",
                    "tries",
                    "rules",
                    "marks",
                    "machine",
                    "resent",
                    "repeats",
                )
            },
            intervals=[
                Interval(
                    i["due"],
                    Counter(i["ends"]),
                    decode(i["from_due"]),
                    decode(i["from_send"]),
                    decode(i["lag"]),
                    i["flags"],
                    i["busy"],
                    i["gc_us"],
                    i["connections"],
                )
                for i in data["intervals"]
            ],
            kinds={
                name: KindResult(
                    k["due"], k["in_aim"], Counter(k["ends"]), decode(k["from_due"]), decode(k["from_send"])
                )
                for name, k in data["classes"].items()
            },
        )
    except KeyError as error:
        raise ResultError(f"{path}: expected a key {error}, got none") from error
    except (ValueError, TypeError, AttributeError) as error:
        raise ResultError(f"{path}: {error}") from error


# Making it


def samples_in(batches: Iterable[bytes]) -> Iterator[Sample]:
    for batch in batches:
        yield from map(Sample._make, RECORD.iter_unpack(batch))


def summarize(
    scenario: Scenario,
    schedule: Schedule,
    batches: Sequence[bytes],
    watches: Sequence[Mapping[str, Any]],
    truth: Truth | None,
    marks: Sequence[dict[str, Any]],
    machine: dict[str, Any],
    started: str,
    title: str = "",
) -> Result:
    count = max(1, -(-scenario.duration_us // scenario.interval_us))
    result = Result(
        title,
        started,
        scenario.text,
        scenario.digest(),
        schedule.digest(),
        scenario.interval_us,
        scenario.warm_up_us,
        scenario.duration_us,
        len(schedule),
        0,
        [Interval() for _ in range(count)],
        {k.name: KindResult() for k in scenario.kinds},
        {},
        sorted(marks, key=lambda mark: int(mark["at_us"])),
        machine,
    )
    last: dict[int, Sample] = {}
    ran: Counter[int] = Counter()  # by request, over all its tries
    rules: Counter[str] = Counter()
    starved = [Counter[str]() for _ in range(count)]

    def interval_of(at_us: int) -> int:
        return min(max(0, at_us) // scenario.interval_us, count - 1)

    for sample in samples_in(batches):
        if sample.end == End.EXTRA:
            rules["answers after the answer"] += 1
            continue
        result.tries += 1
        result.resent += sample.resent
        kept = last.get(sample.index)
        if kept is None or sample.number > kept.number:
            last[sample.index] = sample
        where = interval_of(sample.sched_us)
        if sample.acted_us >= 0:
            result.intervals[where].lag[rounded(sample.acted_us - sample.sched_us)] += 1
        if sample.end in OURS:
            starved[where][End(sample.end).name.lower()] += 1
        _rules_of_try(sample, scenario, schedule, truth, rules, ran)
    for index in range(len(schedule)):
        _count_request(index, last.get(index), scenario, schedule, result, interval_of)
    _rules_of_requests(last, scenario, schedule, truth, ran, rules)
    result.rules = {name: rules[name] for name in RULES}
    for name in FROM_SERVERS:
        if truth is None:
            result.rules[name] = NOT_KNOWN
    result.repeats = truth.repeats if truth is not None else 0
    _watch(result, scenario, watches, starved)
    return result


RULES = (
    "taken and never answered",
    "answered after the deadline",
    "answers after the answer",
    "another's answer",
    "refused without Retry-After",
    "unsafe and ran twice",
    "keyed and ran twice",
    "unsafe, refused and ran",
    "served and never ran",
    "sent to one that drains",
    "pushed over while cold",
)
FROM_SERVERS = RULES[5:]


def _rules_of_try(
    sample: Sample, scenario: Scenario, schedule: Schedule, truth: Truth | None, rules: Counter[str], ran: Counter[int]
) -> None:
    kind, end = scenario.kinds[schedule.kind[sample.index]], sample.end
    if end in UNANSWERED and sample.sent_us >= 0:
        rules["taken and never answered"] += 1
    if end in ANSWERED and sample.done_us - sample.acted_us > kind.deadline_us:
        rules["answered after the deadline"] += 1
    rules["another's answer"] += end == End.WRONG_BODY
    rules["refused without Retry-After"] += end == End.REFUSED_BARE
    if truth is not None:
        times = truth.ran(sample.index, sample.number)
        ran[sample.index] += times
        if end in REFUSALS and times and kind.effect == "at_most_once":
            rules["unsafe, refused and ran"] += 1


def _rules_of_requests(
    last: Mapping[int, Sample],
    scenario: Scenario,
    schedule: Schedule,
    truth: Truth | None,
    ran: Counter[int],
    rules: Counter[str],
) -> None:
    if truth is None:
        return
    for index, sample in last.items():
        effect = scenario.kinds[schedule.kind[index]].effect
        if ran[index] > 1 and effect != "idempotent":
            rules["unsafe and ran twice" if effect == "at_most_once" else "keyed and ran twice"] += 1
        if sample.end == End.SERVED and not ran[index]:
            rules["served and never ran"] += 1
    rules["sent to one that drains"] = truth.after_drain
    rules["pushed over while cold"] = truth.fell


def _count_request(
    index: int, sample: Sample | None, scenario: Scenario, schedule: Schedule, result: Result, interval_of: Any
) -> None:
    """Its last try ends it; one that no worker spoke of was not sent."""
    due_us = schedule.at_us[index]
    interval, kind_spec = result.intervals[interval_of(due_us)], scenario.kinds[schedule.kind[index]]
    kind = result.kinds[kind_spec.name]
    end = End(sample.end) if sample is not None else End.UNSENT
    name = ENDS[end]
    counts = due_us >= scenario.warm_up_us
    interval.due += 1
    interval.ends[name] += 1
    if counts:
        kind.due += 1
        kind.ends[name] += 1
    if sample is None or not (end == End.SERVED or end in UNANSWERED):
        return
    from_due_us, from_send_us = sample.done_us - due_us, sample.done_us - sample.sent_us
    interval.from_due[rounded(from_due_us)] += 1
    interval.from_send[rounded(from_send_us)] += 1
    if counts:
        kind.in_aim += end == End.SERVED and from_due_us <= kind_spec.aim_us
        kind.from_due[rounded(from_due_us)] += 1
        kind.from_send[rounded(from_send_us)] += 1


def _watch(
    result: Result, scenario: Scenario, watches: Sequence[Mapping[str, Any]], starved: Sequence[Counter[str]]
) -> None:
    """Flags the intervals in which the generator did not keep its schedule, or might not have."""
    width_us = scenario.interval_us
    waited = [0] * len(result.intervals)
    for seen in watches:
        first = max(0, int(seen["from_us"])) // width_us
        last = max(0, int(seen["to_us"])) // width_us
        busy = seen["cpu_s"] * 1e6 / max(1, seen["to_us"] - seen["from_us"])
        for n in range(first, min(last, len(result.intervals) - 1) + 1):
            interval = result.intervals[n]
            interval.busy = max(interval.busy, round(busy, 3))
            interval.gc_us = max(interval.gc_us, int(seen["gc_longest_us"]))
            interval.connections = max(interval.connections, int(seen["most_connections"]))
            if n == last:
                waited[n] += int(seen["starved"])
    for interval, waits, lost in zip(result.intervals, waited, starved, strict=True):
        lag_us = percentile(interval.lag, 99.0)
        if lag_us > scenario.watch.lag_us:
            interval.flags.append(f"1 in 100 sent {lag_us / 1000:.1f} ms late or more")
        if interval.busy > scenario.watch.busy:
            interval.flags.append(f"a worker was {interval.busy:.0%} busy")
        if interval.gc_us > scenario.watch.pause_us:
            interval.flags.append(f"the collector paused a worker for {interval.gc_us / 1000:.0f} ms")
        if waits:
            interval.flags.append(f"{waits} waited for a connection")
        for name, count in sorted(lost.items()):
            interval.flags.append(f"{count} {name.replace('_', ' ')}")
