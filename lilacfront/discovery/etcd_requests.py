"""Requests for one key range to the etcd v3 JSON gateway, each on a connection of its own."""

from __future__ import annotations

from base64 import b64encode

import msgspec

from lilacfront.discovery.etcd_messages import RangeAnswer, WatchLine, decode_range_answer, decode_watch_line
from lilacfront.protocols import http1
from lilacfront.sched import Loop, Stream, Task

MAX_ANSWER_BYTES = 4 << 20
MAX_QUEUED_BYTES = 1 << 16  # bytes queued for a server that does not read
STATUS_OK = 200
FROM_NOW = 0  # the start revision of a watch that begins at the store's current revision


def range_end(prefix: bytes) -> bytes:
    """Return the first key after all keys with the prefix; a zero byte, meaning no end, if there is none."""
    stem = prefix.rstrip(b"\xff")
    return stem[:-1] + bytes((stem[-1] + 1,)) if stem else b"\0"


class RangeRequest:
    """A range request that has been sent."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream

    def read(self, task: Task, until: float) -> RangeAnswer | None:
        """Read the answer and close the connection.

        Returns:
            The answer; None if it was not complete in time, or the connection or the wait has ended.

        Raises:
            http1.HttpError: The answer is not valid HTTP, or its status is not 200.
            msgspec.MsgspecError: The body is not valid.
        """
        try:
            body = self._read_body(task, until)
        finally:
            self._stream.close()
        return None if body is None else decode_range_answer(body)

    def _read_body(self, task: Task, until: float) -> bytes | None:
        body = b""
        parser = http1.Parser(responses=True)
        while True:
            received = self._stream.read(task, until)
            if not isinstance(received, bytes) or task.interrupted:
                return None
            for part in parser.feed(received) if received else parser.end_of_stream():
                if isinstance(part, http1.Head):
                    _check_status(part, "range")
                if isinstance(part, http1.Body):
                    body += part.data
                if isinstance(part, http1.End):
                    return body
            if not received or len(body) > MAX_ANSWER_BYTES:
                return None


class WatchStream:
    """The lines of a watch that has been requested."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._parser = http1.Parser(responses=True)
        self._partial_line = b""

    def read_lines(self, task: Task, until: float) -> list[WatchLine] | None:
        """Wait for complete lines.

        Returns:
            At least one line; None if there was none in time, the watch ended, or the task was interrupted.

        Raises:
            http1.HttpError: The answer is not valid HTTP, or its status is not 200.
            msgspec.MsgspecError: A line is not valid.
        """
        while isinstance(received := self._stream.read(task, until), bytes) and received:
            if task.interrupted:
                return None
            lines = self._parse(received)
            if lines is None or lines:
                return lines
        return None

    def _parse(self, received: bytes) -> list[WatchLine] | None:
        """Return the lines that are complete now; None if the watch has ended without any."""
        lines: list[WatchLine] = []
        for part in self._parser.feed(received):
            if isinstance(part, http1.Head):
                _check_status(part, "watch")
            if isinstance(part, http1.End) or len(self._partial_line) > MAX_ANSWER_BYTES:
                return lines or None
            if isinstance(part, http1.Body):
                *complete, self._partial_line = (self._partial_line + part.data).split(b"\n")
                lines += [decode_watch_line(line.strip()) for line in complete if line.strip()]
        return lines

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()


class EtcdRequests:
    """Sends the requests for all keys with one prefix."""

    def __init__(self, loop: Loop, prefix: bytes) -> None:
        self._loop = loop
        self._key_range = {
            "key": b64encode(prefix).decode(),
            "range_end": b64encode(range_end(prefix)).decode(),
        }

    def send_range(self, task: Task, endpoint: tuple[str, int], until: float) -> RangeRequest | None:
        """Connect and request all keys; returns None if the connection could not be established in time."""
        stream = self._post(task, endpoint, b"/v3/kv/range", self._key_range, until)
        return None if stream is None else RangeRequest(stream)

    def open_watch(
        self, task: Task, endpoint: tuple[str, int], start_revision: int, until: float
    ) -> WatchStream | None:
        """Connect and request the changes from a revision on; see `send_range` for the result.

        Args:
            task: The running task.
            endpoint: Host and port of the server.
            start_revision: The first revision, or `FROM_NOW`.
            until: Deadline of the connect, in seconds.
        """
        request = {"create_request": {**self._key_range, "start_revision": str(start_revision)}}
        stream = self._post(task, endpoint, b"/v3/watch", request, until)
        return None if stream is None else WatchStream(stream)

    def _post(
        self, task: Task, endpoint: tuple[str, int], path: bytes, body: object, until: float
    ) -> Stream | None:
        stream = Stream.connect(self._loop, task, endpoint, until, MAX_QUEUED_BYTES)
        if not isinstance(stream, Stream):
            return None
        payload = msgspec.json.encode(body)
        headers = [
            (b"Host", b"%s:%d" % (endpoint[0].encode(), endpoint[1])),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", b"%d" % len(payload)),
        ]
        stream.write(http1.request(b"POST", path, headers) + payload)
        return stream


class EarlyWatch:
    """A watch from now on, opened while the list is read, so that both together take one delay.

    Its bytes stay in the receive buffer of the kernel until the owner reads them.
    """

    def __init__(self, loop: Loop, requests: EtcdRequests, endpoint: tuple[str, int], until: float) -> None:
        self._requests = requests
        self._endpoint = endpoint
        self._until = until
        self._watch: WatchStream | None = None
        self._task = loop.spawn(self._open)

    def _open(self, task: Task) -> None:
        self._watch = self._requests.open_watch(task, self._endpoint, FROM_NOW, self._until)
        if task.interrupted:
            self.close()

    def take(self) -> WatchStream | None:
        """Return the watch, which the caller has to close; None if it is not connected yet."""
        watch, self._watch = self._watch, None
        self._task.interrupt()
        return watch

    def close(self) -> None:
        """Close the watch unless it has been taken."""
        watch = self.take()
        if watch is not None:
            watch.close()


def _check_status(head: http1.Head, request: str) -> None:
    if head.status != STATUS_OK:
        raise http1.HttpError(head.status, f"etcd {request} request failed with status {head.status}")
