"""Reads experiments from TOML files."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from lilacfront.errors import LilacfrontError
from lilacfront.load import plan as plans
from lilacfront.load.phases import PlanError
from lilacfront.teams.settings import TeamsSettings, TeamsSettingsError
from lilacfront.teams.settings_file import parse_teams

Positive = Annotated[float, Meta(gt=0)]


class ExperimentError(LilacfrontError, ValueError):
    """An invalid experiment; the message names the file and the key."""


class ClassEntry(
    msgspec.Struct,
    forbid_unknown_fields=True,
    rename={"latency_objective_s": "aim_s", "idempotency": "effect", "priority_weight": "worth"},
):
    """[[class]]: the cost of the class's requests, and their latency objective and deadline.

    Execution times are log-normal with the median `median_s` and the shape `sigma`.
    """

    name: str
    threads: Annotated[int, Meta(ge=1)]
    median_s: Positive
    sigma: Annotated[float, Meta(ge=0, le=3)]
    latency_objective_s: Positive
    deadline_s: Positive
    idempotency: Literal["safe", "unsafe"] = "safe"
    priority_weight: Positive = 1.0


class EngineEntry(msgspec.Struct, forbid_unknown_fields=True):
    """[[engine]]: a simulated engine."""

    name: str
    cores: Positive = 12.0


class FaultEntry(msgspec.Struct, forbid_unknown_fields=True):
    """[[trouble]]: a fault of an engine, from `at_s` on, for `seconds`.

    During the fault the engine runs at `speed` times its normal speed; at speed 0 it is down.
    """

    engine: str
    at_s: Annotated[float, Meta(ge=0)]
    seconds: Positive
    speed: Annotated[float, Meta(ge=0, le=1)]


class ExperimentFile(
    msgspec.Struct,
    forbid_unknown_fields=True,
    rename={"classes": "class", "engines": "engine", "faults": "trouble"},
):
    """The content of an experiment file; `plans` and `teams` name files relative to its directory."""

    classes: Annotated[list[ClassEntry], Meta(min_length=1)]
    engines: Annotated[list[EngineEntry], Meta(min_length=1)]
    plans: Annotated[list[str], Meta(min_length=1)]  # run concurrently
    teams: str
    seed: Annotated[int, Meta(ge=0)] = 0
    faults: list[FaultEntry] = []


@dataclass(slots=True)
class Experiment:
    """An experiment with the files that it names.

    Attributes:
        file: The decoded experiment file.
        plans: The load plans.
        teams: The settings of the teams.
        folder: The directory of the files.
    """

    file: ExperimentFile
    plans: list[plans.Plan]
    teams: TeamsSettings
    folder: Path

    @property
    def class_names(self) -> list[str]:
        """The names of the request classes, ordered by class index."""
        return [entry.name for entry in self.file.classes]


def load(path: Path) -> Experiment:
    """Reads an experiment with the plans and teams that it names.

    Raises:
        ExperimentError: A file is missing or invalid.
    """
    try:
        file = msgspec.toml.decode(path.read_bytes(), type=ExperimentFile)
        class_names = [entry.name for entry in file.classes]
        teams = parse_teams((path.parent / file.teams).read_bytes(), class_names)
        loaded = [plans.parse((path.parent / name).read_bytes(), path.parent) for name in file.plans]
    except (msgspec.MsgspecError, TeamsSettingsError, PlanError, OSError) as error:
        raise ExperimentError(f"{path}: {error}") from None
    if teams is None:
        raise ExperimentError(f"{path}: teams: {file.teams} defines no teams")
    experiment = Experiment(file, loaded, teams, path.parent)
    _check_names(path, experiment)
    return experiment


def _check_names(path: Path, experiment: Experiment) -> None:
    """Checks that faults name listed engines and mix entries name listed classes."""
    engines = {entry.name for entry in experiment.file.engines}
    for n, fault in enumerate(experiment.file.faults):
        if fault.engine not in engines:
            raise ExperimentError(f"{path}: trouble[{n}].engine: {fault.engine!r} is not a listed engine")
    for k, plan in enumerate(experiment.plans):
        for n, entry in enumerate(plan.mix):
            if entry.class_name not in experiment.class_names:
                raise ExperimentError(
                    f"{path}: plans[{k}]: mix[{n}].class: {entry.class_name!r} is not a listed class"
                )
