"""Tests of the settings parser."""

import copy
import json
from typing import Any

import pytest

from rattanpulleyd import exceptions
from rattanpulleyd._internal.settings import model
from rattanpulleyd._internal.settings import parser

VALID: dict[str, Any] = {
    "name": "entry-1",
    "failure_domain": "north",
    "listen": {"host": "127.0.0.1", "port": 8000},
    "platform": {"url": "http://127.0.0.1:9000"},
    "statsd": {"host": "127.0.0.1", "port": 8125},
    "resume_keys": ["00112233445566778899aabbccddeeff"],
    "account_keys": [],
    "peers": {
        "listen": {"host": "127.0.0.1", "port": 8100},
        "addresses": ["127.0.0.1:8101"],
        "keys": ["ffeeddccbbaa99887766554433221100"],
    },
    "log_level": "INFO",
}


def _settings_with(path: list[str | int], value: Any) -> Any:
    settings = copy.deepcopy(VALID)
    container: Any = settings
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    return settings


def test_documented_example_is_valid() -> None:
    """Guards against a parser that rejects the documented example."""
    settings = parser.parse(json.loads(json.dumps(VALID)))
    assert settings.listen.port == 8000
    assert settings.resume_keys == (bytes(range(0, 256, 17)),)
    assert settings.peers is not None
    assert settings.peers.addresses[0].port == 8101


@pytest.mark.parametrize(
    ("path", "value", "error_path"),
    [
        (["name"], "", "$.name"),
        (["target_choice"], "random", "$.target_choice"),
        (["target_choice"], [], "$.target_choice"),
        (["name"], "a b", "$.name"),
        (["listen", "port"], 0, "$.listen.port"),
        (["listen", "port"], True, "$.listen.port"),
        (["listen", "prot"], 1, "$.listen.prot"),
        (["listen"], [], "$.listen"),
        (["statsd", "host"], "localhost", "$.statsd.host"),
        (["platform", "url"], "http://platform:9000", "$.platform.url"),
        (["platform", "url"], "http://127.0.0.1:9000/x", "$.platform.url"),
        (["platform", "url"], "http://127.0.0.1", "$.platform.url"),
        (["resume_keys"], [], "$.resume_keys"),
        (["resume_keys", 0], "0011", "$.resume_keys[0]"),
        (["account_keys"], ["zz"], "$.account_keys[0]"),
        (["peers", "addresses", 0], "127.0.0.1", "$.peers.addresses[0]"),
        (["log_level"], "LOUD", "$.log_level"),
        (["extra"], 1, "$.extra"),
    ],
)
def test_error_is_reported_with_its_path(
    path: list[str | int], value: Any, error_path: str
) -> None:
    """Guards against invalid values that are accepted or lack a path."""
    with pytest.raises(exceptions.SettingsError) as caught:
        parser.parse(_settings_with(path, value))
    assert caught.value.path == error_path
    assert caught.value.hint


def test_missing_field_is_reported() -> None:
    """Guards against implicit defaults for required fields."""
    settings = copy.deepcopy(VALID)
    del settings["peers"]
    with pytest.raises(exceptions.SettingsError, match=r"\$\.peers"):
        parser.parse(settings)


def test_message_does_not_show_keys() -> None:
    """Guards against secrets in error messages."""
    with pytest.raises(exceptions.SettingsError) as caught:
        parser.parse(_settings_with(["resume_keys", 0], "secret-text"))
    assert "secret-text" not in str(caught.value)


def test_target_choice_is_optional() -> None:
    """Guards against rejecting settings files without the newer field."""
    choices = model.TargetChoice
    assert parser.parse(VALID).target_choice is choices.LEAST_OUTSTANDING
    changed = _settings_with(["target_choice"], "expected_cost")
    assert parser.parse(changed).target_choice is choices.EXPECTED_COST
