"""The dialect with the endpoint list from etcd's JSON gateway."""

from __future__ import annotations

import json
from base64 import b64encode
from typing import Any

from play.settings import INSTANCE_IDS
from play.thrift_resp import ThriftResp

# The keys are base64 for the range from `/warehouses/` up to, but not including, `/warehouses0`.
RANGE_JSON = b'{"key":"L3dhcmVob3VzZXMv","range_end":"L3dhcmVob3VzZXMw"}'
WATCH_JSON = (
    b'{"create_request":{"key":"L3dhcmVob3VzZXMv","range_end":"L3dhcmVob3VzZXMw","start_revision":"%s"}}'
)


class Etcd(ThriftResp):
    """Translates verbs for the Thrift and RESP path with the endpoint list from etcd."""

    gateway_toml = '[etcd]\nendpoints = ["$E"]'

    def _post_request(self, path: bytes, text: bytes) -> bytes:
        head = b"POST %s HTTP/1.1\r\nHost: %s\r\n" % (path, self.endpoints.address("E").encode())
        head += b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(text)
        return head + text

    def _key_value(self, name: str, state: str = "ready") -> dict[str, str]:
        entry = json.dumps(self.endpoints.entry(name, state))
        texts = {"key": "/warehouses/" + INSTANCE_IDS[name], "value": entry}
        return {key: b64encode(text.encode()).decode() for key, text in texts.items()}

    def _chunk(self, result: dict[str, Any]) -> bytes:
        text = json.dumps({"result": result}).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(text), text)

    def ranges(self, *_: str) -> bytes:
        """The front end's request for the whole list."""
        return self._post_request(b"/v3/kv/range", RANGE_JSON)

    def lists(self, revision: str, *names: str) -> bytes:
        """The whole list."""
        answer = {"header": {"revision": revision}, "kvs": [self._key_value(name) for name in names]}
        text = json.dumps(answer).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)

    def watches(self, revision: str) -> bytes:
        """The front end's request to watch the list."""
        return self._post_request(b"/v3/watch", WATCH_JSON % revision.encode())

    def created(self, revision: str) -> bytes:
        """The response that starts the watch."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        return head + self._chunk({"header": {"revision": revision}, "created": True})

    def puts(self, revision: str, name: str) -> bytes:
        """A watch event that adds a warehouse to the list."""
        events = [{"kv": self._key_value(name)}]
        return self._chunk({"header": {"revision": revision}, "events": events})

    def changes(self, revision: str, names_and_states: list[str]) -> bytes:
        """A watch response with several events, each `NAME STATE`."""
        events = [{"kv": self._key_value(*text.split())} for text in names_and_states]
        return self._chunk({"header": {"revision": revision}, "events": events})

    def deletes(self, revision: str, name: str) -> bytes:
        """A watch event that removes a warehouse from the list."""
        events = [{"type": "DELETE", "kv": {"key": self._key_value(name)["key"]}}]
        return self._chunk({"header": {"revision": revision}, "events": events})

    def cancels(self, revision: str) -> bytes:
        """The cancellation of the watch, because its revision has been compacted."""
        return self._chunk({"header": {"revision": revision}, "canceled": True, "compact_revision": revision})
