"""Settings of recovery from a power loss, read from `deploy/recovery.toml`. Off by default."""

from __future__ import annotations

from typing import Final

import msgspec
from msgspec import field

from lilacfront.errors import SettingsError


class RecoverySettingsError(SettingsError):
    """A recovery settings file that can't be used."""


class RecoverySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The table `[recovery]`; a field whose key differs declares the key with `name=`.

    Attributes:
        directory: Directory of the store, on a disk that survives a power loss; empty turns recovery off.
        site: Name of the site; journals of another site are ignored.
        write_window_s: Longest delay before a record is written; a power loss can lose the records of this
            time.
        max_journal_mb: Size of a journal in MiB above which a new generation is begun.
        restore_timeout_s: How long the start waits for the restore from the disk.
        confirm_timeout_s: How long the start waits for the change log to confirm the endpoint list.
        short_reads_stage_s: How long only short idempotent requests are served.
        idempotent_stage_s: How long after that all requests but loads are served; up to twice as long
            while a peer has a differing replica of this front end's directives.
        renumbering_wait_s: How long a change log must stay behind the restored list before it counts as
            renumbered.
    """

    directory: str = ""
    site: str = ""
    write_window_s: float = field(default=0.1, name="window_s")
    max_journal_mb: int = field(default=8, name="file_mb")
    restore_timeout_s: float = field(default=2.0, name="recall_s")
    confirm_timeout_s: float = field(default=10.0, name="confirm_s")
    short_reads_stage_s: float = field(default=3.0, name="reads_s")
    idempotent_stage_s: float = field(default=3.0, name="reports_s")
    renumbering_wait_s: float = field(default=10.0, name="renumbered_s")

    @property
    def enabled(self) -> bool:
        """Whether this front end has a store, and thus recovery."""
        return bool(self.directory)


class RecoveryFile(msgspec.Struct, forbid_unknown_fields=True):
    """The whole settings file."""

    recovery: RecoverySettings = RecoverySettings()


RANGES: Final = {
    "write_window_s": (0.01, 10.0),
    "max_journal_mb": (1, 1024),
    "restore_timeout_s": (0.1, 60.0),
    "confirm_timeout_s": (0.1, 600.0),
    "short_reads_stage_s": (0.0, 600.0),
    "idempotent_stage_s": (0.0, 600.0),
    "renumbering_wait_s": (2.0, 3600.0),
}
_KEYS: Final = {spec.name: spec.encode_name for spec in msgspec.structs.fields(RecoverySettings)}


def parse(text: bytes) -> RecoverySettings:
    """Decode and check a settings file.

    Raises:
        RecoverySettingsError: The file is not valid TOML, has an unknown key or a value out of its range.
    """
    try:
        settings = msgspec.toml.decode(text, type=RecoveryFile).recovery
    except (msgspec.MsgspecError, ValueError) as error:
        raise RecoverySettingsError("", error) from error
    for name, (minimum, maximum) in RANGES.items():
        value = getattr(settings, name)
        if not minimum <= value <= maximum:
            problem = f"{value} is not from {minimum} to {maximum}"
            raise RecoverySettingsError(f"recovery.{_KEYS[name]}", problem)
    return settings
