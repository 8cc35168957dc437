"""Reading of the policy settings from JSON."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest
from helpers import STEP_TIMER

from lilacfront.decisions.actions import Forward
from lilacfront.decisions.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointState,
    ListScope,
    RequestReceived,
    TimerFired,
)
from lilacfront.decisions.router import RequestRouter
from lilacfront.decisions.settings_file import PolicySettingsError, parse_settings

SETTINGS: dict[str, Any] = {
    "classes": [{"aim": 1_000_000, "deadline": 5_000_000, "effect": "free", "worth": 1.0, "unheard-of": 1}],
    "kinds": ["any"],
    "extra": {"cpu-of-kind": [8]},
    "instances": 2,
}


def test_unknown_keys_are_ignored_and_absent_ones_mean_off() -> None:
    parsed, fields = parse_settings(json.dumps(SETTINGS))
    assert parsed.rules.overload_factor is None
    assert parsed.rules.retry_budget_window_us is None
    assert not parsed.limits.may_cancel
    assert parsed.classes[0].threads == 1
    assert fields == ()


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"classes": [{"deadline": 1}]}, "aim"),
        ({"classes": [{"aim": -9, "deadline": 1}]}, "aim"),
        ({"classes": [{"aim": "9", "deadline": 1}]}, "aim"),
        ({"classes": [{"aim": True, "deadline": 1}]}, "aim"),
        ({"classes": [{"aim": 1, "deadline": 0}]}, "deadline"),
        ({"classes": [{"aim": 1}]}, "deadline"),
        ({"classes": [{"aim": 1, "deadline": 1, "effect": "odd"}]}, "effect"),
        ({"classes": [{"aim": 1, "deadline": 1, "effect": ["free"]}]}, "effect"),
        ({"classes": [{"aim": 1, "deadline": 1, "group": "none"}]}, "group"),
        ({"classes": [{"aim": 1, "deadline": 1, "repeat-window": -1}]}, "repeat-window"),
        ({"classes": [{"aim": 1, "deadline": 1, "worth": "much"}]}, "worth"),
        ({"classes": [{"aim": 1, "deadline": 1, "stays-in": ["nowhere"]}]}, "stays-in"),
        ({"classes": [7]}, r"classes\[0\]"),
        ({"classes": {}}, "classes"),
        ({"extra": [1]}, "extra"),
        ({"extra": {"cpu-of-kind": [0]}}, "cpu-of-kind"),
        ({"extra": {"cpu-of-kind": ["8"]}}, "cpu-of-kind"),
        ({"extra": {"cpu-of-kind": [8], "threads-by-class": [0]}}, "threads-by-class"),
        ({"extra": {"cpu-of-kind": [8], "progress": -1}}, "progress"),
        ({"extra": {"cpu-of-kind": [8], "out-of-memory": "swap"}}, "out-of-memory"),
        ({"policy-limits": {"most-tries": 0}}, "most-tries"),
        ({"policy-limits": {"most-held": 0}}, "most-held"),
        ({"policy-limits": {"cancel": "yes"}}, "cancel"),
        ({"policy-limits": {"max-retry-after": -5}}, "max-retry-after"),
        ({"safety": 3}, "safety"),
        ({"safety": {"overload-factor": 2, "fall": 1, "warm-after": 1, "cold-share": 1.5}}, "cold-share"),
        ({"safety": {"stop-sending-within": -1}}, "stop-sending-within"),
        ({"penalties": {"cross-zone": None, "peer": "low"}}, "peer"),
        ({"orgs": [{"name": "a"}]}, r"orgs\[0\].allowance-per-s"),
        ({"stats": {"fields": 4}}, "fields"),
        ({"zones": "hall"}, "zones"),
        ({"tick": -1}, "tick"),
        ({"instances": 1e400}, "instances"),
        ({"safety": {"free-resends": 2}}, "budget-span"),
        ({"safety": {"overload-factor": 2}}, "fall"),
        ({"instances": 0}, "instances"),
        ({"kinds": ["a", "b"]}, "cpu-of-kind"),
    ],
)
def test_an_error_names_the_key_of_an_invalid_setting(change: dict[str, Any], key: str) -> None:
    with pytest.raises(PolicySettingsError, match=key):
        parse_settings(json.dumps(SETTINGS | change))


@pytest.mark.parametrize(
    "change",
    [
        # An objective may exceed the deadline.
        {"classes": [{"aim": 9, "deadline": 5, "effect": "guarded", "repeat-window": 0}]},
        {"classes": [{"aim": 0, "deadline": 5, "worth": 0, "late-worth": None, "aim-stretch": 0}]},
        {"classes": [{"aim": 5, "deadline": 5, "stays-in": ["b"], "kinds-only": [0]}], "zones": ["a", "b"]},
        {"safety": {"overload-factor": 0, "fall": 0, "warm-after": 0, "cold-share": 0}},
        {"safety": {"answer-slack": 0, "budget-span": 0, "free-resends": 0, "extra-ratio": 0}},
        {"extra": {"cpu-of-kind": [0.5], "progress": 0, "most-grant": 0}, "tick": 0, "instances": 230},
        {"extra": None, "safety": None, "penalties": None, "policy-limits": None, "orgs": None},
        {"policy-limits": {"max-retry-after": 0, "retry-after": True, "cpu-us-per-request": 0.0}},
        {"orgs": [{"allowance-per-s": 0}], "over-share-worth": 0, "slot-no": 0, "zone": 0},
    ],
)
def test_requests_are_served_with_zero_and_absent_values(
    change: dict[str, Any],
) -> None:
    """A zero must not lead to a division by zero anywhere on the path of a request."""
    parsed, _ = parse_settings(json.dumps(SETTINGS | change))
    for gateway_count in (1, 200):
        router = RequestRouter(replace(parsed, gateway_count=gateway_count), 7)
        entries = [Endpoint(n, EndpointState.READY, 0 if n < 3 else 10_000_000, 0, 0, 1) for n in range(1, 5)]
        router.handle(10_000_000, EndpointList(ListScope.SNAPSHOT, tuple(entries)))
        served = 0
        for n in range(20):
            now = 10_000_000 + 100_000 * n
            for action in router.handle(now, RequestReceived(n, 0, 5, n)):
                if isinstance(action, Forward):
                    router.may_begin(now, n)
                    router.handle(now + 1, AttemptEnded(n, 0, action.engine, AttemptResult.OK, 1, True))
                    served += 1
            router.handle(now + 50_000, TimerFired(STEP_TIMER))
        assert served


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("nonsense", "JSON"),
        ("{}", "classes"),
        ('{"classes": [{"aim": -5, "deadline": 2}]}', "aim"),
        ('{"classes": [{"aim": 1, "deadline": 2}], "instances": 0}', "instances"),
        ('{"classes": [{"aim": 1, "deadline": 2}], "safety": {"extra-ratio": 0.1}}', "budget-span"),
    ],
)
def test_an_error_names_the_cause_in_the_whole_file(text: str, expected: str) -> None:
    with pytest.raises(PolicySettingsError, match=expected):
        parse_settings(text)
