"""`lilacfront peers`: shows the membership view of a running front end."""

from __future__ import annotations

import os
import sys
import time

import click

from lilacfront.discovery.endpoint_list import EndpointListError, parse_address
from lilacfront.operations.cli import EXIT_NO_ANSWER, request_lines

ANSWER_TIMEOUT_S = 2.0
FAILURE = "fail"  # first word of the answer to a command that failed


@click.command("peers")
@click.option(
    "--admin",
    metavar="HOST:PORT",
    default=lambda: os.environ.get("PROXY_ADMIN", ""),
    help="Admin address of the front end. Default: the environment variable PROXY_ADMIN.",
)
@click.option("--follow", is_flag=True, help="Keep running, and print each member whose state changes.")
@click.option(
    "--every",
    "interval_s",
    type=click.FloatRange(0.1, 60),
    default=1.0,
    show_default=True,
    help="Seconds between requests with --follow.",
)
def command(admin: str, follow: bool, interval_s: float) -> None:
    """Show which front ends are alive, as seen by one of them."""
    try:
        address = parse_address(admin)
    except EndpointListError as error:
        raise click.UsageError(f"--admin: {error}") from error
    shown: dict[str, str] = {}
    while True:
        summary, *members = _request_members(address)
        failed = summary.startswith(FAILURE)
        if not shown or failed:
            click.echo(summary)
        if failed:
            sys.exit(1)
        shown = _print_changes(members, shown)
        if not follow:
            return
        time.sleep(interval_s)


def _request_members(address: tuple[str, int]) -> list[str]:
    """Return the lines of the answer to PEERS; exits the program if there is no answer."""
    try:
        return request_lines(address, "PEERS", ANSWER_TIMEOUT_S)
    except OSError as error:
        click.echo(f"no answer from {address[0]}:{address[1]}: {error}", err=True)
        sys.exit(EXIT_NO_ANSWER)


def _print_changes(lines: list[str], shown: dict[str, str]) -> dict[str, str]:
    """Print the members whose state or incarnation differs from the one printed last.

    Args:
        lines: One line for each member.
        shown: State and incarnation of each member as printed last.

    Returns:
        State and incarnation of all members.
    """
    states: dict[str, str] = {}
    for line in lines:
        member, *words = line.split(" ")
        states[member] = " ".join(words[:2])  # state and incarnation
        if shown.get(member) != states[member]:
            click.echo(line)
    return states
