"""The client codecs of both protocols."""

from __future__ import annotations

import pytest

from lilacfront.load.client_codecs import ClientProtocolError, StrayAnswer
from lilacfront.load.http_codec import HttpClientCodec
from lilacfront.load.retry_policy import AttemptEnd
from lilacfront.load.schedule import RequestProfile
from lilacfront.load.thrift_codec import ThriftClientCodec
from lilacfront.protocols import thrift


def test_unexpected_answers_are_classified() -> None:
    profile = RequestProfile("lookup", "", 5.0, True, b"a\tb\tc\n")
    thrift_codec = ThriftClientCodec("0badcafe")
    for number in range(4):
        thrift_codec.request(number, profile, b"select 1", 1.0)

    def receive(seqid: int, body: bytes = b"a\tb\tc\n") -> tuple[int | None, str, StrayAnswer | None]:
        (answer,) = thrift_codec.feed(thrift.encode_answer(b"invoke", seqid, body))
        return answer.number, answer.result.end.value, answer.stray

    assert receive(2) == (1, "served", None)
    assert receive(2) == (None, "wrong", StrayAnswer.DUPLICATE)
    assert thrift_codec.cancel(2) == thrift.encode_abort(3)
    assert receive(3) == (None, "wrong", StrayAnswer.LATE)
    assert receive(3) == (None, "wrong", StrayAnswer.DUPLICATE)
    assert receive(9) == (None, "wrong", StrayAnswer.UNKNOWN)
    assert receive(1, b"a\tb\n") == (0, "wrong", None)
    assert receive(4, b"x\tb\tc\n") == (3, "wrong", None)
    http = HttpClientCodec("h:1", "0badcafe", lambda _name: "")
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n1\n"
    http.request(5, profile, b"SELECT 1", 1.0)
    stray = [answer.stray for answer in http.feed(response.replace(b"1\n", b"2\n") + response)]
    assert stray == [None, StrayAnswer.DUPLICATE]
    http.request(6, profile, b"SELECT 1", 1.0)
    other_request = response.replace(b"OK\r\n", b"OK\r\nX-ClickHouse-Query-Id: 0badcafe-5\r\n")
    assert [answer.result.end for answer in http.feed(other_request)] == [AttemptEnd.WRONG]
    with pytest.raises(ClientProtocolError):
        http.feed(b"nonsense\r\n\r\n")


@pytest.mark.parametrize("split", [False, True])
def test_split_replies_are_parsed_and_truncated_replies_are_rejected(split: bool) -> None:
    replies = [
        (thrift.encode_answer(b"invoke", 1, b"a"), ("answer", b"a", True, {})),
        (thrift.encode_shed(2, {b"pushback": b"70"}), ("shed", b"", False, {b"pushback": b"70"})),
        (thrift.encode_fault(3, {}), ("fault", b"", False, {})),
        (thrift.encode_application_exception(b"invoke", 4, 7, "no"), ("exception", b"", False, {})),
    ]
    frames = thrift.FrameDecoder()
    data = b"".join(frame for frame, _ in replies)
    parts = [data[n : n + 1] for n in range(len(data))] if split else [data]
    parsed = [thrift.parse_reply(frame) for part in parts for frame in frames.feed(part)]
    assert [(reply.kind, reply.body, reply.is_good, reply.fields) for reply in parsed] == [
        expected for _, expected in replies
    ]
    for frame, _ in replies:
        for length in range(4, len(frame)):
            with pytest.raises(thrift.ThriftError):
                thrift.parse_reply(frame[4:length])
