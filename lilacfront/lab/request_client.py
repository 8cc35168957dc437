"""A client that sends lookups to one front end and counts their results."""

from __future__ import annotations

import threading
import time
from collections import Counter

from lilacfront.lab.test_bed import SETTINGS
from lilacfront.lab.thrift_client import ThriftClient
from lilacfront.protocols import thrift

_US_PER_S = 1e6
LATENCY_OBJECTIVE_S = SETTINGS["classes"][0]["aim"] / _US_PER_S
CALL_NUMBER_BITS = 32  # low bits of a call id that number the calls; the high bits are the client's number


class RequestClient(threading.Thread):
    """Sends lookups sequentially on one connection, and reconnects after one that got no answer.

    Attributes:
        endings: Number of requests by result: the kind of reply, marked if late, or "no answer".
    """

    def __init__(self, number: int, address: tuple[str, int], requests_per_s: float) -> None:
        super().__init__(daemon=True)
        self.endings: Counter[str] = Counter()
        self._number = number
        self._address = address
        self._interval_s = 1.0 / requests_per_s
        self._stopping = threading.Event()
        self._client: ThriftClient | None = None

    def stop(self) -> None:
        """Send no more requests; the thread ends after the request in flight."""
        self._stopping.set()

    def run(self) -> None:
        """Send requests until `stop`."""
        sent = 0
        while not self._stopping.wait(self._interval_s):
            sent += 1
            started_at = time.monotonic()
            reply = self._send_request(sent)
            if reply is None:
                self.endings["no answer"] += 1
                self._disconnect()
                continue
            late = time.monotonic() - started_at > LATENCY_OBJECTIVE_S
            self.endings[f"{reply.kind}, late" if late else reply.kind] += 1
        self._disconnect()

    def _send_request(self, number: int) -> thrift.Reply | None:
        """Send a request and wait for the reply; None if the connection ends first."""
        try:
            if self._client is None:
                self._client = ThriftClient(self._address)
            call_id = (self._number << CALL_NUMBER_BITS) + number
            seqid = self._client.send_request(call_id, group=number)
            return self._client.wait_for_reply(seqid, required=False)
        except OSError:
            return None

    def _disconnect(self) -> None:
        if self._client is not None:
            self._client.close()
            self._client = None
