"""Runs the timers of the router and of the team scheduler."""

from __future__ import annotations

from lilacfront.core.action_executor import ActionExecutor
from lilacfront.core.team_admission import TeamAdmission
from lilacfront.core.timers import Timers
from lilacfront.decisions.events import TimerFired
from lilacfront.logs import Log
from lilacfront.sched import Task

log = Log(__name__)


class TimerRunner:
    """Fires due timers from a task that waits for the next one."""

    def __init__(
        self, timers: Timers, executor: ActionExecutor, team_admission: TeamAdmission | None
    ) -> None:
        self._timers = timers
        self._executor = executor
        self._team_admission = team_admission

    def run_due_timers(self) -> float:
        """Fire all due timers; return the time of the next one, in seconds of the loop's clock."""
        now_us = self._executor.now_us
        while (token := self._timers.pop_due(now_us)) is not None:
            self._executor.handle(TimerFired(token))
        if self._team_admission is None:
            return self._timers.next_due()
        self._team_admission.tick_if_due()
        return min(self._team_admission.next_tick_at, self._timers.next_due())

    def run(self, task: Task) -> None:
        """Fire timers as they become due, until the task is interrupted."""
        self._timers.attach(task)
        due_at = 0.0
        while self._timers.wait(task, due_at):
            try:
                due_at = self.run_due_timers()
            except Exception:  # a timer that fails must not stop the others
                log.exception("timer failed")
                due_at = 0.0
