"""Reports on runs as a self-contained HTML page: tables, plots, and comparisons of runs."""

from __future__ import annotations

import base64
import io
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import matplotlib
import numpy as np
from jinja2 import Environment, PackageLoader, StrictUndefined
from matplotlib.figure import Figure
from numpy.typing import NDArray

from lilacfront.load.compare import Difference, compare_runs, confidence_intervals
from lilacfront.load.histogram import US_PER_MS, merge_histograms, percentiles_ms
from lilacfront.load.measurements import Second
from lilacfront.load.result import Result, read_result
from lilacfront.load.retry_policy import Outcome

Times = NDArray[np.float64]
OUTCOME_COLOURS = {
    Outcome.SERVED: "#3a7d44",
    Outcome.REJECTED: "#e0a030",
    Outcome.FAILED: "#b03a2e",
    Outcome.LOST: "#555555",
}
RUN_COLOURS = ("#4b6fa5", "#b5651d", "#3a7d44", "#7a4f9a", "#b03a2e", "#2a8c8c")
MAX_PLOT_POINTS = 1200  # along the time axis; in a longer run a point covers several seconds
MAX_NINES = 5  # the percentile curve ends at the percentile 99.999
CURVE_POINTS = 200
PERCENT = 100
LATENCY_LINES = (("p50", 1.6), ("p90", 1.2), ("p99", 1.0), ("max", 0.6))  # with line widths in points


@dataclass(slots=True, frozen=True)
class _Run:
    name: str
    result: Result
    seconds: list[Second]


def write_report(folders: list[Path], out: Path) -> None:
    """Writes a report on runs; compares each run after the first with the first.

    Raises:
        ResultError: A directory has no valid result.
        OSError: The report can't be written.
    """
    matplotlib.use("Agg")
    runs = [_Run(str(folder), *read_result(folder)) for folder in folders]
    pages = [
        {
            "name": run.name,
            "result": run.result,
            "intervals": confidence_intervals(run.seconds),
            "plot": _time_plot(run.seconds),
        }
        for run in runs
    ]
    baseline = runs[0]
    compared: list[tuple[str, str, list[Difference]]] = [
        (baseline.name, run.name, compare_runs(baseline.seconds, run.seconds)) for run in runs[1:]
    ]
    environment = Environment(
        loader=PackageLoader("lilacfront.load", "."), autoescape=True, undefined=StrictUndefined
    )
    text = environment.get_template("report.html").render(
        pages=pages,
        compared=compared,
        curve=_percentile_plot(runs),
        outcomes=[outcome.value for outcome in Outcome],
    )
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(text)


def _image(figure: Figure) -> str:
    """Returns a figure as a data URL of an SVG image."""
    data = io.BytesIO()
    figure.savefig(data, format="svg", bbox_inches="tight")
    return "data:image/svg+xml;base64," + base64.b64encode(data.getvalue()).decode()


def _downsample(seconds: list[Second]) -> tuple[int, list[Second]]:
    """Merges seconds if there are too many to draw; returns the seconds per point, and the points."""
    step = 1 + (seconds[-1].second if seconds else 0) // MAX_PLOT_POINTS
    if step == 1:
        return step, seconds
    steps: dict[int, list[Second]] = {}
    for second in seconds:
        steps.setdefault(second.second // step, []).append(second)
    return step, [_merge_step(number * step, parts) for number, parts in steps.items()]


def _merge_step(start: int, parts: list[Second]) -> Second:
    outcomes = {
        outcome.value: sum(part.outcomes.get(outcome.value, 0) for part in parts) for outcome in Outcome
    }
    intended = merge_histograms(part.intended for part in parts if part.intended).encode().decode()
    sent = sum(part.sent for part in parts)
    return Second(start, sent, outcomes, intended, max(part.lag_ms for part in parts))


def _time_plot(seconds: list[Second]) -> str:
    step, points = _downsample(seconds)
    times = np.array([point.second for point in points], dtype=float)
    figure = Figure(figsize=(9, 7.5))
    axes: Any = figure.subplots(3, 1, sharex=True, height_ratios=(2, 3, 1))
    rate_axes, latency_axes, lag_axes = axes
    _draw_rates(rate_axes, times, points, step)
    _draw_latencies(latency_axes, times, points)
    lag_axes.plot(times, [point.lag_ms for point in points], color="#7a4f9a", linewidth=0.8)
    lag_axes.set_ylabel("schedule lag,\nmax, ms")
    lag_axes.set_xlabel("due time of the request, seconds after the start")
    return _image(figure)


def _draw_rates(axes: Any, times: Times, points: list[Second], step: int) -> None:
    rates = [[point.outcomes.get(outcome.value, 0) / step for point in points] for outcome in Outcome]
    if len(times):
        labels = [outcome.value for outcome in Outcome]
        colours = [OUTCOME_COLOURS[outcome] for outcome in Outcome]
        axes.stackplot(times, rates, labels=labels, colors=colours)
    sent = [point.sent / step for point in points]
    axes.plot(times, sent, color="black", linewidth=0.8, label="sent")
    axes.set_ylabel("requests per second")
    axes.legend(loc="upper right", fontsize="small", ncols=5)


def _draw_latencies(axes: Any, times: Times, points: list[Second]) -> None:
    summaries = [
        percentiles_ms(merge_histograms([point.intended] if point.intended else [])) for point in points
    ]
    for name, width in LATENCY_LINES:
        values = [summary[name] if summary[name] is not None else np.nan for summary in summaries]
        axes.plot(times, values, linewidth=width, label=name)
    axes.set_yscale("log")
    axes.set_ylabel("ms from the due time")
    axes.grid(True, which="both", alpha=0.25)
    axes.legend(loc="upper right", fontsize="small", ncols=4)


def _percentile_plot(runs: list[_Run]) -> str:
    figure = Figure(figsize=(9, 4))
    axes: Any = figure.subplots()
    nines = np.linspace(0, MAX_NINES, CURVE_POINTS)
    for n, run in enumerate(runs):
        histogram = merge_histograms([run.result.histograms.intended])
        count = histogram.get_total_count()
        if not count:
            continue
        shown_nines = nines[nines <= np.log10(max(10, count))]
        percents = [PERCENT * (1 - 10**-value) for value in shown_nines]
        values = [histogram.get_value_at_percentile(percent) / US_PER_MS for percent in percents]
        axes.plot(shown_nines, values, label=run.name, color=RUN_COLOURS[n % len(RUN_COLOURS)])
    axes.set_xticks(list(range(MAX_NINES + 1)), ["0", "90", "99", "99.9", "99.99", "99.999"])
    axes.set_yscale("log")
    axes.set_xlabel("percentile")
    axes.set_ylabel("ms from the due time")
    axes.grid(True, which="both", alpha=0.25)
    if len(runs) > 1:
        axes.legend()
    return _image(figure)
