"""KNOWN-RED.txt: tests that fail for a real fault and may land; read by conftest.py."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


@dataclass(slots=True, frozen=True)
class Red:
    test: str
    cause: str
    issue: str


class KnownRedError(Exception):
    """A list that can't be used: the run fails."""


def read(path: Path) -> list[Red]:
    """The listed tests: `test, cause, issue` a line, the test as pytest names it; none without a file."""
    if not path.exists():
        return []
    made = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip():
            continue
        test, comma, rest = line.partition(", ")
        cause, last, issue = rest.rpartition(", ")
        if not (comma and last and test.strip() and cause.strip() and issue.strip()):
            raise KnownRedError(f"{path.name}, line {number}: not a test, a cause and an issue: {line!r}")
        made.append(Red(test.strip(), cause.strip(), issue.strip()))
    if len(made) > MOST:
        raise KnownRedError(f"{path.name}: {len(made)} tests are listed, {MOST} at most may be")
    if not made:
        raise KnownRedError(f"{path.name} lists nothing: it is to be absent then")
    return made


def unknown(listed: list[Red], collected: list[str]) -> list[str]:
    """Lines that name no test."""
    return [one.test for one in listed if one.test not in collected]
