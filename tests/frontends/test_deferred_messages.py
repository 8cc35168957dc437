"""Exponential backoff after bad messages, and the queue of messages deferred meanwhile."""

from __future__ import annotations

import pytest
from event_loop import ManualLoop

from lilacfront.frontends.deferred_messages import MAX_DEFERRED_BYTES, DeferredMessage, DeferredMessages
from lilacfront.protocols import thrift


@pytest.fixture
def manual_loop() -> ManualLoop:
    return ManualLoop()


@pytest.fixture
def deferred(manual_loop: ManualLoop) -> DeferredMessages:
    return DeferredMessages(manual_loop.loop)


def message(seqid: int | None, size: int = 10) -> DeferredMessage:
    return DeferredMessage(seqid, bytes(size), 0.0)


def test_backoff_doubles_up_to_its_maximum(deferred: DeferredMessages) -> None:
    backoffs = []
    for _ in range(5):
        deferred.back_off()
        backoffs.append(deferred.backoff_s)
    assert backoffs == [0.1, 0.2, 0.4, 0.8, 0.8]


def test_messages_are_deferred_until_the_backoff_ends(
    manual_loop: ManualLoop, deferred: DeferredMessages
) -> None:
    assert not deferred.is_paused
    deferred.back_off()
    assert deferred.is_paused
    manual_loop.run_for(0.2)
    assert not deferred.is_paused


def test_deferred_messages_can_resume_when_the_backoff_ends(
    manual_loop: ManualLoop, deferred: DeferredMessages
) -> None:
    deferred.back_off()
    deferred.append(message(1))
    assert not deferred.can_resume
    manual_loop.run_for(0.2)
    assert deferred.can_resume
    assert deferred.is_paused, "a later message must not overtake the deferred ones"


def test_messages_are_popped_in_the_order_received(deferred: DeferredMessages) -> None:
    messages = [message(seqid) for seqid in (3, None, 1)]
    for one_message in messages:
        deferred.append(one_message)
    assert deferred.pop_all() == messages
    assert not deferred
    assert deferred.size_bytes == 0


def test_removed_requests_do_not_count_towards_the_size(deferred: DeferredMessages) -> None:
    for seqid in (1, 2, 1, None):
        deferred.append(message(seqid))
    deferred.remove_request(1)
    assert [kept.seqid for kept in deferred] == [2, None]
    assert deferred.size_bytes == 20


def test_deferring_too_many_bytes_raises(deferred: DeferredMessages) -> None:
    deferred.append(message(1, MAX_DEFERRED_BYTES))
    with pytest.raises(thrift.ThriftError):
        deferred.append(message(2, 1))
