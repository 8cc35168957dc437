"""Settings of the membership, from `deploy/peers.toml`, and the keys that authenticate its datagrams.

Membership is off if there is no file, and in the file as shipped. The `name` of a field is its key in the
file, where that differs from the name of the attribute.
"""

from __future__ import annotations

import msgspec
from msgspec import field

from lilacfront.errors import SettingsError

MAX_KEY_ID = 255
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64


class MembershipSettingsError(SettingsError):
    """A settings file or key file is invalid; the text names the key or the line of the file."""


class MembershipUses(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """[membership.uses]: which decisions use the membership; each can be turned on separately.

    Attributes:
        turns: Divide shares and turns on warming engines by the number of live front ends.
        thread_limit: Divide the limit on threads at all engines by that number.
        quotas: Divide the quotas of tenants by that number.
        outliers: Send an engine that other front ends report as an outlier only one short read until it
            responds.
    """

    turns: bool = False
    thread_limit: bool = field(default=False, name="bound")
    quotas: bool = field(default=False, name="allowances")
    outliers: bool = field(default=False, name="doubts")


class MembershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """[membership]: the probe interval, timeouts and limits; all times are in seconds.

    Attributes:
        enabled: Whether this front end takes part in the membership.
        probe_interval_s: Time between two probes.
        ack_timeout_s: Timeout of a direct ping, after which other members are asked to ping the target.
        indirect_probes: Number of other members that are asked.
        min_suspicion_s: Time a suspect has to refute if it has four accusers or more.
        max_suspicion_s: Time a suspect has to refute if it has one accuser.
        max_bytes_per_s: Rate limit of sent datagrams, including IP and UDP headers.
        keys_path: File with lines `NUMBER HEX`. Messages are tagged with the first key, and accepted with a
            tag of any of the keys.
        uses: Which decisions use the membership.
    """

    enabled: bool = field(default=False, name="on")
    probe_interval_s: float = field(default=0.4, name="period_s")
    ack_timeout_s: float = field(default=0.15, name="answer_s")
    indirect_probes: int = field(default=3, name="helpers")
    min_suspicion_s: float = field(default=2.0, name="least_s")
    max_suspicion_s: float = field(default=3.0, name="most_s")
    max_bytes_per_s: int = field(default=1900, name="bytes_per_s")
    keys_path: str = field(default="", name="keys")
    uses: MembershipUses = MembershipUses()


class MembershipFile(msgspec.Struct, forbid_unknown_fields=True):
    """Contents of `peers.toml`."""

    membership: MembershipSettings = MembershipSettings()


RANGES: dict[str, tuple[float, float]] = {  # (minimum, maximum) by attribute name
    "probe_interval_s": (0.05, 60.0),
    "ack_timeout_s": (0.01, 30.0),
    "indirect_probes": (0, 16),
    "min_suspicion_s": (0.1, 600.0),
    "max_suspicion_s": (0.1, 600.0),
    "max_bytes_per_s": (300, 1 << 20),
}
FILE_KEYS = {entry.name: entry.encode_name for entry in msgspec.structs.fields(MembershipSettings)}


def parse(text: bytes) -> MembershipSettings:
    """Parse and validate the settings file.

    Raises:
        MembershipSettingsError: The text can't be parsed, or a value is out of range.
    """
    try:
        settings = msgspec.toml.decode(text, type=MembershipFile).membership
    except (msgspec.MsgspecError, ValueError) as problem:
        raise MembershipSettingsError("", problem) from problem
    for name, (minimum, maximum) in RANGES.items():
        value = getattr(settings, name)
        if not minimum <= value <= maximum:
            raise _error(name, f"{value} is not from {minimum} to {maximum}")
    if settings.ack_timeout_s >= settings.probe_interval_s:
        limit = f"{FILE_KEYS['probe_interval_s']}, {settings.probe_interval_s}"
        raise _error("ack_timeout_s", f"{settings.ack_timeout_s} is not below {limit}")
    if settings.max_suspicion_s < settings.min_suspicion_s:
        limit = f"{FILE_KEYS['min_suspicion_s']}, {settings.min_suspicion_s}"
        raise _error("max_suspicion_s", f"{settings.max_suspicion_s} is below {limit}")
    return settings


def _error(field_name: str, problem: str) -> MembershipSettingsError:
    return MembershipSettingsError(f"membership.{FILE_KEYS[field_name]}", problem)


def parse_keys(text: bytes) -> dict[int, bytes]:
    """Parse the key file; returns the keys by their numbers, in the order of the file.

    Raises:
        MembershipSettingsError: A line is invalid, a number is repeated or there is no key. The text never
            contains any part of a key.
    """
    keys: dict[int, bytes] = {}
    for number, line in enumerate(text.splitlines(), 1):
        words = line.split()
        if not words or words[0].startswith(b"#"):
            continue
        key_id, secret = _parse_key(f"line {number}", words)
        if key_id in keys:
            raise MembershipSettingsError(
                f"line {number}", f"key number {key_id} is used on an earlier line, too"
            )
        keys[key_id] = secret
    if not keys:
        raise MembershipSettingsError("", "the file contains no key")
    return keys


def _parse_key(location: str, words: list[bytes]) -> tuple[int, bytes]:
    if len(words) != 2 or not words[0].isdigit() or int(words[0]) > MAX_KEY_ID:
        raise MembershipSettingsError(
            location, f"expected a number from 0 to {MAX_KEY_ID} and a hexadecimal key"
        )
    try:
        secret = bytes.fromhex(words[1].decode("ascii"))
    except ValueError:
        raise MembershipSettingsError(location, "the key is not hexadecimal") from None
    if not MIN_KEY_BYTES <= len(secret) <= MAX_KEY_BYTES:
        raise MembershipSettingsError(location, f"a key has {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes")
    return int(words[0]), secret
