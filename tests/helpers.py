"""Builders for the tests: a small fleet, classes, and a gateway that has seen its list."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from lilacfront import interface as i
from lilacfront.rules import Gateway

SHORT = i.ClassSpec(aim_us=1_000_000, deadline_us=5_000_000, worth=1.0, threads=1, effect=i.Effect.SAFE)
LONG = i.ClassSpec(aim_us=3_000_000, deadline_us=20_000_000, worth=4.0, threads=2, effect=i.Effect.SAFE)
KEYED = replace(LONG, effect=i.Effect.KEYED, repeat_window_us=5_000_000)
UNSAFE = replace(LONG, effect=i.Effect.UNSAFE)
LIMITS = i.Limits(most_tries=4, cancel=True)
RULES = i.Rules(answer_slack_us=20_000, drain_within_us=1_000_000)


def settings(*classes: i.ClassSpec, **changes: Any) -> i.Settings:
    plain = i.Settings(
        classes=classes or (SHORT,), kind_cores=(8.0, 8.0), limits=LIMITS, rules=RULES, tick_us=5_000
    )
    return replace(plain, **changes)


def entries(count: int, **changes: Any) -> tuple[i.EngineEntry, ...]:
    return tuple(replace(i.EngineEntry(n + 1, i.Condition.READY), **changes) for n in range(count))


def gateway(config: i.Settings, fleet: tuple[i.EngineEntry, ...], now: int = 0) -> Gateway:
    made = Gateway(config, 7)
    made.handle(now, i.EngineList(i.ListScope.FULL, fleet))
    return made


def sends(actions: list[i.Action]) -> list[i.Send]:
    return [a for a in actions if isinstance(a, i.Send)]


def finals(actions: list[i.Action]) -> list[i.Refuse | i.Fail]:
    return [a for a in actions if isinstance(a, i.Refuse | i.Fail)]


def ask(gate: Gateway, now: int, request: int, **changes: Any) -> list[i.Action]:
    plain = i.Request(request, 0, 5_000_000)
    return gate.handle(now, replace(plain, **changes))


def ended(
    gate: Gateway, now: int, send: i.Send, result: i.Result, attempt: int = 0, **more: Any
) -> list[i.Action]:
    final = result is i.Result.OK
    return gate.handle(now, i.Outcome(send.request, attempt, send.engine, result, 0, final, **more))
