"""The result that is reported to the router for each outcome of an attempt."""

from __future__ import annotations

import pytest

from lilacfront.core.attempt_results import attempt_result
from lilacfront.core.model import AttemptEnding, AttemptOutcome, DeliveryStage
from lilacfront.decisions.events import AttemptResult

NEVER_RAN_RESULTS = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NEVER_SENT)


@pytest.mark.parametrize("ending", list(AttemptEnding))
@pytest.mark.parametrize("stage", list(DeliveryStage))
def test_attempt_that_may_have_run_is_never_reported_as_never_run(
    ending: AttemptEnding, stage: DeliveryStage
) -> None:
    is_reported_as_never_run = attempt_result(AttemptOutcome(ending, stage)) in NEVER_RAN_RESULTS
    never_ran = stage <= DeliveryStage.CONNECTED or ending is AttemptEnding.REJECTED
    assert is_reported_as_never_run == never_ran


@pytest.mark.parametrize(
    ("ending", "stage", "result"),
    [
        (AttemptEnding.CONNECTION_LOST, DeliveryStage.CONNECTED, AttemptResult.NEVER_SENT),
        (AttemptEnding.CONNECTION_LOST, DeliveryStage.PARTLY_WRITTEN, AttemptResult.RESET),
        (AttemptEnding.CONNECT_FAILED, DeliveryStage.NOT_CONNECTED, AttemptResult.CONNECT_FAILED),
    ],
)
def test_lost_connection_counts_as_reset_only_after_a_byte_was_written(
    ending: AttemptEnding, stage: DeliveryStage, result: AttemptResult
) -> None:
    assert attempt_result(AttemptOutcome(ending, stage)) is result
