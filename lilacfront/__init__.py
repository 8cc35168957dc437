"""lilacfront: a gateway that places queries on engines with limited memory."""

from lilacfront.rules import Gateway

__all__ = ["Gateway"]
__version__ = "0.1.0"
