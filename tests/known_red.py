"""Reads KNOWN-RED.txt, the list of expected failures, which don't fail the test run; used by conftest.py."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

LIST_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_LISTED_TESTS = 3


@dataclass(slots=True, frozen=True)
class KnownRedTest:
    """A test that is expected to fail.

    Attributes:
        test: The node id.
        cause: The cause of the failure.
        issue: The open issue.
    """

    test: str
    cause: str
    issue: str


class KnownRedError(Exception):
    """The list is invalid, which fails the test run."""


def read_list(path: Path) -> list[KnownRedTest]:
    """Read the list, which has one line `test, cause, issue` for each test.

    A missing file is an empty list.

    Raises:
        KnownRedError: A line is incomplete, too many tests are listed, or the file lists no test.
    """
    if not path.exists():
        return []
    listed = [
        _parse_line(path.name, number, line)
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if line.strip()
    ]
    if len(listed) > MAX_LISTED_TESTS:
        raise KnownRedError(
            f"{path.name}: {len(listed)} tests are listed, at most {MAX_LISTED_TESTS} are allowed"
        )
    if not listed:
        raise KnownRedError(f"{path.name} lists nothing; remove the file")
    return listed


def _parse_line(file_name: str, number: int, line: str) -> KnownRedTest:
    test, _, rest = line.partition(", ")
    cause, _, issue = rest.rpartition(", ")
    parts = [test.strip(), cause.strip(), issue.strip()]
    if not all(parts):
        raise KnownRedError(f"{file_name}, line {number}: expected `test, cause, issue`, got {line!r}")
    return KnownRedTest(*parts)


def missing_tests(listed: list[KnownRedTest], collected: list[str]) -> list[str]:
    """The listed tests that were not collected."""
    return [entry.test for entry in listed if entry.test not in collected]
