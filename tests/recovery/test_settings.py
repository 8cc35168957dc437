"""Parsing of the recovery settings file."""

import pytest

from lilacfront.recovery.settings import RecoverySettingsError, parse


@pytest.mark.parametrize(
    ("text", "key"),
    [
        (b"[recovery]\nwindow_s = 0", "recovery.window_s"),
        (b"[recovery]\nconfirm_s = 9999.0", "recovery.confirm_s"),
        (b"[recovery]\nfile_mb = 0", "recovery.file_mb"),
        (b"[recovery]\ndirectroy = 'x'", "directroy"),
    ],
)
def test_invalid_setting_is_an_error_that_names_the_key(text: bytes, key: str) -> None:
    with pytest.raises(RecoverySettingsError, match=key):
        parse(text)


def test_recovery_is_off_by_default() -> None:
    assert not parse(b"").enabled


def test_a_directory_turns_recovery_on() -> None:
    assert parse(b"[recovery]\ndirectory = '/x'").enabled


def test_every_key_of_the_file_is_read() -> None:
    text = b"""
        [recovery]
        directory = "/x"
        site = "colombo"
        window_s = 0.5
        file_mb = 9
        recall_s = 3.0
        confirm_s = 11.0
        reads_s = 4.0
        reports_s = 5.0
        renumbered_s = 12.0
    """
    settings = parse(text)
    assert (settings.directory, settings.site) == ("/x", "colombo")
    assert (settings.write_window_s, settings.max_journal_mb) == (0.5, 9)
    assert (settings.restore_timeout_s, settings.confirm_timeout_s) == (3.0, 11.0)
    assert (settings.short_reads_stage_s, settings.idempotent_stage_s) == (4.0, 5.0)
    assert settings.renumbering_wait_s == 12.0
