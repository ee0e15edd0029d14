"""Draws one SVG chart for each slope. matplotlib is imported only here, as it is optional."""

from __future__ import annotations

from pathlib import Path

from ironscale.scale.result import Slope


class ChartError(Exception):
    """Charts that can't be drawn; the message is a single line."""


def draw(slope: Slope, folder: Path) -> Path:
    """Draws every repetition as a point, and the fitted line. The same slope gives the same bytes. Raises
    ChartError."""
    try:
        import matplotlib
    except ImportError as error:
        raise ChartError(f"charts: expected matplotlib (pip install 'ironscale[scale]'), got {error}") from error
    matplotlib.use("svg")
    matplotlib.rcParams.update({"svg.hashsalt": slope.name, "svg.fonttype": "none", "font.size": 9})
    from matplotlib.figure import Figure

    figure = Figure(figsize=(4.2, 2.6), layout="constrained")
    axes = figure.add_subplot()
    repetitions = [(point.size, value) for point in slope.points for value in point.repeats]
    largest = slope.points[-1].size
    axes.plot([0, largest], [slope.fit.at(0), slope.fit.at(largest)], color="0.6", linewidth=1)
    axes.plot([x for x, _ in repetitions], [y for _, y in repetitions], "o", markersize=4)
    axes.set_xlabel(slope.x_axis)
    axes.set_ylabel(slope.unit)
    axes.set_ylim(bottom=0)
    axes.set_title(f"{slope.name}: {slope.fit.verdict}", fontsize=9)
    path = folder / f"{slope.name}.svg"
    figure.savefig(path, metadata={"Date": None})
    return path
