"""What it costs to tell what a GraphQL request is: `python -m bench.graphql [--seconds 1]`.

By document size: graphql-core's own parse and validate as the limit, ours for a document that is not known yet and for
one that is (the cache), and the whole from the bytes of a body. Ratios of one run; CPU microseconds, medians.
"""

from __future__ import annotations

import argparse
import json
import statistics
import time
from collections.abc import Callable
from typing import Any

from graphql import parse, validate

from ironscale.graphql.classify import classify
from ironscale.graphql.documents import Documents, Limits, Request, read_document, read_requests
from tests.graphql.samples import MAP, SCHEMA

WIDE = Limits(fields=100_000, cost=10_000_000, tokens=100_000)


def document(fields: int) -> str:
    """A query of so many root fields, in fragments of ten."""
    parts = [f"a{i}: homework(id: {i}) {{ title school {{ name }} }}" for i in range(fields)]
    groups = [parts[i:i + 10] for i in range(0, len(parts), 10)]
    spreads = " ".join(f"...F{i}" for i in range(len(groups)))
    return "query Q($x: Boolean = true) { s: school @include(if: $x) { name } " + spreads + " } " + " ".join(
        f"fragment F{i} on Query {{ {' '.join(group)} }}" for i, group in enumerate(groups))


def median_us(work: Callable[[], Any], seconds: float) -> float:
    took: list[float] = []
    until = time.monotonic() + seconds
    while time.monotonic() < until or len(took) < 5:
        began = time.process_time_ns()
        work()
        took.append((time.process_time_ns() - began) / 1e3)
    return statistics.median(took)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=1.0, help="of each figure")
    seconds = parser.parse_args().seconds
    print(f"{'fields':>7} {'bytes':>8} {'parse+validate':>15} {'unknown':>9} {'known':>8} {'of a body':>10}   "
          "ratios to the first")
    for fields in (1, 5, 20, 100, 400):
        text = document(fields)
        body = json.dumps({"query": text, "variables": {"x": True}}).encode()
        request = Request(text, None, {"x": True})
        warm = Documents(SCHEMA, WIDE)

        def whole(documents: Documents = warm, body: bytes = body) -> None:
            for one in read_requests(body, WIDE)[0]:
                classify(one, documents.find(one), SCHEMA, MAP, WIDE)

        limit = median_us(lambda text=text: validate(SCHEMA, parse(text)), seconds)  # type: ignore[misc]
        figures = [
            median_us(lambda text=text, request=request: classify(  # type: ignore[misc]
                request, read_document(text, SCHEMA, WIDE), SCHEMA, MAP, WIDE), seconds),
            median_us(lambda request=request, warm=warm: classify(  # type: ignore[misc]
                request, warm.find(request), SCHEMA, MAP, WIDE), seconds),
            median_us(whole, seconds)]
        print(f"{fields:>7} {len(body):>8,} {limit:>12,.0f} us {figures[0]:>6,.0f} us {figures[1]:>5,.0f} us "
              f"{figures[2]:>7,.0f} us   {figures[0] / limit:.2f} {figures[1] / limit:.3f} {figures[2] / limit:.3f}",
              flush=True)


if __name__ == "__main__":
    main()
