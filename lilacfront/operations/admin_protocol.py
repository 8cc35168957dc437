"""The admin protocol: each request is one line, each answer one line or, for PEERS, several. No I/O.

Operators and scripts of the platform match the commands, answers and error texts, so they must not change.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lilacfront.errors import LilacfrontError

MAX_LINE_BYTES = 256  # far more than a command with an id needs
MAX_QUOTED_CHARACTERS = 40  # longest part of an unknown command in an answer


class Command(Enum):
    """The commands; the values are their names on the wire."""

    STATUS = "STATUS"
    SUSPEND = "SUSPEND"
    RESTORE = "RESTORE"
    PAUSE = "PAUSE"
    RESUME = "RESUME"
    PEERS = "PEERS"


COMMANDS_WITH_ID = frozenset({Command.SUSPEND, Command.RESTORE})
READ_ONLY_COMMANDS = frozenset({Command.STATUS, Command.PEERS})
COMMAND_NAMES = ", ".join(command.value for command in Command)


class AdminRequestError(LilacfrontError):
    """The line is not a valid request; the text of the error is sent to the caller."""


@dataclass(slots=True, frozen=True)
class AdminRequest:
    """A parsed request.

    Attributes:
        command: The command.
        warehouse_id: The argument of the commands in `COMMANDS_WITH_ID`; empty for the others.
    """

    command: Command
    warehouse_id: str = ""


@dataclass(slots=True, frozen=True)
class AdminResponse:
    """The answer to one request.

    Attributes:
        ok: Whether the command succeeded, and for STATUS whether the process is ready. On the wire it is the
            first word, `ok` or `fail`.
        text: The rest of the first line.
        extra_lines: Further lines, only in answers that no script parses.
    """

    ok: bool
    text: str
    extra_lines: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """Encode the answer; unprintable characters are replaced, so that no text starts another line."""
        lines = (f"{'ok' if self.ok else 'fail'} {self.text}", *self.extra_lines)
        return "".join(f"{_single_line(line)}\n" for line in lines).encode()


def _single_line(text: str) -> str:
    return "".join(character if character.isprintable() else "?" for character in text)


def failure(text: str) -> AdminResponse:
    """Return a `fail` answer."""
    return AdminResponse(False, text)


def parse_request(line: bytes) -> AdminRequest:
    """Parse one line, without its line terminator.

    Raises:
        AdminRequestError: The line is not a valid request.
    """
    if len(line) > MAX_LINE_BYTES:
        raise AdminRequestError(f"a call is at most {MAX_LINE_BYTES} bytes long")
    try:
        words = line.decode().split()
    except UnicodeDecodeError as error:
        raise AdminRequestError(f"byte {error.start} of the call is no UTF-8 text") from error
    if not words:
        raise AdminRequestError(f"an empty call; there are {COMMAND_NAMES}")
    try:
        command = Command(words[0].upper())
    except ValueError as error:
        quoted = repr(words[0][:MAX_QUOTED_CHARACTERS])
        raise AdminRequestError(f"no call {quoted}; there are {COMMAND_NAMES}") from error
    arguments = words[1:]
    if command not in COMMANDS_WITH_ID:
        if arguments:
            raise AdminRequestError(f"{command.value} takes nothing behind it")
        return AdminRequest(command)
    if len(arguments) != 1:
        raise AdminRequestError(f"{command.value} takes one warehouse's id, {len(arguments)} were given")
    return AdminRequest(command, arguments[0])
