"""Clients of the engines: RESP with paged results, and ClickHouse HTTP.

Both implement `core.model.Upstream`. The outcome of an attempt states how it ended and at which stage; the
retry decision is made elsewhere.
"""
