"""The format of the statistics that operators fetch."""

from __future__ import annotations

from collections import Counter

from mapleshunt.lifecycle.statistics import render


def test_each_class_has_all_counters_including_those_at_zero() -> None:
    counts = Counter({("completed", "a"): 3, ("upstream_requests", "b"): 1})
    lines = render(["a", "b"], counts, {"pending": 2}).splitlines()
    assert lines == [
        "gateway.completed.a:3|c", "gateway.rejected.a:0|c", "gateway.failed.a:0|c",
        "gateway.upstream_requests.a:0|c", "gateway.completed.b:0|c", "gateway.rejected.b:0|c",
        "gateway.failed.b:0|c", "gateway.upstream_requests.b:1|c", "gateway.pending:2|g",
    ]  # fmt: skip
