"""Parses an `invoke` of the platform's protocol into a `Request`."""

from __future__ import annotations

import re
from collections.abc import Callable, Collection, Mapping
from hashlib import blake2b

from lilacfront.core.model import Request
from lilacfront.core.statement import table_group
from lilacfront.errors import LilacfrontError
from lilacfront.frontends.platform_services import PlatformClass
from lilacfront.protocols import thrift

CALL_ID = re.compile(rb"[0-9A-Fa-f]{16}")
IDEMPOTENCY_KEY = re.compile(rb"[^\x00-\x20,=\x7f-\xff]{0,64}")  # must fit into a RESP field list
MAX_DEADLINE_RATIO = 1.5  # maximum of the client's own deadline divided by the deadline of the class
DEADLINE_MARGIN_S = 0.012  # time for receiving the request and sending the answer
ORDERING_KEY_BYTES = 8  # size of the number that stands for an ordering key


class InvalidInvokeError(LilacfrontError):
    """An `invoke` that the protocol does not allow; the error text is sent to the client."""


def parse_request(
    message: thrift.Message,
    received_at: float,
    classes: Mapping[bytes, PlatformClass],
    open_call_ids: Collection[bytes],
    is_client_connected: Callable[[], bool],
) -> Request:
    """Return the request of an `invoke`.

    Args:
        message: The `invoke`.
        received_at: Time at which the message was complete, on the loop's clock.
        classes: The request classes by the names that clients use.
        open_call_ids: Ids of the requests in flight.
        is_client_connected: See `Request`.

    Raises:
        InvalidInvokeError: A field or the statement is invalid.
    """
    request_class = classes.get(message.fields.get(b"op", b""))
    if request_class is None:
        raise InvalidInvokeError("field op names no class")
    call_id = message.fields.get(b"call", b"")
    if not CALL_ID.fullmatch(call_id):
        raise InvalidInvokeError("field call is not an id of 16 hex digits")
    if call_id in open_call_ids:
        # Engines identify a request by its id, so a second one with the same id would disturb the first.
        raise InvalidInvokeError("this id is open already")
    _check_statement(message.body)
    timeout_s = _timeout_s(message.fields.get(b"ttl"), request_class.deadline_s)
    idempotency_key = message.fields.get(b"dedupe", b"")
    if not IDEMPOTENCY_KEY.fullmatch(idempotency_key):
        raise InvalidInvokeError("field dedupe is no idempotency key")
    return Request(
        call_id,
        request_class.index,
        received_at + max(timeout_s - DEADLINE_MARGIN_S, timeout_s / 2),
        message.body,
        table_group(message.body),
        idempotency_key=idempotency_key,
        ordering_key=_ordering_key(message.fields.get(b"row", b"")) if request_class.is_ordered else 0,
        is_client_connected=is_client_connected,
    )


def _check_statement(statement: bytes) -> None:
    try:
        text = statement.decode()
    except UnicodeDecodeError as error:
        raise InvalidInvokeError("the statement is not UTF-8") from error
    if not text.strip():
        raise InvalidInvokeError("the statement is empty")
    if "\0" in text:
        raise InvalidInvokeError("the statement holds a zero byte")


def _timeout_s(ttl: bytes | None, class_deadline_s: float) -> float:
    if ttl is None:
        return class_deadline_s
    max_ttl_ms = class_deadline_s * 1000 * MAX_DEADLINE_RATIO
    if not ttl.isdigit() or len(ttl) > 9 or not 0 < int(ttl) <= max_ttl_ms:
        raise InvalidInvokeError("field ttl is not a number of milliseconds that this class allows")
    return int(ttl) / 1000


def _ordering_key(text: bytes) -> int:
    """Return the number of a client's ordering key; 0 if the request has no key.

    The protocol sets no form or length for the key, so a digest stands for it. Two keys with the same digest
    would wait for each other, which breaks no rule.
    """
    if not text:
        return 0
    return int.from_bytes(blake2b(text, digest_size=ORDERING_KEY_BYTES).digest()) or 1
