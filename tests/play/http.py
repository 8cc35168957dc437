"""The dialect of the path with the ClickHouse HTTP interface towards clients and warehouses."""

from __future__ import annotations

import re

from play.dialect import ConnectionEnd, Dialect, Transfer, encode_rows
from play.settings import GATEWAY


class Http(Dialect):
    """Translates verbs for the ClickHouse HTTP path."""

    gateway_toml = GATEWAY
    listener_index = 1
    ping_request = b"GET /ping HTTP/1.1\r\nHost: gate\r\n\r\n"
    unhealthy_answer = (
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\nConnection: close\r\n\r\nLeaving.\n"
    )

    def __init__(self) -> None:
        self.requests: dict[str, bytes] = {}

    def translate(self, actor: str, verb: str, *args: str) -> list[Transfer | ConnectionEnd]:
        """The transfers that a verb stands for; a cancelled attempt's connection is closed."""
        if verb == "given_up":
            return [ConnectionEnd()]
        if verb == "asked":
            return [Transfer(self._forwarded_request(args[0], self.endpoints.address(actor)), False)]
        return super().translate(actor, verb, *args)

    def ask(self, tag: str, request_class: str, ttl_ms: str, *words: str) -> bytes:
        """A client's POST."""
        text = " ".join(words).encode()
        user = b"dash" if request_class == "lookup" else b"rep"
        target = b"/?query_id=%s&max_execution_time=%d" % (tag.encode(), int(ttl_ms) // 1000)
        head = b"POST %s HTTP/1.1\r\nHost: gate\r\nX-ClickHouse-User: %s\r\n" % (target, user)
        request = head + b"Content-Length: %d\r\n\r\n%s" % (len(text), text)
        self.requests[tag] = request
        return request

    def _forwarded_request(self, tag: str, address: str) -> bytes:
        """The request that a warehouse receives: the client's request with another host."""
        return self.requests[tag].replace(b"Host: gate", b"Host: " + address.encode())

    def answers(self, data: bytes) -> bytes:
        """A warehouse's answers of one row to all requests in the bytes."""
        tags = re.findall(rb"query_id=(\w+)", data)
        return b"".join(self.serves(tag.decode(), "1,2,3") for tag in tags)

    def serves(self, tag: str, *rows: str) -> bytes:
        """A warehouse's answer."""
        text = encode_rows(rows)
        head = b"HTTP/1.1 200 OK\r\nX-ClickHouse-Query-Id: %s\r\n" % tag.encode()
        return head + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(text), text)

    def half(self, tag: str, *rows: str) -> bytes:
        """A warehouse's answer without its last chunk."""
        return self.serves(tag, *rows).removesuffix(b"0\r\n\r\n")

    def sheds(self, _tag: str) -> bytes:
        """A warehouse's rejection."""
        return self._error_response(b"503 Service Unavailable", 202)

    def faults(self, _tag: str) -> bytes:
        """A warehouse's error."""
        return self._error_response(b"500 Internal Server Error", 241)

    def _error_response(self, status: bytes, code: int, text: bytes = b"") -> bytes:
        text = text or b"Code: %d. DB::Exception: no." % code
        head = b"HTTP/1.1 %s\r\nContent-Type: text/plain; charset=UTF-8\r\n" % status
        head += b"X-ClickHouse-Exception-Code: %d\r\n" % code
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(text), text)

    def served(self, tag: str, *rows: str) -> bytes:
        """The answer to a client."""
        text = encode_rows(rows)
        head = b"HTTP/1.1 200 OK\r\nX-ClickHouse-Query-Id: %s\r\n" % tag.encode()
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(text), text)

    def served_last(self, tag: str, *rows: str) -> bytes:
        """The answer to a client whose connection is closed after it."""
        return self.served(tag, *rows).replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")

    def refused(self, _tag: str, retry_after_ms: str, *wait_estimate_s: str) -> bytes:
        """The rejection to a client, with the low and high estimate of the wait if there is one."""
        text = b"Code: 202. DB::Exception: All warehouses are busy; try again after a while."
        text += b" (TOO_MANY_SIMULTANEOUS_QUERIES)\n"
        response = self._error_response(b"503 Service Unavailable", 202, text)
        headers = b"Retry-After: %d\r\n" % -(-int(retry_after_ms) // 1000)
        if wait_estimate_s:
            headers += "X-Lilacfront-Wait: low={}, high={}\r\n".format(*wait_estimate_s).encode()
        return response.replace(b"Content-Length", headers + b"Content-Length")

    def failed(self, _tag: str) -> bytes:
        """The error to a client."""
        text = b"Code: 210. DB::Exception: The request failed at its warehouse. (NETWORK_ERROR)\n"
        return self._error_response(b"500 Internal Server Error", 210, text)

    def late(self, _tag: str) -> bytes:
        """The error to a client whose deadline has passed."""
        text = b"Code: 159. DB::Exception: No warehouse answered in time. (TIMEOUT_EXCEEDED)\n"
        return self._error_response(b"504 Gateway Timeout", 159, text)
