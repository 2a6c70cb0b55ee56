"""What recordings of several gateways say together: first tries, attempts, coverage.

Clients' repeats are effects of the answers of that day, not causes: they are told apart here by their marks,
so that a replay takes first tries only and lets the model's clients make their own repeats.
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
Received = tuple[
    list[tuple[RecordedRequest, int]], Floats
]  # (row, server) of served attempts, and the work of each


class RecordedTrafficError(ValueError):
    """Recordings that cannot be put together, or hold too little; the text is for the operator."""


@dataclass(slots=True)
class Traffic:
    """Rows of all recordings by time, `at` in ms since the first; whose they are and what is missing."""

    rows: list[RecordedRequest]
    owner: list[int]  # the gateway of each row
    begin: float  # Unix ms
    length: float  # ms
    gateways: int
    recorded: tuple[int, ...]  # the gateways whose recordings are here
    problems: list[str]

    @property
    def coverage(self) -> float:
        return len(self.recorded) / self.gateways

    def firsts(self) -> list[RecordedRequest]:
        return [row for row in self.rows if not row.is_retry]


def read_recordings(files: Sequence[Path]) -> Traffic:
    """Read the recordings of one fleet. Raises `BadTraffic`, `RecordingError`, OSError."""
    held: dict[int, list[RecordedRequest]] = {}
    trouble, sizes = list[str](), set[int]()
    for file in files:
        one = form.read_recording(file.read_bytes())
        trouble += [f"{file.name}: {line}" for line in one.problems]
        sizes.add(one.gateways)
        held.setdefault(one.gateway, []).extend(one.rows)
    if len(sizes) != 1:
        raise RecordedTrafficError(
            f"the recordings are of fleets of different sizes: {sorted(sizes)} gateways"
        )
    if not any(held.values()):
        raise RecordedTrafficError("the recordings hold no requests")
    # Rings of different ages: only the time that all of them cover can be put together.
    begin = max(rows[0].arrived_at for rows in held.values() if rows)
    end = min(rows[-1].arrived_at for rows in held.values() if rows)
    if end - begin < 1000:
        raise RecordedTrafficError("the recordings have less than a second in common")
    pairs = sorted(
        ((row, owner) for owner, rows in held.items() for row in rows if begin <= row.arrived_at <= end),
        key=lambda pair: pair[0].arrived_at,
    )
    return Traffic(
        [row for row, _ in pairs],
        [owner for _, owner in pairs],
        begin,
        end - begin,
        sizes.pop(),
        tuple(sorted(held)),
        trouble,
    )


def received(traffic: Traffic, cores: float) -> Received:
    """Work that each served attempt got, in ms of a core: [(row, server)], and the work.

    Nobody records how fast a till server is, only how long answers took. Its cores are shared evenly, so an
    attempt that was there with n others for a while got min(1, cores / n) of a core in that time. What
    gateways that did not record had out is reckoned by the coverage.
    """
    events: dict[int, list[tuple[float, int, int]]] = {}
    attempts: list[tuple[RecordedRequest, int, float, float, str]] = []
    for row in traffic.rows:
        for one in row.attempts:
            if one.status in ("ok", "error", "timeout", "cancelled", "reset"):
                begin = row.arrived_at + one.sent_after_ms
                number = len(attempts)
                attempts.append((row, one.endpoint, begin, begin + one.duration_ms, one.status))
                events.setdefault(one.endpoint, []).extend(
                    [(begin, 1, number), (begin + one.duration_ms, -1, number)]
                )
    work = np.zeros(len(attempts))
    scale = 1 / traffic.coverage
    for there in events.values():
        there.sort()
        out: set[int] = set()
        done, at = 0.0, 0.0
        starts: dict[int, float] = {}
        for when, step, number in there:
            if out:
                held = max(1.0, 1 + (len(out) - 1) * scale)
                done += (when - at) * min(1.0, cores / held)
            at = when
            if step > 0:
                out.add(number)
                starts[number] = done
            else:
                out.discard(number)
                work[number] = done - starts.pop(number)
    good = [n for n, one in enumerate(attempts) if one[4] == "ok" and work[n] > 0]
    return [(attempts[n][0], attempts[n][1]) for n in good], work[good]


def segments(counts: npt.NDArray[np.int64], penalty: float = 4.0) -> Floats:
    """A piecewise constant rate per step behind Poisson counts, by binary segmentation.

    A cut is kept where it raises the log likelihood by more than `penalty` times the log of the length over 2
    (Bayesian information criterion, with a factor): what lies between cuts is chance; a replay draws its own.
    """
    sums = np.concatenate([[0], np.cumsum(counts)]).astype(float)
    rate = np.zeros(len(counts))
    stack = [(0, len(counts))]
    least = penalty * np.log(max(2, len(counts))) / 2

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
            if gain[best] > least:
                stack += [(begin, int(cuts[best])), (int(cuts[best]), end)]
                continue
        rate[begin:end] = total / (end - begin)
    return rate
