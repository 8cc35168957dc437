"""Loading the platform file and the gateway file."""

from __future__ import annotations

from pathlib import Path

import pytest
from config_builders import config_text, policy_settings
from play import GATEWAY, SETTINGS

from lilacfront import config as configuration

SHIPPED_GATEWAY_FILE = Path(__file__).parent.parent.parent / "deploy" / "clickhouse.toml"


@pytest.mark.parametrize(
    ("text", "gateway", "key"),
    [
        (b"{", "", "PROXY_CONFIG"),
        (b"{}", "", "listen"),
        (config_text(listen="nowhere"), "", "listen"),
        (config_text(changelog="x:y"), "", "changelog"),
        (config_text(seed="zz"), "", "seed"),
        (config_text(limits={"sockets": "many"}), "", "limits.sockets"),
        (config_text(settings={**SETTINGS, "classes": []}), "", "classes"),
        (config_text(settings=policy_settings("streams-per-conn", 0)), "", "streams-per-conn"),
        (config_text(known={"results": [{"seq": "x"}]}), "", "known.results[0].seq"),
        (config_text(), "[clickhouse]\nport = 1", "port"),
        (config_text(), GATEWAY.replace('"report"', '"load"'), "clickhouse.read_class"),
        (config_text(), GATEWAY.replace('"load"', '"lookup"'), "clickhouse.load_class"),
        (config_text(), GATEWAY.replace('user = "dash"', 'pattern = "("'), "clickhouse.rules[0].pattern"),
        (config_text(), GATEWAY.replace('protocol = "clickhouse"', ""), "warehouses.protocol"),
        (config_text(), '[etcd]\nendpoints = ["http"]', "etcd.endpoints[0]"),
    ],
)
def test_error_names_the_invalid_key(text: bytes, gateway: str, key: str) -> None:
    with pytest.raises(configuration.ConfigError) as caught:
        configuration.parse(text, {}, gateway.encode())
    assert key in str(caught.value)


def test_shipped_gateway_file_turns_nothing_on() -> None:
    gateway = configuration.parse(config_text(), {}, SHIPPED_GATEWAY_FILE.read_bytes()).gateway
    assert gateway.clickhouse is None
    assert gateway.upstream_protocol == "resp"
    assert not gateway.etcd_endpoints


def test_shipped_gateway_file_is_valid_when_uncommented() -> None:
    commented = SHIPPED_GATEWAY_FILE.read_text().splitlines()[3:]
    lines = [line.removeprefix("# ") for line in commented if line.startswith("# ")]
    gateway = configuration.parse(config_text(), {}, "\n".join(lines).encode()).gateway
    assert gateway.clickhouse is not None
    assert gateway.clickhouse.listen_address == ("127.0.0.1", 8123)
    assert gateway.etcd_endpoints
