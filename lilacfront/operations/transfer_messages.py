"""Messages between the processes of one front end, encoded as msgpack arrays.

Running processes of other versions read these messages, so their tags and the order of the fields must not
change. The names of the fields are not encoded.
"""

from __future__ import annotations

import msgspec

from lilacfront.operations.state_record import ProcessState

MAX_MESSAGE_BYTES = 128 << 10  # enough for a complete answer, or for the received part of a message
MAX_PARTIAL_MESSAGE_BYTES = 64 << 10  # a connection with a longer partial message is not transferred


class ConnectionPassed(msgspec.Struct, frozen=True, tag="passed", array_like=True):
    """Transfers a client connection; its descriptor is sent as ancillary data of this message.

    Attributes:
        connection_id: Number that identifies the connection in later messages on this channel.
        partial_message: The received part of the client's next message.
        pending_requests: Sequence number and id of each request in flight at the sender.
        had_request: Whether any request has been received on the connection.
        ordering_keys: Sequence number and ordering key of each pending request that has a key.
    """

    connection_id: int
    partial_message: bytes
    pending_requests: tuple[tuple[int, bytes], ...]
    had_request: bool
    ordering_keys: tuple[tuple[int, int], ...] = ()


class _KeylessConnectionPassed(msgspec.Struct, frozen=True, tag="passed", array_like=True):
    """The form of `ConnectionPassed` without ordering keys, which versions without that field write."""

    connection_id: int
    partial_message: bytes
    pending_requests: tuple[tuple[int, bytes], ...]
    had_request: bool


class AnswerReady(msgspec.Struct, frozen=True, tag="answered", array_like=True):
    """Contains the encoded answer to a pending request, for the new owner of the connection to send."""

    connection_id: int
    seqid: int
    frame: bytes


class RequestCancelled(msgspec.Struct, frozen=True, tag="given up", array_like=True):
    """Cancels a pending request; with `seqid` None, all pending requests of the connection."""

    connection_id: int
    seqid: int | None = None


class StateAnnouncement(msgspec.Struct, frozen=True, tag="spoken", array_like=True):
    """Publishes the state of the sender, which is the same as in its state file."""

    state: ProcessState


class KeysInUse(msgspec.Struct, frozen=True, tag="keys in use", array_like=True):
    """Ordering keys that the sender, which shuts down, may use until it reports them as free.

    It is sent only to processes whose state says that they read it (`ProcessState.holds_keys`).
    """

    keys: tuple[int, ...]


class KeysFree(msgspec.Struct, frozen=True, tag="keys free", array_like=True):
    """Ordering keys that the sender does not use any more."""

    keys: tuple[int, ...]


class ListenerRequested(msgspec.Struct, frozen=True, tag="listener requested", array_like=True):
    """Requests the listening socket of an address from another process of the same front end."""

    front_end: str
    host: str
    port: int


class ListenerPassed(msgspec.Struct, frozen=True, tag="listener passed", array_like=True):
    """Answers `ListenerRequested`; the socket's descriptor is sent as ancillary data of this message."""

    host: str
    port: int


Message = (
    ConnectionPassed
    | AnswerReady
    | RequestCancelled
    | StateAnnouncement
    | KeysInUse
    | KeysFree
    | ListenerRequested
    | ListenerPassed
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message for the wire."""
    if isinstance(message, ConnectionPassed) and not message.ordering_keys:
        return _ENCODER.encode(
            _KeylessConnectionPassed(
                message.connection_id, message.partial_message, message.pending_requests, message.had_request
            )
        )
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> Message:
    """Decode a message.

    Raises:
        msgspec.MsgspecError: The data is not a valid message.
    """
    return _DECODER.decode(data)
