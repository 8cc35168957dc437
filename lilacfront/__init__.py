"""lilacfront: a gateway that distributes queries to engines with limited memory."""

from lilacfront.decisions.router import RequestRouter

__all__ = ["RequestRouter"]
__version__ = "0.1.0"
