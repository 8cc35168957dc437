"""RESP arrays of bulk strings, read incrementally and written; nothing here touches a socket."""

from __future__ import annotations

LINE_MOST = 32  # bytes of a length line
WORDS_MOST = 64
BULK_MOST = 1 << 20


class RespError(ValueError):
    """Bytes that are not an array of bulk strings, or one past what is allowed."""


def encode(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


class Parser:
    """Turns bytes, however they were split, into arrays of words, of so many words and bytes a word."""

    def __init__(self, words: tuple[int, int] = (1, WORDS_MOST), bulk_most: int = BULK_MOST) -> None:
        self._of = {b"*": words, b"$": (0, bulk_most)}
        self._buffer = bytearray()
        self._words: list[bytes] = []
        self._left = 0  # words still to come; 0: between arrays
        self._bulk: int | None = None

    @property
    def within(self) -> bool:
        """Whether an array has begun and is not whole."""
        return bool(self._left or self._buffer)

    def feed(self, data: bytes) -> list[list[bytes]]:
        self._buffer += data
        done: list[list[bytes]] = []
        pos = 0
        while (end := self._step(pos, done)) is not None:
            pos = end
        del self._buffer[:pos]
        return done

    def _step(self, pos: int, done: list[list[bytes]]) -> int | None:
        if self._bulk is not None:
            end = pos + self._bulk
            if len(self._buffer) < end + 2:
                return None
            if self._buffer[end : end + 2] != b"\r\n":
                raise RespError("a bulk string longer than it says")
            self._words.append(bytes(self._buffer[pos:end]))
            self._bulk, self._left = None, self._left - 1
            if not self._left:
                done.append(self._words)
                self._words = []
            return end + 2
        sign = b"$" if self._left else b"*"
        least, most = self._of[sign]
        end = self._buffer.find(b"\r\n", pos, pos + LINE_MOST)
        if end < 0:
            if len(self._buffer) - pos >= LINE_MOST:
                raise RespError("a length line without an end")
            return None
        line = bytes(self._buffer[pos:end])
        if line[:1] != sign or not line[1:].isdigit():
            raise RespError(f"{line!r} where {sign!r} and a length belong")
        size = int(line[1:])
        if not least <= size <= most:
            raise RespError(f"a length of {size}")
        if sign == b"*":
            self._left = size
        else:
            self._bulk = size
        return end + 2
