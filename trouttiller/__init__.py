"""trouttiller: the decisions of a gateway in front of query engines with limited memory."""

from trouttiller.decide import Gateway

__all__ = ["Gateway"]
