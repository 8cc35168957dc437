"""Parses an `invoke` of the platform's protocol into a `Request`."""

from __future__ import annotations

import math
import re
from collections.abc import Container, Mapping
from hashlib import blake2b

from lilacfront.core.model import Request, RequestClient
from lilacfront.core.statement import table_group
from lilacfront.errors import LilacfrontError
from lilacfront.frontends.platform_services import ClientNames
from lilacfront.protocols import thrift

CALL_ID = re.compile(rb"[0-9A-Fa-f]{16}")
IDEMPOTENCY_KEY = re.compile(rb"[^\x00-\x20,=\x7f-\xff]{0,64}")  # must fit into a RESP field list
MAX_DEADLINE_RATIO = 1.5  # maximum of the client's own deadline divided by the deadline of the class
DEADLINE_MARGIN_S = 0.012  # time for receiving the request and sending the answer
MAX_ESTIMATE = 1e12  # in the unit of the field
IS_RETRY = b"1"  # value of the field that marks a client's retry
US_PER_MS = 1000
ORDERING_KEY_BYTES = 8  # size of the number that stands for an ordering key


class InvalidInvokeError(LilacfrontError):
    """An `invoke` that the protocol does not allow; the error text is sent to the client."""


def parse_request(
    message: thrift.Message,
    received_at: float,
    names: ClientNames,
    used_call_ids: Container[bytes],
    client: RequestClient,
) -> Request:
    """Return the request of an `invoke`.

    Args:
        message: The `invoke`.
        received_at: Time at which the message was complete, on the loop's clock.
        names: The names that clients use.
        used_call_ids: Ids of requests in flight, or that may have run.
        client: The client's connection.

    Raises:
        InvalidInvokeError: A field or the statement is invalid.
    """
    fields = message.fields
    request_class = names.classes.get(fields.get(b"op", b""))
    if request_class is None:
        raise InvalidInvokeError("field op names no class")
    call_id = _call_id(fields.get(b"call", b""), used_call_ids)
    _check_statement(message.body)
    timeout_s = _timeout_s(fields.get(b"ttl"), request_class.deadline_s)
    work_ms = _estimate(fields, b"work")
    return Request(
        call_id,
        request_class.index,
        received_at + max(timeout_s - DEADLINE_MARGIN_S, timeout_s / 2),
        message.body,
        table_group(message.body),
        query_id=call_id,
        idempotency_key=_idempotency_key(fields.get(b"dedupe", b"")),
        ordering_key=_ordering_key(fields.get(b"row", b"")) if request_class.is_ordered else 0,
        tenant=_tenant(fields.get(b"org"), names),
        is_client_retry=fields.get(b"rep") == IS_RETRY,
        estimated_work_us=None if work_ms is None else int(work_ms * US_PER_MS),
        estimated_memory_mb=_estimate(fields, b"heap"),
        client=client,
    )


def _call_id(call_id: bytes, used_call_ids: Container[bytes]) -> bytes:
    if not CALL_ID.fullmatch(call_id):
        raise InvalidInvokeError("field call is not an id of 16 hex digits")
    if call_id in used_call_ids:
        # Engines identify a request by its id, so a second one with the same id would disturb the first. That
        # holds beyond the end of the first: it may have run, or may run still.
        raise InvalidInvokeError("this id is open already")
    return call_id


def _idempotency_key(text: bytes) -> bytes:
    if not IDEMPOTENCY_KEY.fullmatch(text):
        raise InvalidInvokeError("field dedupe is no idempotency key")
    return text


def _tenant(name: bytes | None, names: ClientNames) -> int | None:
    """Return the index of the tenant; None without tenants, and for a client that names none."""
    if name is None or not names.tenants:
        return None
    index = names.tenants.get(name)
    if index is None:
        raise InvalidInvokeError("field org names no tenant")
    return index


def _estimate(fields: Mapping[bytes, bytes], name: bytes) -> float | None:
    """Return an estimate in the unit of its field; None if the field is absent or 0."""
    text = fields.get(name)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 <= value <= MAX_ESTIMATE:
        raise InvalidInvokeError(f"field {name.decode()} is not a number from 0 to {MAX_ESTIMATE:g}")
    return value or None


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
