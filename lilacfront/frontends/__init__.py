"""Servers of the client protocols: the platform's Thrift service and the ClickHouse HTTP interface."""
