"""The retry policy of a client."""

from __future__ import annotations

from typing import Any

import pytest

from lilacfront.load.plan import ClientSettings
from lilacfront.load.retry_policy import AttemptEnd, AttemptResult, next_attempt_at


@pytest.mark.parametrize(
    ("retry", "end", "retry_after_s", "attempts", "idempotent", "expected"),
    [
        ("never", AttemptEnd.REJECTED, None, 1, True, None),
        ("at_once", AttemptEnd.SERVED, None, 1, True, None),
        ("at_once", AttemptEnd.BROKEN, None, 1, True, 5.0),
        ("at_once", AttemptEnd.BROKEN, None, 1, False, None),
        ("at_once", AttemptEnd.REJECTED, None, 1, False, 5.0),
        ("at_once", AttemptEnd.UNSENT, None, 1, False, 5.0),
        ("at_once", AttemptEnd.TIMED_OUT, None, 1, True, None),
        ("at_once", AttemptEnd.ERROR, None, 3, True, None),
        ("told", AttemptEnd.REJECTED, 2.0, 1, False, 7.0),
        ("told", AttemptEnd.REJECTED, None, 1, False, 5.5),
        ("told", AttemptEnd.REJECTED, 60.0, 1, False, None),
    ],
)
def test_time_of_the_next_attempt(
    retry: Any,
    end: AttemptEnd,
    retry_after_s: float | None,
    attempts: int,
    idempotent: bool,
    expected: float | None,
) -> None:
    import random

    client = ClientSettings(retry=retry, max_attempts=3, jitter=0.0, default_retry_after_s=0.5)
    assert (
        next_attempt_at(
            client, AttemptResult(end, retry_after_s), attempts, idempotent, 5.0, 10.0, random.Random(1)
        )
        == expected
    )
    jittered = next_attempt_at(
        ClientSettings(retry=retry, jitter=0.5),
        AttemptResult(end, retry_after_s),
        attempts,
        idempotent,
        5.0,
        10.0,
        random.Random(1),
    )
    assert (jittered is None) == (expected is None)
    assert (jittered or 5.0) >= (expected or 5.0)
