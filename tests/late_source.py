"""A change log and an etcd server whose bytes arrive late, or whose connections fall silent."""

from __future__ import annotations

import contextlib
import json
import re
import socket
from base64 import b64encode
from typing import Any, Protocol

from play import Actor, Clock, Harness

CHANGE_LOG_INTERVAL_S = 1.0
RECEIVE_BYTES = 1 << 16


class SourceProtocol(Protocol):
    """The messages of a source; all are bytes on the wire."""

    def start(self, received: bytes, drained: bool) -> bytes | None:
        """The answer to what a connection has received; None while the request is incomplete."""

    def drain(self) -> bytes:
        """The change that a watched warehouse begins to drain."""

    def heartbeat(self, drained: bool) -> bytes:
        """What is sent once a second; b'' for nothing."""


class ChangeLogProtocol:
    """The change log; the drain is event 2."""

    def __init__(self, entry: dict[str, Any]) -> None:
        self._entry = entry

    def start(self, received: bytes, drained: bool) -> bytes | None:
        match = re.fullmatch(rb"since (\d+)\n", received)
        if match is None:
            return None
        return self.drain() if drained and int(match[1]) < 2 else b""

    def drain(self) -> bytes:
        return json.dumps({"seq": 2, "fleet": {"instances": [self._entry]}}).encode() + b"\n"

    def heartbeat(self, drained: bool) -> bytes:
        return b"2\n" if drained else b"1\n"


class EtcdProtocol:
    """An etcd server; the list has revision 5, and the drain is revision 6."""

    def __init__(self, entries: list[dict[str, Any]], draining: dict[str, Any]) -> None:
        self._entries = entries
        self._draining = draining

    def _pair(self, entry: dict[str, Any], revision: int) -> dict[str, str]:
        key, value = f"/warehouses/{entry['instanceId']}", json.dumps(entry)
        texts = {"key": b64encode(key.encode()).decode(), "value": b64encode(value.encode()).decode()}
        return {**texts, "mod_revision": str(revision)}

    def start(self, received: bytes, drained: bool) -> bytes | None:
        head, separator, body = received.partition(b"\r\n\r\n")
        length = re.search(rb"Content-Length: (\d+)", head)
        if not separator or length is None or len(body) < int(length[1]):
            return None
        if b"/v3/kv/range" in head:
            return self._list(drained)
        answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        answer += self._chunk({"header": {"revision": "6" if drained else "5"}, "created": True})
        starts_before_drain = int(json.loads(body)["create_request"]["start_revision"]) <= 6
        return answer + (self.drain() if drained and starts_before_drain else b"")

    def _list(self, drained: bool) -> bytes:
        entries = [self._draining, *self._entries[1:]] if drained else self._entries
        pairs = [self._pair(entry, 5) for entry in entries]
        text = json.dumps({"header": {"revision": "6" if drained else "5"}, "kvs": pairs}).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)

    def _chunk(self, result: dict[str, Any]) -> bytes:
        text = json.dumps({"result": result}).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(text), text)

    def drain(self) -> bytes:
        return self._chunk({"header": {"revision": "6"}, "events": [{"kv": self._pair(self._draining, 6)}]})

    def heartbeat(self, drained: bool) -> bytes:
        del drained
        return b""


class _Connection:
    """A connection of the front end; everything it is sent is due at a time of its own."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sock = sock
        self.received = b""
        self.is_following = False
        self.is_silent = False
        self.next_heartbeat_at = 0.0
        self.unsent: list[tuple[float, bytes]] = []


class LateSource(Actor):
    """A source that takes the place of an actor of the harness.

    Attributes:
        delay_s: How late its bytes arrive that are sent from now on; requests arrive at once.
        connects: The number of connections that the front end has opened.
        silences_new_connections: Whether connections that are opened from now on never get any bytes.
    """

    def __init__(self, harness: Harness, name: str, protocol: SourceProtocol, delay_s: float = 0.0) -> None:
        super().__init__(False)
        replaced = harness.actors[name]
        assert replaced.listener is not None
        self.listener = replaced.listener
        self.address = replaced.address
        self.delay_s = delay_s
        self.connects = 0
        self.silences_new_connections = False
        self._clock: Clock = harness.clock
        self._protocol = protocol
        self._is_drained = False
        self._connections: list[_Connection] = []
        for sock in (*replaced.other_sockets, replaced.connection):
            if sock is not None:
                self._add(sock, replaced.received_by_connection.get(sock, b""))
        harness.actors[name] = self

    def _add(self, sock: socket.socket, received: bytes = b"") -> None:
        connection = _Connection(sock)
        connection.received = received
        connection.is_silent = self.silences_new_connections
        self.connects += 1
        self._connections.append(connection)

    @property
    def open_connections(self) -> int:
        """The number of connections that the front end has not closed."""
        return len(self._connections)

    def silence_connections(self) -> None:
        """Never send anything again on the connections that are open now, but keep them open."""
        for connection in self._connections:
            connection.is_silent = True

    def close_connections(self) -> None:
        """End the connections that are open now."""
        for connection in self._connections:
            connection.sock.close()
        self._connections.clear()

    def stop(self) -> None:
        """End the connections and refuse new ones."""
        assert self.listener is not None
        self.close_connections()
        self.listener.close()
        self.listener = None

    def resume(self) -> None:
        """Listen at the same address again."""
        host, port = self.address.split(":")
        self.listener = socket.create_server((host, int(port)))
        self.listener.setblocking(False)

    def drain(self) -> None:
        """Publish the drain."""
        self._is_drained = True
        for connection in self._connections:
            if connection.is_following:
                self._send(connection, self._protocol.drain())

    def receive(self) -> None:
        """Accept, read requests, and send what is due."""
        with contextlib.suppress(BlockingIOError):
            while self.listener is not None:
                self._add(self.listener.accept()[0])
        for connection in list(self._connections):
            self._read(connection)
            self._send_due(connection)

    def _read(self, connection: _Connection) -> None:
        try:
            data = connection.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            data = None
        except OSError:
            data = b""
        if data == b"":
            self._connections.remove(connection)
            connection.sock.close()
            return
        connection.received += data or b""
        if connection.is_following or not connection.received:
            return
        answer = self._protocol.start(connection.received, self._is_drained)
        if answer is not None:
            connection.is_following = True
            connection.next_heartbeat_at = self._clock.now + CHANGE_LOG_INTERVAL_S
            self._send(connection, answer)

    def _send(self, connection: _Connection, data: bytes) -> None:
        if data and not connection.is_silent:
            connection.unsent.append((self._clock.now + self.delay_s, data))

    def _send_due(self, connection: _Connection) -> None:
        if connection.is_following and self._clock.now >= connection.next_heartbeat_at:
            connection.next_heartbeat_at += CHANGE_LOG_INTERVAL_S
            self._send(connection, self._protocol.heartbeat(self._is_drained))
        while connection.unsent and connection.unsent[0][0] <= self._clock.now:
            _, data = connection.unsent.pop(0)
            with contextlib.suppress(OSError):
                connection.sock.sendall(data)

    def close(self) -> None:
        """Close all sockets."""
        super().close()
        for connection in self._connections:
            connection.sock.close()


def change_log_of(harness: Harness, delay_s: float = 0.0) -> LateSource:
    """Put a late change log in the place of the harness's."""
    return LateSource(harness, "L", ChangeLogProtocol(harness.entry("W1", "draining")), delay_s)


def etcd_of(harness: Harness, delay_s: float = 0.0) -> LateSource:
    """Put a late etcd server in the place of the harness's."""
    entries = [harness.entry("W1"), harness.entry("W2")]
    return LateSource(harness, "E", EtcdProtocol(entries, harness.entry("W1", "draining")), delay_s)
