"""Parsing of the membership settings, the key file and the peers in the configuration."""

import json

import pytest
from play import SETTINGS

from lilacfront import config as configuration
from lilacfront.membership.settings import MembershipSettings, MembershipSettingsError, parse, parse_keys


def test_membership_is_off_with_an_empty_file() -> None:
    assert parse(b"") == MembershipSettings()
    assert not MembershipSettings().enabled


def test_file_keys_set_the_fields() -> None:
    settings = parse(
        b"[membership]\non = true\nperiod_s = 1.0\nanswer_s = 0.2\nhelpers = 4\nleast_s = 1.0\nmost_s = 5.0\n"
        b'bytes_per_s = 2000\nkeys = "file"\n'
        b"[membership.uses]\nturns = true\nbound = true\nallowances = true\ndoubts = true\n"
    )
    assert (
        settings.enabled,
        settings.probe_interval_s,
        settings.ack_timeout_s,
        settings.indirect_probes,
    ) == (
        True,
        1.0,
        0.2,
        4,
    )
    assert (settings.min_suspicion_s, settings.max_suspicion_s, settings.max_bytes_per_s) == (1.0, 5.0, 2000)
    assert settings.keys_path == "file"
    assert settings.uses.turns
    assert settings.uses.thread_limit
    assert settings.uses.quotas
    assert settings.uses.outliers


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (b"[membership]\nperiod_s = 0.0", "membership.period_s: 0.0 is not from"),
        (b"[membership]\nanswer_s = 0.5", "membership.answer_s: 0.5 is not below period_s"),
        (b"[membership]\nleast_s = 4.0", "membership.most_s: 3.0 is below least_s, 4.0"),
        (b"[membership]\nhlpers = 1", "hlpers"),
    ],
)
def test_error_names_the_key_in_the_file(text: bytes, expected: str) -> None:
    with pytest.raises(MembershipSettingsError, match=expected):
        parse(text)


def test_keys_are_in_the_order_of_the_file() -> None:
    keys = parse_keys(b"# new\n4 " + b"ab" * 16 + b"\n3 " + b"cd" * 32)
    assert keys == {4: b"\xab" * 16, 3: b"\xcd" * 32}
    assert list(keys) == [4, 3]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (b"4 ab", "line 1: a key has"),
        (b"\n4 xy", "line 2: the key is not"),
        (b"", "no key"),
    ],
)
def test_key_file_error_names_the_line_and_contains_no_key(text: bytes, expected: str) -> None:
    with pytest.raises(MembershipSettingsError, match=expected) as problem:
        parse_keys(text)
    assert "xy" not in str(problem.value)


@pytest.mark.parametrize(
    ("peers", "location"),
    [(["1.1.1.1:5", "nonsense"], "peers.1."), (["1.1.1.1:5", "1.1.1.1:6", "1.1.1.1:5"], "peers.0.")],
)
def test_error_names_the_invalid_peer(peers: list[str], location: str) -> None:
    file = {"listen": "127.0.0.1:0", "seed": "a1", "settings": SETTINGS, "peers": peers}
    with pytest.raises(configuration.ConfigError, match=location):
        configuration.parse(json.dumps(file).encode(), {})
