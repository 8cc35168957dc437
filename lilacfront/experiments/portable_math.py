"""Functions whose results are the same on every processor.

The results of `numpy.exp` and of the C library's `exp` may differ in the last bit between processors, because
both select an implementation by the processor's vector instructions.
"""

from __future__ import annotations

from decimal import Context, Decimal

EXP_DIGITS = 30  # more than the 17 digits that identify a float


def exp(exponent: float) -> float:
    """Return e to the power of `exponent`, computed in decimal arithmetic and rounded to a float."""
    return float(Decimal(exponent).exp(Context(prec=EXP_DIGITS)))
