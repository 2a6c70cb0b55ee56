"""The recordings of a fleet's gateways, merged: requests, their upstream attempts, and the coverage.

Clients' retries are caused by the responses of the recorded run. They are marked as retries, so that a replay
takes first attempts only and lets the simulated clients make their own retries.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np
import numpy.typing as npt

from ..recording import file_format as form
from ..recording.file_format import RecordedRequest

Floats = npt.NDArray[np.float64]
# The request and endpoint of each served attempt, and the work of each.
ServedWork = tuple[list[tuple[RecordedRequest, int]], Floats]


class RecordedTrafficError(ValueError):
    """Recordings cannot be merged or contain too little; the text is for the operator."""


@dataclass(slots=True)
class Traffic:
    """The requests of all recordings in order of arrival, and which gateways recorded them."""

    rows: list[RecordedRequest]
    recorded_by: list[int]  # the gateway of each row
    begin: float  # Unix ms
    length: float  # ms
    gateways: int
    recorded: tuple[int, ...]  # the gateways whose recordings are here
    problems: list[str]

    @property
    def coverage(self) -> float:
        """Return the share of the gateways whose recordings are here."""
        return len(self.recorded) / self.gateways

    def first_attempts(self) -> list[RecordedRequest]:
        """Return the requests that are no retries of a client."""
        return [row for row in self.rows if not row.is_retry]


def read_recordings(files: Sequence[Path]) -> Traffic:
    """Read and merge the recordings of a fleet.

    Raises:
        RecordedTrafficError: the recordings do not fit together or contain too little.
        RecordingError: a file is not a recording.
        OSError: a file cannot be read.
    """
    rows_by_gateway: dict[int, list[RecordedRequest]] = {}
    problems, sizes = list[str](), set[int]()
    for file in files:
        recording = form.read_recording(file.read_bytes())
        problems += [f"{file.name}: {line}" for line in recording.problems]
        sizes.add(recording.gateways)
        rows_by_gateway.setdefault(recording.gateway, []).extend(recording.rows)
    if len(sizes) != 1:
        raise RecordedTrafficError(
            f"the recordings are of fleets of different sizes: {sorted(sizes)} gateways"
        )
    if not any(rows_by_gateway.values()):
        raise RecordedTrafficError("the recordings contain no requests")
    # The recordings are ring buffers that cover different periods; only their common period is used.
    begin = max(rows[0].arrived_at for rows in rows_by_gateway.values() if rows)
    end = min(rows[-1].arrived_at for rows in rows_by_gateway.values() if rows)
    if end - begin < 1000:
        raise RecordedTrafficError(
            f"the recordings must overlap by at least 1 s, got {(end - begin) / 1000:.3f} s"
        )
    pairs = sorted(
        (
            (row, gateway)
            for gateway, rows in rows_by_gateway.items()
            for row in rows
            if begin <= row.arrived_at <= end
        ),
        key=lambda pair: pair[0].arrived_at,
    )
    return Traffic(
        [row for row, _ in pairs],
        [gateway for _, gateway in pairs],
        begin,
        end - begin,
        sizes.pop(),
        tuple(sorted(rows_by_gateway)),
        problems,
    )


def served_work(traffic: Traffic, cores: float) -> ServedWork:
    """Return the served attempts with the work that each received, in ms of a core.

    Recordings contain the duration of attempts, not the speed of a backend. A backend's cores are shared
    evenly, so each of n attempts in flight receives min(1, cores / n) of a core. The attempts of gateways
    without a recording are estimated from the coverage.
    """
    events: dict[int, list[tuple[float, int, int]]] = {}
    attempts: list[tuple[RecordedRequest, int, float, float, str]] = []
    for row in traffic.rows:
        for attempt in row.attempts:
            if attempt.status in ("ok", "error", "timeout", "cancelled", "reset"):
                begin = row.arrived_at + attempt.sent_after_ms
                number = len(attempts)
                attempts.append((row, attempt.endpoint, begin, begin + attempt.duration_ms, attempt.status))
                events.setdefault(attempt.endpoint, []).extend(
                    [(begin, 1, number), (begin + attempt.duration_ms, -1, number)]
                )
    work = np.zeros(len(attempts))
    scale = 1 / traffic.coverage
    for changes in events.values():
        changes.sort()
        in_flight: set[int] = set()
        done, at = 0.0, 0.0
        starts: dict[int, float] = {}
        for when, step, number in changes:
            if in_flight:
                concurrency = max(1.0, 1 + (len(in_flight) - 1) * scale)
                done += (when - at) * min(1.0, cores / concurrency)
            at = when
            if step > 0:
                in_flight.add(number)
                starts[number] = done
            else:
                in_flight.discard(number)
                work[number] = done - starts.pop(number)
    served = [n for n, attempt in enumerate(attempts) if attempt[4] == "ok" and work[n] > 0]
    return [(attempts[n][0], attempts[n][1]) for n in served], work[served]


def segment_rates(counts: npt.NDArray[np.int64], penalty: float = 4.0) -> Floats:
    """Return the piecewise constant rate per step that fits Poisson counts, by binary segmentation.

    A cut is kept if it raises the log likelihood by more than `penalty` times the log of the length over 2
    (Bayesian information criterion, with a factor). Variation between cuts counts as noise, which a replay
    draws anew.
    """
    sums = np.concatenate([[0], np.cumsum(counts)]).astype(float)
    rate = np.zeros(len(counts))
    stack = [(0, len(counts))]
    min_gain = penalty * np.log(max(2, len(counts))) / 2

    def likelihood(total: Any, steps: Any) -> Any:
        total, steps = np.asarray(total, dtype=float), np.asarray(steps, dtype=float)
        return np.where(total > 0, total * np.log(np.maximum(total, 1e-12) / steps), 0.0)

    while stack:
        begin, end = stack.pop()
        total = sums[end] - sums[begin]
        if end - begin >= 2 and total > 0:
            cuts = np.arange(begin + 1, end)
            left = sums[cuts] - sums[begin]
            gain = (
                likelihood(left, cuts - begin)
                + likelihood(total - left, end - cuts)
                - likelihood(total, end - begin)
            )
            best = int(np.argmax(gain))
            if gain[best] > min_gain:
                stack += [(begin, int(cuts[best])), (int(cuts[best]), end)]
                continue
        rate[begin:end] = total / (end - begin)
    return rate
