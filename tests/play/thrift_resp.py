"""The dialect of the path with Thrift towards clients and RESP towards warehouses."""

from __future__ import annotations

import re

from lilacfront.protocols import thrift
from play.dialect import Dialect, encode_rows

PRIORITIES = {"lookup": 3, "report": 2, "load": 1}


def encode_resp(*words: bytes) -> bytes:
    """Encode an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


class ThriftResp(Dialect):
    """Translates verbs for the Thrift and RESP path.

    A request's tag is a letter; the sequence number is its position in the alphabet.
    """

    def __init__(self) -> None:
        self.classes: dict[str, str] = {}

    @staticmethod
    def call_id(tag: str) -> bytes:
        """The call id of 16 characters."""
        return tag.encode() * 16 if tag in "abcdef" else b"%02x" % ord(tag) * 8

    @staticmethod
    def sequence_number(tag: str) -> int:
        """The call's sequence number on its connection."""
        return ord(tag) - ord("a") + 1

    def ask(self, tag: str, request_class: str, ttl_ms: str, *words: str) -> bytes:
        """A client's `invoke`."""
        self.classes[tag] = request_class
        fields = {b"op": request_class.encode(), b"call": self.call_id(tag), b"ttl": ttl_ms.encode()}
        return thrift.encode_invoke(self.sequence_number(tag), fields, " ".join(words).encode())

    def abort(self, tag: str) -> bytes:
        """A client's cancellation."""
        return thrift.encode_abort(self.sequence_number(tag))

    def asked(self, tag: str, ttl_ms: str, *words: str) -> bytes:
        """The request at a warehouse."""
        request_class = self.classes[tag]
        priority = PRIORITIES[request_class]
        fields = b"lane=%s,ttl=%s,prio=%d" % (request_class.encode(), ttl_ms.encode(), priority)
        return encode_resp(b"do", self.call_id(tag), fields, " ".join(words).encode())

    def undone(self, tag: str) -> bytes:
        """The cancellation at a warehouse."""
        return encode_resp(b"undo", self.call_id(tag))

    given_up = undone

    def answers(self, data: bytes) -> bytes:
        """A warehouse's answers of one row to all requests in the bytes."""
        call_ids = re.findall(rb"\$2\r\ndo\r\n\$16\r\n(.{16})\r\n", data)
        return b"".join(
            encode_resp(call_id, b"HIT", b"pages=1", encode_rows(("1,2,3",))) for call_id in call_ids
        )

    def serves(self, tag: str, *rows: str) -> bytes:
        """A warehouse's answer, with a load report."""
        fields = b"pages=1,rep=inflight:3;util:0.5"
        return encode_resp(self.call_id(tag), b"HIT", fields, encode_rows(rows))

    def half(self, tag: str, *rows: str) -> bytes:
        """The first of two pages of a warehouse's answer."""
        return encode_resp(self.call_id(tag), b"HIT", b"pages=2", encode_rows(rows))

    def paged(self, tag: str) -> bytes:
        """The request for the second page at a warehouse."""
        return encode_resp(b"page", self.call_id(tag), b"1")

    def sheds(self, tag: str) -> bytes:
        """A warehouse's rejection."""
        return encode_resp(self.call_id(tag), b"SHED", b"-", b"")

    def faults(self, tag: str) -> bytes:
        """A warehouse's error."""
        return encode_resp(self.call_id(tag), b"FAULT", b"-", b"")

    def served(self, tag: str, *rows: str) -> bytes:
        """The answer to a client."""
        return thrift.encode_answer(b"invoke", self.sequence_number(tag), encode_rows(rows))

    def refused(self, tag: str, retry_after_ms: str, *_wait_estimate_s: str) -> bytes:
        """The rejection to a client."""
        return thrift.encode_shed(self.sequence_number(tag), {b"pushback": retry_after_ms.encode()})

    def failed(self, tag: str) -> bytes:
        """The error to a client."""
        return thrift.encode_fault(self.sequence_number(tag), {})

    late = failed
    served_last = served
