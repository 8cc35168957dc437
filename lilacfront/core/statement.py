"""What a statement tells the decisions: its group of tables, and whether it can be proved to only read."""

from __future__ import annotations

import re

# Strings, comments and quoted names are tokens of their own, so nothing inside them is taken for a word.
_TOKENS = re.compile(
    rb"""
      (?P<string> '(?:[^'\\]|\\.|'')*' )
    | (?P<comment> --[^\n]* | /\*.*?\*/ )
    | (?P<schema> [A-Za-z_]\w* | "(?:[^"\\]|\\.)*" | `(?:[^`\\]|\\.)*` ) \s* \. \s* (?= [A-Za-z_"`] )
    | (?P<quoted> "(?:[^"\\]|\\.|"")*" | `(?:[^`\\]|\\.|``)*` )
    | (?P<word> [A-Za-z_]\w* )
    | (?P<figure> [0-9]\w* )
    | (?P<space> \s+ )
    | (?P<end> ; )
    | (?P<open> ['"`] | /\* )                   # an unended string, name or comment: no token ends it
    | (?P<sign> [-+*/%=<>!(),.\[\]{}:?|&^~@] )
    """,
    re.X | re.S | re.A,
)
_GROUP = re.compile(rb"(?P<stem>\w*)_(?P<number>\d{1,6})\Z", re.A)
READ_MOST = 256 << 10  # a longer statement is not searched for proof
_SHOWS = frozenset(b"show describe desc exists".split())
_READS = frozenset(b"select with explain".split()) | _SHOWS
# What may write after such a beginning: a clause, or a function that acts on something outside.
_CLAUSES = frozenset(b"insert update delete alter create drop outfile".split())
_FUNCTIONS = frozenset(b"executable executablepool remote remotesecure url generateserialid".split())


def table_group(statement: bytes) -> int:
    """The number after the underscore in the name of the first schema that has one; 0 where none has."""
    for token in _TOKENS.finditer(statement):
        if token["open"]:
            return 0
        if (schema := token["schema"]) is None:
            continue
        found = _GROUP.match(schema.strip(b'"`'))
        if found is not None and found["stem"].lower() != b"staging":
            return int(found["number"])
    return 0


def is_read(statement: bytes) -> bool:
    """Whether the statement provably changes nothing. What is not understood is no proof."""
    if len(statement) > READ_MOST:
        return False
    pos, first, ended = 0, b"", False
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
        if word in _FUNCTIONS or (word in _CLAUSES and first not in _SHOWS):
            return False
    return first in _READS
