"""Properties of a SQL statement that routing depends on: its table group and whether it only reads."""

from __future__ import annotations

import re

# Strings, comments and quoted names are separate tokens, so that their contents don't count as words.
_TOKENS = re.compile(
    rb"""
      (?P<string> '(?:[^'\\]|\\.|'')*' )
    | (?P<comment> --[^\n]* | /\*.*?\*/ )
    | (?P<schema> [A-Za-z_]\w* | "(?:[^"\\]|\\.)*" | `(?:[^`\\]|\\.)*` ) \s* \. \s* (?= [A-Za-z_"`] )
    | (?P<quoted> "(?:[^"\\]|\\.|"")*" | `(?:[^`\\]|\\.|``)*` )
    | (?P<word> [A-Za-z_]\w* )
    | (?P<number> [0-9]\w* )
    | (?P<space> \s+ )
    | (?P<end> ; )
    | (?P<open> ['"`] | /\* )                   # an unterminated string, name or comment
    | (?P<punctuation> [-+*/%=<>!(),.\[\]{}:?|&^~@] )
    """,
    re.X | re.S | re.A,
)
_NUMBERED_SCHEMA = re.compile(rb"(?P<stem>\w*)_(?P<number>\d{1,6})\Z", re.A)
MAX_TABLE_SEARCH_BYTES = 64 << 10  # start of a statement that is searched for table names
MAX_READ_STATEMENT_BYTES = 256 << 10  # a longer statement counts as a write
_SHOW_KEYWORDS = frozenset(b"show describe desc exists".split())
_READ_KEYWORDS = frozenset(b"select with explain".split()) | _SHOW_KEYWORDS
# Clauses and functions with side effects, which may occur in a statement that begins with a read keyword.
_WRITE_CLAUSES = frozenset(b"insert update delete alter create drop outfile".split())
_SIDE_EFFECT_FUNCTIONS = frozenset(
    b"executable executablepool remote remotesecure url generateserialid".split()
)


def table_group(statement: bytes) -> int:
    """Return the number at the end of the first schema name of the form `name_NUMBER`; 0 if there is none.

    Schemas named `staging_NUMBER` are skipped. The search ends at an unterminated string, name or comment,
    and after `MAX_TABLE_SEARCH_BYTES`.
    """
    for token in _TOKENS.finditer(statement[:MAX_TABLE_SEARCH_BYTES]):
        if token["open"]:
            return 0
        if (schema := token["schema"]) is None:
            continue
        match = _NUMBERED_SCHEMA.match(schema.strip(b'"`'))
        if match is not None and match["stem"].lower() != b"staging":
            return int(match["number"])
    return 0


def is_read(statement: bytes) -> bool:
    """Whether the statement provably changes nothing; one that can't be parsed counts as a write."""
    if len(statement) > MAX_READ_STATEMENT_BYTES:
        return False
    pos = 0
    first = b""
    ended = False
    while pos < len(statement):
        token = _TOKENS.match(statement, pos)
        if token is None or token["open"]:
            return False
        pos = token.end()
        if token["comment"] or token["space"]:
            continue
        if ended:
            return False  # a second statement
        ended = bool(token["end"])
        word = (token["word"] or b"").lower()
        first = first or word or (b"" if token[0] == b"(" else token[0])
        if word in _SIDE_EFFECT_FUNCTIONS or (word in _WRITE_CLAUSES and first not in _SHOW_KEYWORDS):
            return False
    return first in _READ_KEYWORDS
