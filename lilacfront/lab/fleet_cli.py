"""`lilacfront lab fleet`: a script on real processes; figures, and the truth beside each view as a plot."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

import click

from lilacfront.lab.faults import ScriptError, parse
from lilacfront.lab.fleet import Fleet
from lilacfront.lab.members_cli import HEADER, row

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
MEMBERS_MOST = 16
COLOURS = {
    "alive": "#3a7d44",
    "suspect": "#e0a030",
    "dead": "#b03a2e",
    "left": "#4b6fa5",
    "stopped": "#999999",
}


def plot(
    history: list[tuple[float, dict[int, list[str]], dict[int, str]]], members: int, title: str, out: Path
) -> None:
    """A row of panels: the truth, then each member's view; in each a line a member, coloured by state."""
    import matplotlib

    matplotlib.use("Agg")
    import numpy as np
    from matplotlib.colors import ListedColormap
    from matplotlib.figure import Figure
    from matplotlib.patches import Patch

    states = list(COLOURS)
    times = [at for at, _, _ in history]
    figure = Figure(figsize=(10.0, 0.5 + (0.35 + 0.11 * members) * (members + 1)))
    axes = figure.subplots(members + 1, 1, sharex=True)
    colours = ListedColormap(list(COLOURS.values()))
    colours.set_bad("white")  # it was not running, or did not answer
    for n, axis in enumerate(axes):
        grid = np.full((members, len(times)), np.nan)
        for column, (_, views, true) in enumerate(history):
            view = [true.get(m, "alive") for m in range(members)] if n == 0 else views.get(n - 1)
            for member, state in enumerate(view or ()):
                grid[member, column] = states.index(state)
        edges = [*times, times[-1] + 0.25]
        axis.pcolormesh(edges, np.arange(members + 1) - 0.5, grid, cmap=colours, vmin=-0.5, vmax=4.5)
        axis.set_yticks(range(members))
        axis.tick_params(labelsize=5)
        axis.invert_yaxis()
        axis.set_ylabel("truth" if n == 0 else f"view of {n - 1}", fontsize=7)
    axes[0].set_title(title, fontsize=9)
    axes[-1].set_xlabel("seconds", fontsize=8)
    patches = [Patch(color=colour, label=state) for state, colour in COLOURS.items()]
    figure.legend(handles=patches, loc="upper right", fontsize=6, ncols=len(patches))
    out.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(out, bbox_inches="tight")


@click.command("fleet")
@click.argument("scripts", nargs=-1, required=True, type=FILE)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), help="Where to write plots and views."
)
def command(scripts: tuple[Path, ...], seed: int, out: Path | None) -> None:
    """Play scripts of faults on 3 to 16 real front ends, with relays between them; a table in Markdown.

    The same files as for `lab members`, and in them `warehouses`, `requests_per_s`, faults of warehouses, and
    `old`: members that run without membership.
    """
    click.echo(HEADER)
    for path in scripts:
        try:
            script = parse(path.read_bytes())
        except ScriptError as problem:
            raise click.ClickException(f"{path}: {problem}") from problem
        if script.members > MEMBERS_MOST:
            raise click.ClickException(f"{path}: members: {script.members} are too many for real processes")
        with tempfile.TemporaryDirectory(prefix="lilacfront-fleet-") as folder:
            fleet = Fleet(Path(folder), script, seed)
            try:
                outcome, history, ended = fleet.ready().play()
                longest = fleet.relays.longest
            finally:
                fleet.close()
        click.echo(row(path.stem, [outcome]))
        told = ", ".join(f"{count} {word}" for word, count in sorted(ended.items()))
        click.echo(f"  longest message {longest} bytes", err=True)
        if told:
            click.echo(f"  requests: {told}", err=True)
        if out is not None:
            plot(history, script.members, f"{path.stem}, seed {seed}", out / f"{path.stem}.svg")
            lines = (json.dumps({"at": at, "views": views, "truth": true}) for at, views, true in history)
            (out / f"{path.stem}.jsonl").write_text("\n".join(lines) + "\n")
