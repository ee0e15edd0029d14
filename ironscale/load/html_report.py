"""One self-contained page of a run: its course as pictures, its figures as tables. No script, nothing fetched."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from html import escape

from ironscale.load.histogram import percentile, summary
from ironscale.load.outcome import End
from ironscale.load.result import NOT_KNOWN, Result

WIDTH, HEIGHT, LEFT, RIGHT, TOP, BOTTOM = 900, 190, 60, 150, 24, 26
COLOURS = ("#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b", "#17becf", "#7f7f7f", "#bcbd22", "#e377c2")
STYLE = """body{font:14px/1.45 system-ui,sans-serif;max-width:960px;margin:2em auto;padding:0 1em;color:#222}
h1{font-size:1.4em}h2{font-size:1.1em;margin:1.6em 0 .3em}table{border-collapse:collapse}
td,th{padding:.15em .8em .15em 0;
text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}.bad{color:#b00;font-weight:600}
svg{display:block;margin:.4em 0}svg text{font:11px system-ui,sans-serif;fill:#444}
pre{background:#f6f6f6;padding:1em;overflow:auto}
.note{color:#666}"""


@dataclass(frozen=True, slots=True)
class Line:
    name: str
    values: Sequence[float | None]  # one an interval; None = nothing to show


class Axis:
    """From values to heights; a log axis from 0.1 on shows what lies below as 0.1."""

    def __init__(self, most: float, is_log: bool) -> None:
        self.is_log = is_log
        self.most = 10.0 ** math.ceil(math.log10(max(1.0, most))) if is_log else self._round(most)

    @staticmethod
    def _round(most: float) -> float:
        if most <= 0:
            return 1.0
        unit: float = 10.0 ** math.floor(math.log10(most))
        return next(step * unit for step in (1, 2, 5, 10) if step * unit >= most)

    def y(self, value: float) -> float:
        share = (math.log10(max(0.1, value)) + 1) / (math.log10(self.most) + 1) if self.is_log else value / self.most
        return TOP + HEIGHT * (1 - min(1.0, max(0.0, share)))

    def ticks(self) -> list[float]:
        if self.is_log:
            return [10.0**k for k in range(-1, round(math.log10(self.most)) + 1)]
        return [self.most * i / 4 for i in range(5)]


def chart(
    result: Result, title: str, unit: str, lines: Sequence[Line], is_log: bool = False, with_marks: bool = True
) -> str:
    """Lines over the time of the run; intervals in which the generator fell behind are shaded, marks are upright."""
    values = [v for line in lines for v in line.values if v is not None]
    axis = Axis(max(values, default=1.0), is_log)
    count, span = len(result.intervals), WIDTH - LEFT - RIGHT
    step = span / max(1, count)
    total_s = count * result.interval_us / 1e6
    parts = [
        f'<svg viewBox="0 0 {WIDTH} {TOP + HEIGHT + BOTTOM}" role="img" aria-label="{escape(title)}">',
        f'<text x="{LEFT}" y="14" style="font-weight:600">{escape(title)}, {escape(unit)}</text>',
    ]
    for number, interval in result.flagged():
        parts.append(
            f'<rect class="flag" x="{LEFT + number * step:.1f}" y="{TOP}" width="{max(1.0, step):.1f}" '
            f'height="{HEIGHT}" fill="#fdd"><title>{escape("; ".join(interval.flags))}</title></rect>'
        )
    for tick in axis.ticks():
        y = axis.y(tick)
        parts.append(
            f'<line x1="{LEFT}" x2="{LEFT + span}" y1="{y:.1f}" y2="{y:.1f}" stroke="#eee"/>'
            f'<text x="{LEFT - 6}" y="{y + 4:.1f}" text-anchor="end">{tick:g}</text>'
        )
    for i in range(6):
        parts.append(
            f'<text x="{LEFT + span * i / 5:.1f}" y="{TOP + HEIGHT + 16}" text-anchor="middle">'
            f"{total_s * i / 5:g} s</text>"
        )
    for n, mark in enumerate(result.marks if with_marks else []):
        x = LEFT + span * min(1.0, max(0.0, mark["at_us"] / 1e6 / total_s))
        parts.append(
            f'<line class="mark" x1="{x:.1f}" x2="{x:.1f}" y1="{TOP}" y2="{TOP + HEIGHT}" stroke="#000" '
            f'stroke-dasharray="3 3"><title>{escape(str(mark["mark"]))} at {mark["at_us"] / 1e6:.3f} s</title></line>'
            f'<text x="{x + 3:.1f}" y="{TOP + 10 + 11 * (n % 3)}">'  # those close together stay readable
            f'{escape(str(mark["mark"]))}</text>'
        )
    for n, line in enumerate(lines):
        colour = COLOURS[n % len(COLOURS)]
        points: list[str] = []
        for i, value in enumerate(line.values):
            if value is None:
                parts.append(_line(points, colour))
                points = []
            else:
                points.append(f"{LEFT + (i + 0.5) * step:.1f},{axis.y(value):.1f}")
        parts.append(_line(points, colour))
        y = TOP + 12 + 16 * n
        parts.append(
            f'<rect x="{LEFT + span + 12}" y="{y - 8}" width="10" height="10" fill="{colour}"/>'
            f'<text x="{LEFT + span + 27}" y="{y + 1}">{escape(line.name)}</text>'
        )
    return "".join([*parts, "</svg>"])


def _line(points: Sequence[str], colour: str) -> str:
    if len(points) == 1:
        x, y = points[0].split(",")
        return f'<circle cx="{x}" cy="{y}" r="2" fill="{colour}"/>'
    return f'<polyline points="{" ".join(points)}" fill="none" stroke="{colour}" stroke-width="1.5"/>' if points else ""


def table(columns: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    head = "".join(f"<th>{escape(column)}</th>" for column in columns)
    body = "".join("<tr>" + "".join(f"<td>{escape(str(cell))}</td>" for cell in row) + "</tr>" for row in rows)
    return f"<table><tr>{head}</tr>{body}</table>"


def page(result: Result) -> str:
    per_s = result.interval_us / 1e6
    ends = [end.name.lower() for end in End if any(i.ends[end.name.lower()] for i in result.intervals)]

    def over_time(figure: Callable[[int], float | None]) -> list[float | None]:
        return [figure(n) for n in range(len(result.intervals))]

    def latency(which: str, share: float) -> list[float | None]:
        return over_time(
            lambda n: (
                percentile(getattr(result.intervals[n], which), share) / 1000
                if getattr(result.intervals[n], which)
                else None
            )
        )

    charts = [
        chart(
            result,
            "Requests due, and how they ended",
            "a second",
            [
                Line("due", over_time(lambda n: result.intervals[n].due / per_s)),
                *(Line(name, [i.ends[name] / per_s for i in result.intervals]) for name in ends),
            ],
        ),
        *(
            chart(
                result,
                f"Latency from {name}",
                "ms",
                [Line(f"p{share:g}", latency(which, share)) for share in (50.0, 99.0, 99.9, 100.0)],
                is_log=True,
            )
            for name, which in (("the moment due", "from_due"), ("the send", "from_send"))
        ),
        chart(
            result,
            "How late the generator sent",
            "ms",
            [
                Line("p50", latency("lag", 50.0)),
                Line("p99", latency("lag", 99.0)),
                Line("longest", latency("lag", 100.0)),
            ],
            is_log=True,
        ),
        chart(result, "Busiest worker", "% of a core", [Line("CPU", [100 * i.busy for i in result.intervals])]),
    ]
    figures = [
        [name, f"{s['count']:,.0f}", *(f"{s.get(k, 0):,.3f}" for k in ("mean", "p50", "p90", "p99", "p99.9", "max"))]
        for name, s in (
            ("from the moment due", summary(result.from_due())),
            ("from the send", summary(result.from_send())),
            ("sent late by", summary(result.lag())),
        )
    ]
    total = sum(result.ends().values()) or 1
    flagged = result.flagged()
    kinds = [
        [
            name,
            f"{k.due:,}",
            f"{100 * k.in_aim / max(1, k.due):.2f} %",
            *(f"{summary(k.from_due).get(p, 0):,.3f}" for p in ("p50", "p99", "p99.9")),
        ]
        for name, k in result.kinds.items()
    ]
    rules = [[name, "not known" if count == NOT_KNOWN else f"{count:,}"] for name, count in result.rules.items()]
    verdict = (
        '<p class="bad">The generator fell behind in '
        f"{len(flagged)} of {len(result.intervals)} intervals; their figures are not the target's alone.</p>"
        if flagged
        else ""
    )
    broken = "".join(f'<p class="bad">{escape(name)}: {count:,}</p>' for name, count in result.broken().items())
    return "".join(
        [
            '<!doctype html><html lang="en"><head><meta charset="utf-8"><title>',
            escape(result.title or "load run"),
            "</title><style>",
            STYLE,
            "</style></head><body><h1>",
            escape(result.title or "Load run"),
            "</h1>",
            f'<p class="note">{escape(result.started)}; {result.due:,} requests in {result.duration_us / 1e6:g} s; '
            "schedule "
            f"{escape(result.schedule_digest)}; {escape(str(result.machine.get('cores')))} cores</p>",
            verdict,
            broken,
            *charts,
            "<h2>Latency, ms</h2>",
            table(("", "count", "mean", "p50", "p90", "p99", "p99.9", "max"), figures),
            "<h2>Classes</h2>",
            table(("class", "due", "served in its aim", "p50 ms", "p99 ms", "p99.9 ms"), kinds),
            "<h2>How requests ended</h2>",
            table(
                ("end", "requests", "share"),
                [[name, f"{count:,}", f"{100 * count / total:.3f} %"] for name, count in result.ends().most_common()],
            ),
            "<h2>The rules, as clients and servers saw them</h2>",
            table(("broken", "times"), rules),
            "<h2>Where the generator fell behind</h2>" if flagged else "",
            table(("interval", "why"), [[f"{n * per_s:g} s", "; ".join(i.flags)] for n, i in flagged])
            if flagged
            else "",
            "<h2>Scenario</h2><pre>",
            escape(result.scenario),
            "</pre></body></html>",
        ]
    )
