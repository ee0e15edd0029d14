"""What is made of the tries: requests folded, rules judged, intervals flagged; and read again from JSON."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironscale.load import histogram as h
from ironscale.load import result as r
from ironscale.load.html_report import page
from ironscale.load.outcome import RECORD, End, Sample, parse_id, request_id
from tests.load.samples import MARK, SUBMIT, TARGET, VIEW, scenario

MS = 1_000


def sample(
    index: int,
    end: End = End.SERVED,
    number: int = 0,
    sched_us: int = 0,
    lag_us: int = 0,
    took_us: int = 5 * MS,
    resent: int = 0,
) -> Sample:
    acted_us = sched_us + lag_us
    return Sample(index, number, end, 200, sched_us, acted_us, acted_us, acted_us + took_us, resent)


def result(
    *samples: Sample,
    parts: tuple[str, ...] = (VIEW, TARGET),
    watches: tuple[dict[str, Any], ...] = (),
    truth: r.Truth | None = None,
    rate: float = 5,
    head: str = "",
) -> r.Result:
    s = scenario(*parts, rate=rate, head=head)
    packed = [b"".join(RECORD.pack(*one) for one in samples)]
    return r.summarize(s, s.schedule(), packed, watches, truth, [], {"cores": 1}, "now", "t")


def test_a_request_counts_from_when_it_was_due_through_all_its_tries() -> None:
    found = result(sample(0, End.REFUSED, 0, 200 * MS), sample(0, End.SERVED, 1, 700 * MS, took_us=50 * MS))
    assert found.tries == 2 and found.due == 10
    assert found.ends() == {"served": 1, "unsent": 9}  # those that nobody spoke of are not passed over
    assert h.percentile(found.from_due(), 100) // MS == 650 and h.percentile(found.from_send(), 100) // MS == 50


def test_one_without_an_answer_counts_for_as_long_as_it_waited_and_a_refusal_not() -> None:
    found = result(sample(0, End.NO_ANSWER, took_us=5_050 * MS), sample(1, End.REFUSED, took_us=MS))
    assert sum(found.from_due().values()) == 1 and h.percentile(found.from_due(), 50) > 4_800 * MS
    assert found.rules["taken and never answered"] == 1


def test_rules_that_clients_see() -> None:
    found = result(
        sample(0, took_us=5_001 * MS),
        sample(1, End.EXTRA),
        sample(2, End.WRONG_BODY),
        sample(3, End.REFUSED_BARE),
        sample(4, End.RESET),
        sample(5, End.GAVE_UP),
    )
    assert found.broken() == {
        "answered after the deadline": 1,
        "answers after the answer": 1,
        "another's answer": 1,
        "refused without Retry-After": 1,
        "taken and never answered": 1,
    }
    assert [found.rules[name] for name in r.FROM_SERVERS] == [r.NOT_KNOWN] * len(r.FROM_SERVERS)


@pytest.mark.parametrize(
    ("part", "once", "more", "ends", "broken"),
    [
        (SUBMIT, {(0, 0)}, {}, [End.SERVED], {}),
        (SUBMIT, set(), {(0, 0): 2}, [End.SERVED], {"unsafe and ran twice": 1}),
        (
            SUBMIT,
            {(0, 0), (0, 1)},
            {},
            [End.REFUSED, End.SERVED],
            {"unsafe and ran twice": 1, "unsafe, refused and ran": 1},
        ),
        (SUBMIT, set(), {}, [End.SERVED], {"served and never ran": 1}),
        (SUBMIT, {(0, 0)}, {}, [End.FAILED], {}),
        (MARK, {(0, 0), (0, 1)}, {}, [End.REFUSED, End.SERVED], {"keyed and ran twice": 1}),
        (MARK, {(0, 1)}, {}, [End.REFUSED, End.SERVED], {}),
        (VIEW, set(), {(0, 0): 3}, [End.SERVED], {}),
    ],
)
def test_rules_that_only_servers_know(
    part: str, once: set[tuple[int, int]], more: dict[tuple[int, int], int], ends: list[End], broken: dict[str, int]
) -> None:
    found = result(
        *(sample(0, end, n) for n, end in enumerate(ends)), parts=(part, TARGET), truth=r.Truth(frozenset(once), more)
    )
    assert found.broken() == broken


def test_the_servers_account_is_read() -> None:
    ups = [{"after_drain": 1, "fell": True, "repeats": 4}, {"after_drain": 0, "fell": False, "repeats": 0}]
    found = r.truth_of(
        {"once": f"{request_id('ab', 3, 0)}\nstranger", "more": {request_id("ab", 4, 1): 2, "x": 9}, "upstreams": ups}
    )
    assert (found.ran(3, 0), found.ran(4, 1), found.ran(5, 0)) == (1, 2, 0)
    assert (found.after_drain, found.fell, found.repeats, found.strangers) == (1, 1, 4, 2)
    assert parse_id("ab-3-x") is None


def watch(from_us: int, to_us: int, **seen: Any) -> dict[str, Any]:
    return {
        "from_us": from_us,
        "to_us": to_us,
        "cpu_s": 0.0,
        "gc_longest_us": 0,
        "most_connections": 3,
        "starved": 0,
        **seen,
    }


def test_an_interval_in_which_the_generator_fell_behind_says_why() -> None:
    found = result(
        sample(0, sched_us=100 * MS, lag_us=300 * MS),
        sample(5, End.NO_PORT, sched_us=1_100 * MS),
        watches=(watch(0, 1_000 * MS, cpu_s=0.95), watch(1_000 * MS, 1_250 * MS, gc_longest_us=80 * MS, starved=7)),
    )
    first, second = (i.flags for i in found.intervals)
    assert [f.split()[0] for f in first] == ["1", "a"] and "sent 300" in first[0] and "95% busy" in first[1]
    assert any("collector" in f for f in second) and "7 waited for a connection" in second and "1 no port" in second
    assert len(found.flagged()) == 2


def test_in_a_good_interval_nothing_is_flagged() -> None:
    found = result(
        *(sample(n, sched_us=n * 200 * MS, lag_us=400) for n in range(10)), watches=(watch(0, 2_000 * MS, cpu_s=0.5),)
    )
    assert not found.flagged() and found.reached() == 5


def test_the_warm_up_is_shown_and_not_counted() -> None:
    found = result(*(sample(n, sched_us=n * 200 * MS) for n in range(10)), head="warm_up_s = 1")
    assert sum(found.ends().values()) == 5 and sum(i.due for i in found.intervals) == 10
    assert found.kinds["view"].due == 5


def test_json_holds_all_of_it_and_is_read_back(tmp_path: Path) -> None:
    found = result(*(sample(n, sched_us=n * 200 * MS, took_us=(n + 1) ** 3 * 333) for n in range(10)))
    path = tmp_path / "r.json"
    path.write_text(json.dumps(found.to_json()))
    again = r.read(path)
    assert again == found and again.to_json() == found.to_json()
    assert page(again) == page(found)


@pytest.mark.parametrize(
    ("content", "expected"),
    [
        ("{", "expected JSON"),
        ("[]", "format: expected"),
        ('{"format": "other"}', "got 'other'"),
        ('{"format": "ironscale-load", "version": 7}', "version: expected 1, got 7"),
        ('{"format": "ironscale-load", "version": 1}', "expected a key 'title'"),
    ],
)
def test_a_file_that_is_no_result_is_named(tmp_path: Path, content: str, expected: str) -> None:
    path = tmp_path / "r.json"
    path.write_text(content)
    with pytest.raises(r.ResultError) as found:
        r.read(path)
    assert str(found.value).startswith(f"{path}: ") and expected in str(found.value)


def test_a_damaged_histogram_is_named(tmp_path: Path) -> None:
    data = result(sample(0)).to_json()
    data["intervals"][0]["lag"] = data["intervals"][0]["lag"][:-9] + "AAAA"
    path = tmp_path / "r.json"
    path.write_text(json.dumps(data))
    with pytest.raises(r.ResultError, match="expected a histogram"):
        r.read(path)


@settings(max_examples=15, deadline=None)
@given(st.lists(st.integers(0, h.HIGHEST + 10), min_size=1, max_size=60))
def test_rounded_values_are_the_librarys_classes(values: list[int]) -> None:
    from hdrh.histogram import HdrHistogram

    plain, counts = HdrHistogram(h.LOWEST, h.HIGHEST, h.DIGITS), Counter(map(h.rounded, values))
    for value in values:
        plain.record_value(min(max(value, h.LOWEST), h.HIGHEST))
    shares = (50.0, 90.0, 99.0, 100.0)
    assert [plain.get_value_at_percentile(p) for p in shares] == [h.percentile(counts, p) for p in shares]
    assert h.quantiles(counts, shares) == [h.percentile(counts, p) for p in shares]
    assert h.decode(h.encode(counts)) == counts
    assert all(h.rounded(v) <= max(v, 1) and min(max(v, 1), h.HIGHEST) - h.rounded(v) <= v / 1000 for v in values)


def test_the_page_shows_flags_marks_and_broken_rules_and_fetches_nothing() -> None:
    found = result(sample(0, lag_us=300 * MS), sample(1, End.WRONG_BODY, sched_us=200 * MS))
    found.marks.append({"mark": "pause <&>", "at_us": 500 * MS, "upstream": 0, "of": 1})
    found.title = "<script>"
    text = page(found)
    assert 'class="flag"' in text and 'class="mark"' in text and "another&#x27;s answer" in text
    assert "pause &lt;&amp;&gt;" in text and "<script" not in text
    assert "http" not in text.replace("HTTP", "") and "src=" not in text and "@import" not in text
