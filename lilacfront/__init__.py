"""lilacfront: the decisions of a gateway in front of query engines with limited memory."""

from lilacfront.rules import Gateway

__all__ = ["Gateway"]
