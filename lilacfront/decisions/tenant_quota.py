"""Per-tenant quotas: one token bucket per tenant, filled at this gateway's share of the quota."""

from __future__ import annotations

import math

from lilacfront.decisions.events import RequestReceived
from lilacfront.decisions.state import RouterState

MAX_BURST_S = 2.0  # bucket size, in seconds of the tenant's rate
MIN_BUCKET_REQUESTS = 3.0
MAX_DEBT_REQUESTS = 1.0
US_PER_S = 1e6


class TenantQuotas:
    """The token buckets of all tenants."""

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._buckets = [(math.inf, 0) for _ in state.settings.tenants]  # tokens and their time

    def charge(self, received: RequestReceived) -> bool:
        """Charge a request to its tenant's quota and return whether the tenant is over its quota.

        Requests over the quota are not queued. They are still served if an engine has capacity, since the
        tenant's traffic may reach only a few gateways. Retries by the client are not charged.
        """
        tenant = received.tenant
        if tenant is None or tenant >= len(self._buckets):
            return False
        state = self._state
        rate = state.settings.tenants[tenant].requests_per_s / state.fleet_size.quota_divisor
        tokens, at_us = self._buckets[tenant]
        refilled = tokens + rate * (state.now_us - at_us) / US_PER_S
        tokens = min(max(MAX_BURST_S * rate, MIN_BUCKET_REQUESTS), refilled)
        if not received.is_client_retry:
            tokens = max(-MAX_DEBT_REQUESTS, tokens - 1.0)
        self._buckets[tenant] = tokens, state.now_us
        return tokens < 0
