"""The base class of the dialects, which translate the verbs of exchanges into bytes."""

from __future__ import annotations

import json
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any, Protocol

from lilacfront.protocols import thrift

SENDING_VERBS = frozenset(
    {
        "abort",
        "ask",
        "cancels",
        "created",
        "deletes",
        "faults",
        "half",
        "lists",
        "puts",
        "says",
        "serves",
        "sheds",
    }
)


@dataclass(slots=True, frozen=True)
class Transfer:
    """Bytes that the actor sends, or that it must receive next."""

    data: bytes
    is_sent: bool


@dataclass(slots=True, frozen=True)
class ConnectionEnd:
    """The front end must end the actor's connection without sending more bytes."""


class Endpoints(Protocol):
    """The interface through which a dialect queries the actors' addresses."""

    def entry(self, name: str, state: str = "ready") -> dict[str, Any]:
        """The entry of a warehouse in the endpoint list."""

    def address(self, name: str) -> str:
        """The address of an actor that listens."""


class Dialect(ABC):
    """Translates the verbs of exchanges into the bytes of one protocol path.

    Each verb is implemented by the method with its name.
    """

    gateway_toml = ""
    listener_index = 0
    ping_request = thrift.encode_ping(1)
    unhealthy_answer = thrift.encode_answer(b"ping", 1, b"", False)
    endpoints: Endpoints

    def translate(self, actor: str, verb: str, *args: str) -> list[Transfer | ConnectionEnd]:
        """The transfers that a verb of the actor stands for, in order."""
        del actor  # only the verbs of HTTP depend on it
        if verb == "unwell":
            return [Transfer(self.ping_request, True), Transfer(self.unhealthy_answer, False)]
        return [Transfer(getattr(self, verb)(*args), verb in SENDING_VERBS)]

    def says(self, seq: str, name: str, state: str) -> bytes:
        """A watch event about one warehouse."""
        event = {"seq": int(seq), "fleet": {"instances": [self.endpoints.entry(name, state)]}}
        return json.dumps(event).encode() + b"\n"

    def since(self, seq: str) -> bytes:
        """The front end's request to watch the endpoint list."""
        return f"since {seq}\n".encode()

    @abstractmethod
    def ask(self, tag: str, request_class: str, ttl_ms: str, *words: str) -> bytes:
        """A client's request."""

    @abstractmethod
    def answers(self, data: bytes) -> bytes:
        """A warehouse's answers of one row to all requests in the bytes."""

    @abstractmethod
    def served(self, tag: str, *rows: str) -> bytes:
        """The answer to a client."""


def encode_rows(rows: tuple[str, ...]) -> bytes:
    """Encode rows, whose columns are separated by commas, as tab-separated lines."""
    return b"".join(row.replace(",", "\t").encode() + b"\n" for row in rows)
