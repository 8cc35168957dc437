"""Clients that write requests and leave at once, in a process of their own.

`python -m lilacfront.lab.departing_clients LEAVE HOST PORT CLIENTS` prints a JSON object: the time of the
close, in seconds of the monotonic clock, by the first number of the requests of each client.
"""

from __future__ import annotations

import json
import socket
import struct
import sys
import time
from collections.abc import Callable

from lilacfront.protocols import thrift

REQUESTS_PER_CLIENT = 32
FIRST_NUMBER = 1 << 40  # no other client uses such numbers
STATEMENT = b"select x from sales_17.orders where x = '" + b"a" * 6_000 + b"'"
SEND_BUFFER_BYTES = 1 << 20  # takes all requests of a client at once
TTL_MS = 4000
CONNECT_TIMEOUT_S = 30.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0


def encode_request(
    seqid: int, number: int, class_name: bytes = b"lookup", statement: bytes = STATEMENT
) -> bytes:
    """Encode a request whose id is the number."""
    fields = {b"op": class_name, b"call": b"%016x" % number, b"ttl": b"%d" % TTL_MS}
    return thrift.encode_invoke(seqid, fields, statement)


def _close(sock: socket.socket) -> None:
    sock.close()


def _reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


def _half_close(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_WR)


LEAVE: dict[str, Callable[[socket.socket], None]] = {
    "close": _close,
    "reset": _reset,
    "half-close": _half_close,
}


def write_and_leave(
    address: tuple[str, int], first_number: int, leave: Callable[[socket.socket], None]
) -> tuple[socket.socket, float]:
    """Write requests at once and leave; returns the socket and the time of the close."""
    sock = socket.create_connection(address, timeout=CONNECT_TIMEOUT_S)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    numbers = range(first_number, first_number + REQUESTS_PER_CLIENT)
    sock.sendall(b"".join(encode_request(seqid, number) for seqid, number in enumerate(numbers, 1)))
    leave(sock)
    return sock, time.monotonic()


def main() -> None:
    """Run the clients that the arguments describe, and keep half-closed sockets until standard input ends."""
    how, host, port, clients = sys.argv[1:]
    closed_at = {}
    kept = []
    for client in range(int(clients)):
        first_number = FIRST_NUMBER + client * REQUESTS_PER_CLIENT
        sock, closed_at[first_number] = write_and_leave((host, int(port)), first_number, LEAVE[how])
        kept.append(sock)
    print(json.dumps(closed_at), flush=True)
    sys.stdin.read()


if __name__ == "__main__":
    main()
