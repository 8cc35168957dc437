"""The form of a result in the platform's protocol: complete rows of three columns of text."""

from __future__ import annotations

import re

_ROWS = re.compile(rb"(?:[^\x00-\x1f\x7f]*\t[^\x00-\x1f\x7f]*\t[^\x00-\x1f\x7f]*\n)*")


def are_rows(data: bytes) -> bool:
    """Whether data consists of complete rows in UTF-8; no rows at all are valid, too."""
    return _ROWS.fullmatch(data) is not None and _is_utf8(data)


def _is_utf8(data: bytes) -> bool:
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True
