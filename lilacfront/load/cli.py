"""`lilacfront load`: runs plans, imports and exports traces, writes reports, checks the accuracy."""

from __future__ import annotations

import re
import sys
from pathlib import Path

import click
from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from lilacfront.load import report as reports
from lilacfront.load import result as results
from lilacfront.load import run as runs
from lilacfront.load.accuracy import CheckError, CheckReport, check_accuracy
from lilacfront.load.phases import PlanError
from lilacfront.load.plan import parse
from lilacfront.load.schedule import schedule
from lilacfront.load.trace import RecordedRequest, TraceError, write_trace
from lilacfront.load.trace_import import ImportTally, RequestFilter, SourceFormat, convert_traces
from lilacfront.load.worker import Progress as RunProgress

EXIT_INACCURATE = 1
EXIT_VOID = 3
EXIT_INTERRUPTED = 130
FORMAT_BY_SUFFIX: dict[str, SourceFormat] = {
    ".jsonl": "own",
    ".json": "json",
    ".ndjson": "json",
    ".csv": "csv",
}
SUMMARY_COLUMNS = ("sent", "served", "refused", "failed", "lost", "p50", "p90", "p99", "p999", "max")
_folder = click.Path(file_okay=False, path_type=Path)
_existing_folder = click.Path(exists=True, file_okay=False, path_type=Path)
_file = click.Path(dir_okay=False, path_type=Path)
_existing_file = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group("load")
def group() -> None:
    """Generate open-loop load and measure latencies without coordinated omission."""


def summary(result: results.Result) -> Table:
    """Returns the figures of a run as a table for the terminal."""
    table = Table(title="latency from the due time, ms", box=SIMPLE_HEAD, padding=0)
    table.add_column("class", overflow="fold")
    for name in SUMMARY_COLUMNS:
        table.add_column(name, justify="right", no_wrap=True)

    def add_row(name: str, sent: int, outcomes: dict[str, int], latency: results.Latency) -> None:
        figures = ["-" if value is None else f"{value:.1f}" for value in latency.intended.values()]
        table.add_row(name, str(sent), *(str(count) for count in outcomes.values()), *figures)

    for name, part in result.classes.items():
        add_row(name or "(none)", part.sent, part.outcomes, part.latency_ms)
    if len(result.classes) != 1:
        add_row("all", result.sent, result.outcomes, result.latency_ms)
    return table


class ProgressDisplay:
    """A RunObserver that shows a progress bar."""

    def __init__(self, bar: Progress) -> None:
        self._bar = bar
        self._task = bar.add_task("load", total=1.0)

    def started(self, start_time: float) -> None:
        """Does nothing: the first progress report updates the bar."""

    def progressed(self, elapsed_s: float, planned_s: float, progress: RunProgress) -> None:
        """Shows the counts of all workers so far."""
        counts = ", ".join(f"{count} {name}" for name, count in progress.outcomes.items())
        text = f"{progress.sent} sent, {progress.open} open, {counts or 'none finished'}"
        completed = max(0.0, min(elapsed_s, planned_s))
        self._bar.update(self._task, total=planned_s, completed=completed, description=text)


def run_and_print(text: bytes, folder: Path, out: Path, targets: list[str]) -> results.Result:
    """Runs a plan, shows a progress bar if stderr is a terminal, and prints the figures.

    Raises:
        click.ClickException: The run failed.
    """
    console = Console(stderr=True)
    try:
        if console.is_terminal:
            columns = (TextColumn("{task.description}"), BarColumn(), TimeRemainingColumn())
            with Progress(*columns, console=console) as bar:
                result = runs.run_plan(text, folder, out, targets, ProgressDisplay(bar))
        else:
            result = runs.run_plan(text, folder, out, targets)
    except (PlanError, TraceError, OSError, runs.RunError) as error:
        raise click.ClickException(str(error)) from error
    _print_result(result, out)
    return result


def _print_result(result: results.Result, out: Path) -> None:
    Console().print(summary(result))
    lag = result.schedule_lag_ms
    path = out / results.RESULT_FILE
    click.echo(f"schedule lag p99 {lag['p99']} ms, max {lag['max']} ms; result in {path}")
    for name, count in result.checks.items():
        if count:
            click.echo(f"unexpected answers ({name}): {count}")
    if result.partial:
        click.echo(f"PARTIAL: ended early; {result.unfinished} requests were still open")
    for reason in result.void_reasons:
        click.echo(f"VOID: {reason}")


@group.command()
@click.argument("plan", type=_existing_file)
@click.option("--out", required=True, type=_folder, help="Directory for the result; created if missing.")
@click.option(
    "--target",
    "targets",
    multiple=True,
    metavar="HOST:PORT",
    help="Replaces the plan's addresses; may be repeated.",
)
def run(plan: Path, out: Path, targets: tuple[str, ...]) -> None:
    """Run PLAN and write result.json to a directory.

    The exit code is 3 if the run is void (for example because the generator could not keep up), and 130 if a
    valid run was interrupted.
    """
    result = run_and_print(plan.read_bytes(), plan.parent, out, list(targets))
    if result.is_void:
        sys.exit(EXIT_VOID)
    if result.partial:
        sys.exit(EXIT_INTERRUPTED)


@group.command("import")
@click.argument("files", nargs=-1, required=True, type=_existing_file)
@click.option("--out", required=True, type=_file, help="Trace file to write.")
@click.option(
    "--form",
    type=click.Choice(["own", "json", "csv"]),
    help="Trace (own), or query log as JSONEachRow or CSVWithNames; default: by file extension.",
)
@click.option(
    "--speed",
    type=click.FloatRange(min=0, min_open=True),
    default=1.0,
    help="Factor that all times are divided by.",
)
@click.option("--user", "users", multiple=True, help="Keep only requests of this user; may be repeated.")
@click.option("--class", "classes", multiple=True, help="Keep only requests of this class; may be repeated.")
@click.option("--match", help="Keep only requests whose statement matches this regular expression.")
@click.option(
    "--from", "begin_s", type=float, default=0.0, help="Keep requests from this second of each file."
)
@click.option(
    "--to", "end_s", type=float, default=float("inf"), help="Keep requests before this second of each file."
)
@click.option(
    "--class-of",
    multiple=True,
    metavar="CLASS=PATTERN",
    help="Class for requests without one whose statement matches this regular expression; may be repeated.",
)
@click.option("--overlay", is_flag=True, help="Start all files at time 0 instead of one after another.")
def import_(
    files: tuple[Path, ...],
    out: Path,
    form: SourceFormat | None,
    speed: float,
    users: tuple[str, ...],
    classes: tuple[str, ...],
    match: str | None,
    begin_s: float,
    end_s: float,
    class_of: tuple[str, ...],
    overlay: bool,
) -> None:
    """Convert recorded FILES to one trace. Unusable lines are counted; the first ones are shown."""
    tally = ImportTally()
    try:
        pattern = re.compile(match) if match else None
        request_filter = RequestFilter(frozenset(users), frozenset(classes), pattern, begin_s, end_s)
        class_patterns = [_class_pattern(text) for text in class_of]
        sources = [(path, form or FORMAT_BY_SUFFIX.get(path.suffix, "own")) for path in files]
        requests = convert_traces(sources, request_filter, speed, class_patterns, tally, overlay)
        temporary = out.with_name(out.name + ".new")
        with temporary.open("wb") as file:
            count = write_trace(requests, file, files[0].name)
        temporary.replace(out)
    except (TraceError, OSError, re.error) as error:
        raise click.ClickException(str(error)) from error
    _print_tally(tally, count)
    if not count:
        raise click.ClickException("no request was imported")


def _print_tally(tally: ImportTally, count: int) -> None:
    click.echo(
        f"{tally.read} lines read, {count} requests imported, {tally.out_of_order} of them out of order"
    )
    for reason, lines in tally.skipped.most_common():
        click.echo(f"{lines} skipped: {reason}")
    if tally.unusable:
        click.echo(f"{tally.unusable} unusable lines; the first are:")
        for line in tally.shown_lines:
            click.echo(f"  {line}")


def _class_pattern(text: str) -> tuple[re.Pattern[str], str]:
    name, equals, pattern = text.partition("=")
    if not name or not equals:
        raise click.BadParameter(f"{text!r} is not CLASS=PATTERN")
    return re.compile(pattern, re.I | re.S), name


@group.command()
@click.argument("run", type=_existing_folder)
@click.option("--out", required=True, type=_file, help="Trace file to write.")
def export(run: Path, out: Path) -> None:
    """Write the requests of a finished RUN as a trace.

    The schedule is generated again from the seed in the run's plan.toml.
    If the plan replays a trace, that trace file must be in the directory of the run.
    """
    try:
        result, _ = results.read_result(run)
        plan = parse((run / results.PLAN_FILE).read_bytes(), run)
        limit_s = result.seconds if result.partial else float("inf")
        requests = (
            RecordedRequest(
                at_s=round(scheduled.due_s, 9),
                statement=scheduled.statement.decode(),
                class_name=scheduled.profile.class_name,
                user=scheduled.profile.user,
            )
            for scheduled in schedule(plan, run)
            if scheduled.due_s <= limit_s
        )
        with out.open("wb") as file:
            count = write_trace(requests, file, run.name)
    except (results.ResultError, PlanError, TraceError, OSError) as error:
        raise click.ClickException(str(error)) from error
    click.echo(f"{count} requests in {out}")


@group.command()
@click.argument("runs", nargs=-1, required=True, type=_existing_folder)
@click.option(
    "--out", type=_file, help="HTML file to write; default: report.html in the first run's directory."
)
def report(runs: tuple[Path, ...], out: Path | None) -> None:
    """Write an HTML report on one run, or compare several runs with the first."""
    out = out or runs[0] / "report.html"
    try:
        reports.write_report(list(runs), out)
    except (results.ResultError, OSError) as error:
        raise click.ClickException(str(error)) from error
    click.echo(str(out))


@group.command("check")
@click.option(
    "--rate", "rates", type=click.FloatRange(min=1), multiple=True, default=(500.0, 3000.0), show_default=True
)
@click.option("--seconds", type=click.FloatRange(min=1), default=10.0, show_default=True)
@click.option("--workers", type=click.IntRange(1, 64), default=1, show_default=True)
@click.option(
    "--protocol", type=click.Choice(["clickhouse", "platform"]), default="clickhouse", show_default=True
)
@click.option(
    "--stall", type=click.FloatRange(min=0), default=0.0, help="Seconds for which the stand-ins stall."
)
def check_(rates: tuple[float, ...], seconds: float, workers: int, protocol: str, stall: float) -> None:
    """Compare reported latencies with those logged by a stand-in server.

    The exit code is 1 if p50, p90, p99 or p999 differs by more than 2 ms + 1%, and 3 if a run was void.
    """
    table = Table(title="reported and actual latency from the due time, ms")
    for name in ("rate", "requests", "figure", "reported", "actual", "difference", ""):
        table.add_column(name, justify="right")
    check_reports = []
    for rate in rates:
        try:
            check_report = check_accuracy(rate, seconds, workers, protocol, stall)
        except (CheckError, runs.RunError, OSError) as error:
            raise click.ClickException(str(error)) from error
        _add_check_rows(table, rate, check_report)
        check_reports.append(check_report)
    Console().print(table)
    if any(check_report.result.is_void for check_report in check_reports):
        sys.exit(EXIT_VOID)
    if not all(figure.is_within_margin for check_report in check_reports for figure in check_report.figures):
        sys.exit(EXIT_INACCURATE)


def _add_check_rows(table: Table, rate: float, check_report: CheckReport) -> None:
    for figure in check_report.figures:
        table.add_row(
            f"{rate:g}",
            str(check_report.requests),
            figure.name,
            f"{figure.reported:.3f}",
            f"{figure.actual:.3f}",
            f"{figure.reported - figure.actual:+.3f}",
            "ok" if figure.is_within_margin else "INACCURATE",
        )
    lag_p99 = f"{check_report.result.schedule_lag_ms['p99']}"
    table.add_row(f"{rate:g}", "", "lag p99", lag_p99, "", "", "VOID" if check_report.result.is_void else "")
