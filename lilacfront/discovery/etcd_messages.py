"""Messages of the etcd v3 JSON gateway: the answers to a range request and the lines of a watch.

Source: the etcd v3 API, `/v3/kv/range` and `/v3/watch`.
"""

from __future__ import annotations

import msgspec


class Header(msgspec.Struct):
    """The header of every answer."""

    revision: int = 0


class KeyValue(msgspec.Struct):
    """A key and its value, both encoded in base64, and the revision of its last change (0: not told)."""

    key: str = ""
    value: str = ""
    mod_revision: int = 0


class RangeAnswer(msgspec.Struct):
    """The answer to a range request."""

    header: Header = msgspec.field(default_factory=Header)
    pairs: list[KeyValue] = msgspec.field(name="kvs", default_factory=list)


class WatchEvent(msgspec.Struct):
    """One change of a key under the prefix."""

    pair: KeyValue = msgspec.field(name="kv")
    type: str = "PUT"


class WatchResult(msgspec.Struct):
    """The result in one line of a watch."""

    header: Header = msgspec.field(default_factory=Header)
    events: list[WatchEvent] = []
    is_created: bool = msgspec.field(name="created", default=False)
    is_cancelled: bool = msgspec.field(name="canceled", default=False)
    compact_revision: int = 0

    @property
    def is_ended(self) -> bool:
        """Whether the server has ended the watch, or its start revision has been compacted."""
        return self.is_cancelled or self.compact_revision > 0

    @property
    def last_revision(self) -> int:
        """The last revision of the changes.

        The header of a late result may name a later revision, whose changes follow in other results.
        """
        return max((event.pair.mod_revision for event in self.events), default=0) or self.header.revision

    def changes_after(self, revision: int) -> list[WatchEvent]:
        """Return the changes after a revision; those whose revision is unknown are included."""
        return [
            event
            for event in self.events
            if not 0 < (event.pair.mod_revision or self.header.revision) <= revision
        ]


class WatchLine(msgspec.Struct):
    """One line of a watch: a result or an error."""

    result: WatchResult | None = None
    error: msgspec.Raw = msgspec.Raw(b"")


# The gateway encodes 64-bit integers as strings, or as numbers in some versions. Both are accepted.
_RANGE_DECODER = msgspec.json.Decoder(RangeAnswer, strict=False)
_WATCH_DECODER = msgspec.json.Decoder(WatchLine, strict=False)


def decode_range_answer(body: bytes) -> RangeAnswer:
    """Decode the answer to a range request.

    Raises:
        msgspec.MsgspecError: The body is not such an answer.
    """
    return _RANGE_DECODER.decode(body)


def decode_watch_line(line: bytes) -> WatchLine:
    """Decode one line of a watch.

    Raises:
        msgspec.MsgspecError: The line is not valid.
    """
    return _WATCH_DECODER.decode(line)
