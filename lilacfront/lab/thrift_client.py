"""A client of the platform's protocol, for tests and experiments."""

from __future__ import annotations

import socket
from itertools import count

from lilacfront.lab.test_bed import READ_BYTES, SETTINGS, WAIT_TIMEOUT_S, wait_until
from lilacfront.protocols import thrift

LOOKUP_NUMBERS = count(1000)  # call numbers for the lookups of `wait_until_served`


class ThriftClient:
    """A client connection of the platform's protocol.

    Attributes:
        replies: The replies received, by sequence number.
        duplicates: The sequence number of each repeated reply.
        closed: Whether the front end has closed the connection.
        unsent: The unsent rest of a partially sent request.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, timeout=WAIT_TIMEOUT_S)
        self._frames = thrift.FrameDecoder()
        self._seqid = 0
        self.replies: dict[int, thrift.Reply] = {}
        self.duplicates: list[int] = []
        self.closed = False
        self.unsent = b""

    def send_request(
        self,
        call: int,
        class_name: str = "lookup",
        group: int = 17,
        byte_limit: int = 0,
        ordering_key: bytes = b"",
    ) -> int:
        """Send a request, or only its first bytes; returns its sequence number.

        Args:
            call: The request's id as a number.
            class_name: Name of the request's class.
            group: Number of the table group.
            byte_limit: Number of bytes to send; 0 sends the whole request.
            ordering_key: The request's ordering key; empty if it has none.
        """
        data = self._next_request(call, class_name, group, ordering_key)
        self.sock.sendall(data[:byte_limit] if byte_limit else data)
        self.unsent = data[byte_limit:]
        return self._seqid

    def send_partial_request(self, call: int, byte_limit: int) -> int:
        """Send the first `byte_limit` bytes of a lookup, and wait until the front end has read them.

        A ping precedes them in the same write, so its answer shows that they were read. Returns the lookup's
        sequence number.
        """
        self._seqid += 1
        ping_seqid = self._seqid
        data = self._next_request(call, "lookup", group=17)
        seqid = self._seqid
        self.sock.sendall(thrift.encode_ping(ping_seqid) + data[:byte_limit])
        self.unsent = data[byte_limit:]
        self.wait_for_reply(ping_seqid)
        return seqid

    def _next_request(self, call: int, class_name: str, group: int, ordering_key: bytes = b"") -> bytes:
        self._seqid += 1
        # Uses the full deadline of the class, as starting a process takes seconds on a busy machine.
        deadlines_us = {str(settings["name"]): settings["deadline"] for settings in SETTINGS["classes"]}
        time_left_ms = deadlines_us[class_name] // 1000
        fields = {b"op": class_name.encode(), b"call": b"%016x" % call, b"ttl": b"%d" % time_left_ms}
        if ordering_key:
            fields[b"row"] = ordering_key
        return thrift.encode_invoke(self._seqid, fields, b"select x from sales_%d.orders" % group)

    def ping(self) -> bool:
        """Whether the front end answers a ping as healthy; False if the connection has ended."""
        self._seqid += 1
        try:
            self.sock.sendall(thrift.encode_ping(self._seqid))
        except OSError:
            return False
        reply = self.wait_for_reply(self._seqid, required=False)
        return reply is not None and reply.is_good

    def wait_for_reply(self, seqid: int, required: bool = True) -> thrift.Reply | None:
        """Wait for the reply to a request.

        Args:
            seqid: Sequence number of the request.
            required: Whether to raise an error if the connection ends first; otherwise None is returned.
        """
        while seqid not in self.replies and not self.closed:
            self._read()
        if required and seqid not in self.replies:
            raise AssertionError(f"front end closed the connection without a reply to request {seqid}")
        return self.replies.get(seqid)

    def is_served(self, seqid: int) -> bool:
        """Wait for the reply to a request, and return whether it is a result."""
        reply = self.wait_for_reply(seqid)
        return reply is not None and reply.kind == "answer"

    def wait_until_served(self, group: int = 17) -> None:
        """Send lookups until one is served, as the first ones may be rejected on a busy machine."""
        wait_until(
            lambda: self.is_served(self.send_request(next(LOOKUP_NUMBERS), group=group)),
            f"a result for a lookup of table group {group}",
        )

    def _read(self) -> None:
        try:
            data = self.sock.recv(READ_BYTES)
        except ConnectionResetError:
            data = b""
        self.closed = not data
        for frame in self._frames.feed(data):
            reply = thrift.parse_reply(frame)
            if reply.seqid in self.replies:
                self.duplicates.append(reply.seqid)
            self.replies[reply.seqid] = reply

    def wait_until_closed(self) -> None:
        """Wait until the front end closes the connection."""
        while not self.closed:
            self._read()

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()
