"""What a statement tells the decisions: the group of tables that it reads or writes."""

from __future__ import annotations

import re

# Strings, comments and quoted names are tokens of their own, so nothing inside them is taken for a schema.
_TOKENS = re.compile(
    rb"""
      '(?:[^'\\]|\\.|'')*(?:'|\Z)             # a string
    | --[^\n]*                                # comments
    | /\*.*?(?:\*/|\Z)
    | (?P<schema> [A-Za-z_]\w* | "[^"\n]*" | `[^`\n]*` ) \s* \. \s* (?= [A-Za-z_"`] )
    | [A-Za-z_0-9]\w*                         # another word: none of its tail begins a name
    """,
    re.X | re.S,
)
_GROUP = re.compile(rb"(?P<stem>\w*)_(?P<number>\d{1,6})\Z", re.A)


def table_group(statement: bytes) -> int:
    """The number after the underscore in the name of the first schema that has one; 0 where none has."""
    for token in _TOKENS.finditer(statement):
        if (schema := token["schema"]) is None:
            continue
        found = _GROUP.match(schema.strip(b'"`'))
        if found is not None and found["stem"].lower() != b"staging":
            return int(found["number"])
    return 0
