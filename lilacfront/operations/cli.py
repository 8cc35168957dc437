"""`lilacfront ops`: sends admin commands to a running front end.

Exit codes: 0: the answer is `ok`; 1: the answer is `fail`; 2: invalid command line; 3: no answer.
The docstrings of the commands are their help texts.
"""

from __future__ import annotations

import os
import socket
import sys
import time

import click

from lilacfront.discovery.endpoint_list import EndpointListError, parse_address
from lilacfront.operations.admin_protocol import MAX_LINE_BYTES

EXIT_OK = 0
EXIT_FAIL = 1
EXIT_NO_ANSWER = 3
MAX_ANSWER_BYTES = 1 << 20
READ_BYTES = 65536
MIN_TIMEOUT_S = 0.001  # a timeout of 0 would make the socket non-blocking


def request_lines(address: tuple[str, int], line: str, timeout_s: float) -> list[str]:
    """Send one line of the admin protocol; returns the lines of the answer.

    Raises:
        OSError: The connection failed, or no complete answer was received within `timeout_s`.
    """
    deadline = time.monotonic() + timeout_s
    received = b""
    with socket.create_connection(address, timeout=timeout_s) as sock:
        sock.sendall(line.encode() + b"\n")
        while len(received) <= MAX_ANSWER_BYTES:
            sock.settimeout(max(MIN_TIMEOUT_S, deadline - time.monotonic()))
            data = sock.recv(READ_BYTES)
            if not data:
                break
            received += data
    if not received.endswith(b"\n"):
        raise OSError("the connection was closed before the answer was complete")
    return received.decode(errors="replace").splitlines()


def request_line(address: tuple[str, int], line: str, timeout_s: float) -> str:
    """Send one line of the admin protocol; returns the first line of the answer."""
    return request_lines(address, line, timeout_s)[0]


@click.group()
@click.option(
    "--admin",
    metavar="HOST:PORT",
    default=lambda: os.environ.get("PROXY_ADMIN", ""),
    help="Admin address of the front end. Default: the environment variable PROXY_ADMIN.",
)
@click.option(
    "--within",
    "timeout_s",
    type=click.FloatRange(0.1, 60),
    default=2.0,
    show_default=True,
    help="Timeout for the answer, in seconds.",
)
@click.pass_context
def group(ctx: click.Context, admin: str, timeout_s: float) -> None:
    """Send admin commands to a running front end."""
    try:
        ctx.obj = (parse_address(admin), timeout_s)
    except EndpointListError as error:
        raise click.UsageError(f"--admin: {error}") from error


def _send(ctx: click.Context, line: str) -> None:
    """Send a command, print the answer, and exit with the code for it."""
    address, timeout_s = ctx.obj
    if len(line.encode()) > MAX_LINE_BYTES or "\n" in line:
        raise click.UsageError(f"a command must be a single line of at most {MAX_LINE_BYTES} bytes")
    try:
        answer = request_line(address, line, timeout_s)
    except OSError as error:
        click.echo(f"no answer from {address[0]}:{address[1]}: {error}", err=True)
        sys.exit(EXIT_NO_ANSWER)
    click.echo(answer)
    sys.exit(EXIT_OK if answer.split(" ")[0] == "ok" else EXIT_FAIL)


@group.command()
@click.pass_context
def status(ctx: click.Context) -> None:
    """Show whether the process is ready to serve requests."""
    _send(ctx, "STATUS")


@group.command()
@click.argument("warehouse")
@click.pass_context
def suspend(ctx: click.Context, warehouse: str) -> None:
    """Suspend a warehouse: send it no further requests."""
    _send(ctx, f"SUSPEND {warehouse}")


@group.command()
@click.argument("warehouse")
@click.pass_context
def restore(ctx: click.Context, warehouse: str) -> None:
    """Restore a suspended warehouse."""
    _send(ctx, f"RESTORE {warehouse}")


@group.command()
@click.pass_context
def pause(ctx: click.Context) -> None:
    """Fail the health check and drain all client connections; the process keeps running."""
    _send(ctx, "PAUSE")


@group.command()
@click.pass_context
def resume(ctx: click.Context) -> None:
    """End a pause: pass the health check and stop draining client connections."""
    _send(ctx, "RESUME")
