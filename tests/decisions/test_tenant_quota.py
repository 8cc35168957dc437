"""Per-tenant quotas."""

from __future__ import annotations

from helpers import (
    SECOND_US,
    SHORT,
    endpoints,
    final_answers,
    forwards,
    make_router,
    make_routers,
    policy_settings,
    receive_request,
)

from lilacfront.decisions.actions import Reject
from lilacfront.decisions.events import RequestReceived
from lilacfront.decisions.settings import TenantQuota


def test_requests_over_the_tenants_quota_are_not_queued() -> None:
    tenants = (TenantQuota(4.0), TenantQuota(400.0))
    router = make_router(policy_settings(tenants=tenants, over_quota_weight=0.05), endpoints(2))
    for n in range(48):
        assert forwards(receive_request(router, 0, n, tenant=1))
    answers = [final_answers(receive_request(router, 0, 100 + n, tenant=0)) for n in range(10)]
    assert answers == [[]] * 8 + [[Reject(108, 0)], [Reject(109, 0)]]
    assert final_answers(receive_request(router, 0, 200, tenant=1)) == []


def test_a_tenant_with_little_traffic_may_send_a_small_burst() -> None:
    router = make_routers(200, endpoints(40), SHORT, tenants=(TenantQuota(40.0),), over_quota_weight=0.05)[0]
    assert [router.quotas.charge(RequestReceived(n, 0, SECOND_US, tenant=0)) for n in range(4)] == [
        False,
        False,
        False,
        True,
    ]
