"""Plots membership views and real states of a fleet over time; needs the optional `lab` dependencies."""

from __future__ import annotations

from pathlib import Path

import matplotlib
import numpy as np
from matplotlib.axes import Axes
from matplotlib.colors import ListedColormap
from matplotlib.figure import Figure
from matplotlib.patches import Patch

from lilacfront.lab.fleet_run import OBSERVE_INTERVAL_S, ViewSample

STATE_COLOURS = {
    "alive": "#3a7d44",
    "suspect": "#e0a030",
    "dead": "#b03a2e",
    "left": "#4b6fa5",
    "stopped": "#999999",
}
STATES = list(STATE_COLOURS)
WIDTH_INCHES = 10.0
MARGIN_INCHES = 0.5
PANEL_INCHES = 0.35
MEMBER_INCHES = 0.11
TITLE_POINTS = 9
AXIS_POINTS = 8
PANEL_POINTS = 7
LEGEND_POINTS = 6
TICK_POINTS = 5


def plot_views(samples: list[ViewSample], members: int, title: str, path: Path) -> None:
    """Plot a column of panels: the real states, then the view of each member, with one row per member."""
    matplotlib.use("Agg")
    figure = Figure(
        figsize=(WIDTH_INCHES, MARGIN_INCHES + (PANEL_INCHES + MEMBER_INCHES * members) * (members + 1))
    )
    axes = figure.subplots(members + 1, 1, sharex=True)
    _draw_panel(axes[0], samples, [_true_states(sample, members) for sample in samples], members, "truth")
    for viewer in range(members):
        views = [sample.views.get(viewer) for sample in samples]
        _draw_panel(axes[viewer + 1], samples, views, members, f"view of {viewer}")
    axes[0].set_title(title, fontsize=TITLE_POINTS)
    axes[-1].set_xlabel("seconds", fontsize=AXIS_POINTS)
    patches = [Patch(color=colour, label=state) for state, colour in STATE_COLOURS.items()]
    figure.legend(handles=patches, loc="upper right", fontsize=LEGEND_POINTS, ncols=len(patches))
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, bbox_inches="tight")


def _true_states(sample: ViewSample, members: int) -> list[str]:
    return [sample.truth.get(member, "alive") for member in range(members)]


def _draw_panel(
    axis: Axes, samples: list[ViewSample], views: list[list[str] | None], members: int, label: str
) -> None:
    colours = ListedColormap(list(STATE_COLOURS.values()))
    colours.set_bad("white")  # the viewer was not running or did not answer
    grid = np.full((members, len(samples)), np.nan)
    for column, view in enumerate(views):
        for member, state in enumerate(view or ()):
            grid[member, column] = STATES.index(state)
    times = [sample.at_s for sample in samples]
    edges = [*times, times[-1] + OBSERVE_INTERVAL_S]
    rows = np.arange(members + 1) - 0.5
    axis.pcolormesh(edges, rows, grid, cmap=colours, vmin=-0.5, vmax=len(STATES) - 0.5)
    axis.set_yticks(range(members))
    axis.tick_params(labelsize=TICK_POINTS)
    axis.invert_yaxis()
    axis.set_ylabel(label, fontsize=PANEL_POINTS)
