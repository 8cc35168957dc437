"""Parsers for addresses of the form `HOST:PORT` in settings."""

from __future__ import annotations

from lilacfront.config.model import Address, ConfigError
from lilacfront.discovery.endpoint_list import EndpointListError, parse_address


def parse_address_setting(text: str, key: str, min_port: int = 1) -> Address:
    """Parse the address that is the value of a key.

    Raises:
        ConfigError: The text is not HOST:PORT, or the port is below `min_port`.
    """
    try:
        return parse_address(text, min_port)
    except EndpointListError as error:
        raise ConfigError(key, error) from error


def parse_peer_addresses(addresses: list[str]) -> tuple[Address, ...]:
    """Parse the addresses of the peers, which must be unique.

    Raises:
        ConfigError: An address is invalid or listed more than once.
    """
    first_index: dict[Address, int] = {}
    repeated: set[Address] = set()
    parsed = []
    for index, text in enumerate(addresses):
        address = parse_address_setting(text, f"peers[{index}]")
        parsed.append(address)
        if address in first_index:
            repeated.add(address)
        first_index.setdefault(address, index)
    if repeated:
        host, port = min(repeated)
        raise ConfigError(f"peers[{first_index[host, port]}]", f"{host}:{port} is listed more than once")
    return tuple(parsed)
