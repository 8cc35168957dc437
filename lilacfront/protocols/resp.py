"""Incremental parser and encoder for RESP arrays of bulk strings, without I/O."""

from __future__ import annotations

from lilacfront.errors import LilacfrontError

MAX_LENGTH_LINE_BYTES = 32
MAX_WORDS = 64
MAX_BULK_BYTES = 1 << 20
ARRAY_TYPE = b"*"
BULK_STRING_TYPE = b"$"


class RespError(LilacfrontError, ValueError):
    """Invalid bytes: not an array of bulk strings, or an array that exceeds a limit."""


def encode(*words: bytes) -> bytes:
    """Encode words as an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


class Parser:
    """Parses a byte stream, split in any way, into arrays of words.

    `words` is the minimum and maximum number of words in an array, `max_bulk_bytes` the limit for one word.
    """

    def __init__(self, words: tuple[int, int] = (1, MAX_WORDS), max_bulk_bytes: int = MAX_BULK_BYTES) -> None:
        self._length_ranges = {ARRAY_TYPE: words, BULK_STRING_TYPE: (0, max_bulk_bytes)}
        self._buffer = bytearray()
        self._words: list[bytes] = []
        self._remaining_words = 0  # words missing in the current array; 0: between two arrays
        self._bulk_size: int | None = None

    @property
    def is_inside_array(self) -> bool:
        """Whether an array has been received in part."""
        return bool(self._remaining_words or self._buffer)

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Add received bytes and return the arrays that they complete.

        Raises:
            RespError: The bytes are invalid, or an array exceeds a limit.
        """
        self._buffer += data
        arrays: list[list[bytes]] = []
        position = 0
        while (end := self._parse_next(position, arrays)) is not None:
            position = end
        del self._buffer[:position]
        return arrays

    def _parse_next(self, position: int, arrays: list[list[bytes]]) -> int | None:
        """Parse one length line or word; return the position after it, None if it is incomplete."""
        if self._bulk_size is None:
            return self._parse_length(position)
        return self._parse_word(position, self._bulk_size, arrays)

    def _parse_word(self, position: int, size: int, arrays: list[list[bytes]]) -> int | None:
        end = position + size
        if len(self._buffer) < end + 2:
            return None
        if self._buffer[end : end + 2] != b"\r\n":
            raise RespError("bulk string is not followed by CR LF")
        self._words.append(bytes(self._buffer[position:end]))
        self._bulk_size = None
        self._remaining_words -= 1
        if not self._remaining_words:
            arrays.append(self._words)
            self._words = []
        return end + 2

    def _parse_length(self, position: int) -> int | None:
        type_byte = BULK_STRING_TYPE if self._remaining_words else ARRAY_TYPE
        end = self._buffer.find(b"\r\n", position, position + MAX_LENGTH_LINE_BYTES)
        if end < 0:
            if len(self._buffer) - position >= MAX_LENGTH_LINE_BYTES:
                raise RespError(f"length line exceeds {MAX_LENGTH_LINE_BYTES} bytes")
            return None
        line = bytes(self._buffer[position:end])
        if line[:1] != type_byte or not line[1:].isdigit():
            raise RespError(f"expected {type_byte!r} and a length, got {line!r}")
        size = int(line[1:])
        minimum, maximum = self._length_ranges[type_byte]
        if not minimum <= size <= maximum:
            raise RespError(f"length {size} after {type_byte!r} is not between {minimum} and {maximum}")
        if type_byte == ARRAY_TYPE:
            self._remaining_words = size
        else:
            self._bulk_size = size
        return end + 2
