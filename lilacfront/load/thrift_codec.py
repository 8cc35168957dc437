"""The client side of the platform's Thrift protocol: many open requests, answers in any order."""

from __future__ import annotations

from collections import OrderedDict

from lilacfront.load.client_codecs import (
    MAX_REMEMBERED_REQUESTS,
    SERVED,
    WRONG,
    Answer,
    ClientProtocolError,
    StrayAnswer,
)
from lilacfront.load.retry_policy import AttemptEnd, AttemptResult
from lilacfront.load.schedule import RequestProfile
from lilacfront.protocols import thrift

MAX_PLATFORM_RESULT_BYTES = 48_000  # the largest valid result
FRAME_OVERHEAD_BYTES = 4096  # of a reply frame, in addition to the result
COLUMN_SEPARATORS_PER_ROW = 2
MS_PER_S = 1000
_UINT32_MASK = 0xFFFFFFFF


class ThriftClientCodec:
    """The codec of one connection; `run` is eight hex digits, the first half of every call id."""

    def __init__(self, run: str) -> None:
        self.open_requests: dict[int, RequestProfile] = {}
        self.closing = False
        self._run = int(run, 16) & _UINT32_MASK
        self._frames = thrift.FrameDecoder(MAX_PLATFORM_RESULT_BYTES + FRAME_OVERHEAD_BYTES)
        self._numbers: dict[int, int] = {}  # request numbers by sequence number
        self._seqids: dict[int, int] = {}  # sequence numbers by request number
        # How to classify a further answer to an ended call, by sequence number.
        self._ended: OrderedDict[int, StrayAnswer] = OrderedDict()
        self._last_seqid = 0

    @property
    def capacity(self) -> int:
        """The number of further requests that may be sent now."""
        return thrift.MAX_OPEN_CALLS - len(self.open_requests)

    def request(self, number: int, profile: RequestProfile, statement: bytes, ttl_s: float) -> bytes:
        """Opens a request and returns its bytes."""
        self._last_seqid += 1
        seqid = self._last_seqid
        self.open_requests[number] = profile
        self._numbers[seqid] = number
        self._seqids[number] = seqid
        call_id = b"%08x%08x" % (self._run, number & _UINT32_MASK)
        ttl_ms = max(1, int(ttl_s * MS_PER_S))
        fields = {b"op": profile.class_name.encode(), b"call": call_id, b"ttl": b"%d" % ttl_ms}
        return thrift.encode_invoke(seqid, fields, statement)

    def cancel(self, number: int) -> bytes | None:
        """Cancels an open request and returns the message to send to the peer."""
        del self.open_requests[number]
        seqid = self._seqids[number]
        self._end_call(seqid, StrayAnswer.LATE)
        return thrift.encode_abort(seqid)

    def feed(self, data: bytes) -> list[Answer]:
        """Parses received bytes."""
        try:
            return [self._complete_answer(thrift.parse_reply(frame)) for frame in self._frames.feed(data)]
        except thrift.ThriftError as error:
            raise ClientProtocolError(str(error)) from None

    def eof(self) -> list[Answer]:
        """Handles the end of the connection; it completes no answer."""
        return []

    def _end_call(self, seqid: int, further_answer: StrayAnswer) -> int:
        number = self._numbers.pop(seqid)
        del self._seqids[number]
        self._ended[seqid] = further_answer
        if len(self._ended) > MAX_REMEMBERED_REQUESTS:
            self._ended.popitem(last=False)
        return number

    def _complete_answer(self, reply: thrift.Reply) -> Answer:
        if reply.seqid not in self._numbers:
            stray = self._ended.get(reply.seqid, StrayAnswer.UNKNOWN)
            self._ended[reply.seqid] = StrayAnswer.DUPLICATE
            return Answer(None, WRONG, stray)
        number = self._end_call(reply.seqid, StrayAnswer.DUPLICATE)
        profile = self.open_requests.pop(number)
        if reply.name != b"invoke":
            return Answer(number, WRONG)
        if reply.kind == "shed":
            pushback_ms = reply.fields.get(b"pushback", b"")
            retry_after_s = int(pushback_ms) / MS_PER_S if pushback_ms.isdigit() else None
            return Answer(number, AttemptResult(AttemptEnd.REJECTED, retry_after_s))
        if reply.kind != "answer" or not reply.is_good:
            return Answer(number, AttemptResult(AttemptEnd.ERROR))
        return Answer(number, SERVED if _is_expected(reply.body, profile) else WRONG)


def _is_expected(body: bytes, profile: RequestProfile) -> bool:
    """Whether a result has complete rows of three columns and equals the expected result, if there is one."""
    rows = body.split(b"\n")
    has_rows = not rows[-1] and all(row.count(b"\t") == COLUMN_SEPARATORS_PER_ROW for row in rows[:-1])
    return has_rows and profile.expected_result in (None, body) and len(body) <= MAX_PLATFORM_RESULT_BYTES
