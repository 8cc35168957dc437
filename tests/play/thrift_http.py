"""The dialect of the path with Thrift towards clients and HTTP towards warehouses."""

from __future__ import annotations

import re

from play.dialect import ConnectionEnd, Transfer
from play.http import Http
from play.settings import HTTP_WAREHOUSES
from play.thrift_resp import ThriftResp


class ThriftHttp(ThriftResp):
    """Translates verbs for the Thrift and HTTP path: clients as in `ThriftResp`, warehouses as in `Http`."""

    gateway_toml = HTTP_WAREHOUSES

    def __init__(self) -> None:
        super().__init__()
        self._warehouses = Http()

    def translate(self, actor: str, verb: str, *args: str) -> list[Transfer | ConnectionEnd]:
        """The transfers that a verb stands for; a cancelled attempt's connection is closed."""
        if verb in ("given_up", "undone"):
            return [ConnectionEnd()]
        if verb == "asked":
            return [Transfer(self._forwarded_request(self.endpoints.address(actor), *args), False)]
        return super().translate(actor, verb, *args)

    def _forwarded_request(self, address: str, tag: str, _ttl_ms: str, *words: str) -> bytes:
        """The request that a warehouse receives: the statement under the client's call id."""
        text = " ".join(words).encode()
        target = b"/?query_id=" + self.call_id(tag)
        head = b"POST %s HTTP/1.1\r\nHost: %s\r\n" % (target, address.encode())
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(text), text)

    def answers(self, data: bytes) -> bytes:
        """A warehouse's answers of one row to all requests in the bytes."""
        call_ids = re.findall(rb"query_id=(\w+)", data)
        return b"".join(self._warehouses.serves(call_id.decode(), "1,2,3") for call_id in call_ids)

    def serves(self, tag: str, *rows: str) -> bytes:
        """A warehouse's answer."""
        return self._warehouses.serves(self.call_id(tag).decode(), *rows)

    def half(self, tag: str, *rows: str) -> bytes:
        """A warehouse's answer without its last chunk."""
        return self._warehouses.half(self.call_id(tag).decode(), *rows)

    def sheds(self, tag: str) -> bytes:
        """A warehouse's rejection."""
        return self._warehouses.sheds(tag)

    def faults(self, tag: str) -> bytes:
        """A warehouse's error."""
        return self._warehouses.faults(tag)
