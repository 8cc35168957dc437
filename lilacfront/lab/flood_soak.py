"""A soak of front ends as real processes: random floods with signals, restarts and replacements.

`python -m lilacfront.lab.flood_soak FIRST_SEED LAST_SEED` plays the seeds and prints what they broke.
"""

from __future__ import annotations

import random
import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from lilacfront.lab.flood_clients import BEHAVIOURS
from lilacfront.lab.flood_run import COMMAND, Flood, FloodReport, run_floods, start_front_end
from lilacfront.lab.test_bed import FrontEndProcess, ProcessTestBed

MEMORY_MB = (64, 96, 128, 192)
MIN_MEMORY_FOR_TWO_MB = 192  # two idle processes take 60 MB
DESCRIPTORS = (1024, 4096)
ROUNDS = 2
ROUND_S = 3.0
SIGNALS_PER_ROUND = 3
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 0.6
STOP_S = 0.2  # for which a process is stopped
CLIENTS = (1, 20, 100, 300)
CLIENT_DEADLINE_S = 4.0
MAX_LOST_PER_KILL = 2  # a request in flight, and one on a connection that is not accepted yet
FAILURE_EVENTS = ("a task failed", "a call of the loop failed", "request failed unexpectedly")


@dataclass(slots=True)
class SoakResult:
    """What happened with one seed.

    Attributes:
        seed: The seed.
        plan: The settings and floods, as text.
        violations: What broke a rule.
    """

    seed: int
    plan: str = ""
    violations: list[str] = field(default_factory=list)


class Soak:
    """Plays one seed."""

    def __init__(self, test_bed: ProcessTestBed, seed: int) -> None:
        self._test_bed = test_bed
        self._random = random.Random(seed)
        self._memory_mb = self._random.choice(MEMORY_MB)
        self._descriptors = self._random.choice(DESCRIPTORS)
        self._with_http = self._random.random() < 0.4
        self._kills = 0
        self.result = SoakResult(seed)
        self._process = start_front_end(test_bed, self._memory_mb, self._descriptors, self._with_http)
        if self._random.random() < 0.3 and not self._with_http:
            test_bed.suspend_answers()

    def run(self) -> SoakResult:
        """Play all rounds; returns what broke a rule."""
        self.result.plan = f"{self._memory_mb} MB, {self._descriptors} descriptors:"
        for _ in range(ROUNDS):
            floods = self._choose_floods()
            self.result.plan += f" {' + '.join(f'{flood.kind}:{flood.clients}' for flood in floods)};"
            kills_before = self._kills
            report = run_floods(self._test_bed, self._process, floods, ROUND_S, self._disturb)
            self._check(report, self._kills - kills_before)
        self._check_processes()
        return self.result

    def _choose_floods(self) -> list[Flood]:
        kinds = [kind for kind in BEHAVIOURS if self._with_http or not kind.startswith("http")]
        count = self._random.randint(1, 3)
        return [Flood(kind, self._random.choice(CLIENTS)) for kind in self._random.sample(kinds, count)]

    def _disturb(self) -> None:
        for _ in range(SIGNALS_PER_ROUND):
            time.sleep(self._random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            self._random.choice((self._reload, self._stop, self._stop, self._kill, self._replace))()

    def _reload(self) -> None:
        self.result.plan += " SIGHUP"
        self._process.signal(signal.SIGHUP)

    def _stop(self) -> None:
        self.result.plan += " SIGSTOP"
        self._process.signal(signal.SIGSTOP)
        time.sleep(STOP_S)
        self._process.signal(signal.SIGCONT)

    def _kill(self) -> None:
        self.result.plan += " SIGKILL"
        self._kills += 1
        self._process.signal(signal.SIGKILL)
        self._process.wait_until_ended()
        self._check_log(self._process)
        self._process = start_front_end(self._test_bed, self._memory_mb, self._descriptors, self._with_http)

    def _replace(self) -> None:
        """Start a successor and end the process, where the memory allows two."""
        if self._memory_mb < MIN_MEMORY_FOR_TWO_MB or self._with_http:
            return
        self.result.plan += " replace"
        old = self._process
        self._process = self._test_bed.start(command=COMMAND)
        self._process.wait_until_ready()
        old.signal(signal.SIGTERM)
        if old.wait_until_ended():
            self.result.violations.append(f"a process ended with {old.popen.returncode} after SIGTERM")
        self._check_log(old)

    def _check(self, report: FloodReport, kills: int) -> None:
        violations = self.result.violations
        if report.peak_mb > self._memory_mb:
            violations.append(f"memory: {report}")
        if report.outcomes.get("lost", 0) > MAX_LOST_PER_KILL * kills:
            violations.append(f"lost with {kills} kills: {report}")
        if report.longest_s > CLIENT_DEADLINE_S + STOP_S and report.latencies_s and not kills:
            violations.append(f"late: {report}")

    def _check_processes(self) -> None:
        self._check_log(self._process)
        if self._process.popen.poll() is not None:
            self.result.violations.append(f"the process ended with {self._process.popen.returncode}")

    def _check_log(self, process: FrontEndProcess) -> None:
        for event in FAILURE_EVENTS:
            for line in process.logged(event):
                self.result.violations.append(f"log: {line}")


def play(seed: int) -> SoakResult:
    """Play one seed in a directory of its own."""
    with tempfile.TemporaryDirectory() as directory:
        test_bed = ProcessTestBed(Path(directory))
        try:
            return Soak(test_bed, seed).run()
        finally:
            test_bed.close()


def main() -> None:
    """Play a range of seeds; the exit code tells whether any broke a rule."""
    first, last = (int(argument) for argument in sys.argv[1:])
    broken = 0
    for seed in range(first, last + 1):
        result = play(seed)
        broken += bool(result.violations)
        print(f"seed {seed}: {'BROKEN' if result.violations else 'held'}: {result.plan}", flush=True)
        for violation in result.violations:
            print(f"  {violation}", flush=True)
    print(f"{last - first + 1} seeds, {broken} broken")
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
