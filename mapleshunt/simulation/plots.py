"""Plots of experiments. Matplotlib is imported only when a plot is drawn."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from .experiments import Comparison, SweepPoint


def _pyplot() -> Any:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    return pyplot


def _error_bar(low: float, high: float, mean: float) -> tuple[float, float]:
    lengths = (mean - low, high - mean)
    return lengths if all(abs(length) < float("inf") for length in lengths) else (0.0, 0.0)


def sweep(points: Sequence[SweepPoint], figure: str, title: str, file: Path) -> None:
    """Plot a sweep: a line with error bars over one setting, a heat map of means over two."""
    plt = _pyplot()
    keys = list(points[0].settings)
    fig, axes = plt.subplots(figsize=(7, 4.2), constrained_layout=True)
    measured = [point for point in points if figure in point.figures]
    if len(keys) == 1:
        means = [point.figures[figure] for point in measured]
        bars = [_error_bar(m.low, m.high, m.mean) for m in means]
        axes.errorbar(
            [point.settings[keys[0]] for point in measured],
            [m.mean for m in means],
            yerr=list(zip(*bars, strict=True)) or None,
            marker="o",
            capsize=3,
        )
        axes.set_ylabel(figure)
    else:
        xs, ys = (sorted({point.settings[key] for point in measured}) for key in keys)
        grid = [
            [
                next(
                    (
                        p.figures[figure].mean
                        for p in measured
                        if p.settings[keys[0]] == x and p.settings[keys[1]] == y
                    ),
                    float("nan"),
                )
                for x in xs
            ]
            for y in ys
        ]
        image = axes.imshow(grid, origin="lower", aspect="auto")
        axes.set_xticks(range(len(xs)), [f"{x:g}" for x in xs])
        axes.set_yticks(range(len(ys)), [f"{y:g}" for y in ys])
        for row, line in enumerate(grid):
            for column, value in enumerate(line):
                axes.text(column, row, f"{value:.3f}", ha="center", va="center", color="w")
        axes.set_ylabel(keys[1])
        fig.colorbar(image, label=figure)
    axes.set_xlabel(keys[0])
    axes.set_title(title)
    fig.savefig(file)
    plt.close(fig)


def comparison(result: Comparison, names: tuple[str, str], title: str, file: Path) -> None:
    """Plot the differences of service, its parts and the penalties as intervals, in percentage points."""
    plt = _pyplot()
    keys = [
        k
        for k in result.difference
        if k in ("service", "whole", "worst_window", "worst_plan", "g") or k.startswith("penalty.")
    ][::-1]
    fig, axes = plt.subplots(figsize=(7, 4.2), constrained_layout=True)
    rows = [result.difference[key] for key in keys]
    bars = [_error_bar(row.low, row.high, row.mean) for row in rows]
    axes.errorbar(
        [100 * row.mean for row in rows],
        range(len(keys)),
        xerr=[[100 * b[0] for b in bars], [100 * b[1] for b in bars]],
        fmt="o",
        capsize=3,
    )
    axes.axvline(0, color="0.6", linewidth=0.8)
    axes.set_yticks(range(len(keys)), keys)
    axes.set_xlabel(f"{names[1]} less {names[0]}, points of 100")
    axes.set_title(title)
    fig.savefig(file)
    plt.close(fig)
