"""Selects the client codec for the protocol of a plan."""

from __future__ import annotations

import os

from lilacfront.load.client_codecs import ClientCodec
from lilacfront.load.connection_pool import Address, CodecFactory
from lilacfront.load.http_codec import HttpClientCodec
from lilacfront.load.plan import Plan
from lilacfront.load.thrift_codec import ThriftClientCodec


def codec_factory(plan: Plan, run: str) -> CodecFactory:
    """Returns a function that creates the codec of a new connection.

    Args:
        plan: The plan; its target names the protocol.
        run: Eight hex digits in the ids of all requests of this run, to tell them from those of other runs.
    """

    def thrift_codec(_: Address) -> ClientCodec:
        return ThriftClientCodec(run)

    def http_codec(address: Address) -> ClientCodec:
        host, port = address
        return HttpClientCodec(f"{host}:{port}", run, _password)

    return thrift_codec if plan.target.protocol == "platform" else http_codec


def _password(variable: str) -> str:
    return os.environ.get(variable, "")
