"""The log's rate limit."""

from __future__ import annotations

import logging

from lilacfront.logs import RateLimitFilter


def test_rate_limit_drops_lines_and_reports_their_number() -> None:
    rate_limit = RateLimitFilter(max_lines=2, period_s=10)

    def log_at(created: float) -> logging.LogRecord | None:
        record = logging.LogRecord("a", logging.WARNING, "", 0, "text", (), None)
        record.created = created
        return record if rate_limit.filter(record) else None

    assert [log_at(created) is not None for created in (1, 2, 3, 4)] == [True, True, False, False]
    first_of_next_period = log_at(11.5)
    assert first_of_next_period is not None
    assert first_of_next_period.__dict__["fields"] == {"lines_left_out": 2}
