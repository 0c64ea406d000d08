"""Strict parser of the settings file.

Every error is reported with the JSON path of the value. Unknown fields are
rejected, because a misspelled field would otherwise be ignored silently.
"""

from collections.abc import Callable
import ipaddress
import json
import pathlib
import re
from typing import Any, TypeVar
import urllib.parse

from rattanpulleyd import exceptions
from rattanpulleyd._internal.settings import model

T = TypeVar("T")

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
# Shorter keys can be guessed.
MIN_KEY_BYTES = 16
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")


def load(path: pathlib.Path) -> model.Settings:
    """Reads and parses a settings file.

    Args:
        path: Path of the file.

    Raises:
        exceptions.SettingsError: The file cannot be read or is not valid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(
            str(path), f"cannot be read: {error}", "check the path"
        ) from error
    try:
        value = json.loads(text)
    except ValueError as error:
        raise exceptions.SettingsError(
            str(path), f"is not JSON: {error}", "correct the syntax"
        ) from error
    return parse(value)


def parse(value: Any) -> model.Settings:
    """Parses the decoded JSON value of a settings file.

    Args:
        value: The decoded JSON value.

    Raises:
        exceptions.SettingsError: The value is not valid.
    """
    fields = _ObjectFields(value, "$")
    settings = model.Settings(
        name=fields.require("name", _name),
        failure_domain=fields.require("failure_domain", _name),
        listen=fields.require("listen", _address),
        platform=fields.require("platform", _platform),
        statsd=fields.require("statsd", _optional(_address)),
        resume_keys=fields.require("resume_keys", _nonempty_keys),
        account_keys=fields.require("account_keys", _keys),
        peers=fields.require("peers", _optional(_peers)),
        log_level=fields.require("log_level", _log_level),
        target_choice=fields.get_or_default(
            "target_choice",
            _target_choice,
            model.TargetChoice.LEAST_OUTSTANDING,
        ),
    )
    fields.reject_unknown()
    return settings


class _ObjectFields:
    """Converts the fields of one JSON object and tracks the unread ones."""

    def __init__(self, value: Any, path: str) -> None:
        if not isinstance(value, dict):
            raise _settings_error(path, "is not an object", "write {...}")
        self._path = path
        self._values_by_name = dict(value)
        self._names: list[str] = []

    def require(self, name: str, convert: Callable[[Any, str], T]) -> T:
        """Returns the converted value of a required field.

        Raises:
            exceptions.SettingsError: The field is missing or not valid.
        """
        path = f"{self._path}.{name}"
        self._names.append(name)
        if name not in self._values_by_name:
            raise _settings_error(path, "is missing", "add the field")
        return convert(self._values_by_name.pop(name), path)

    def get_or_default(
        self, name: str, convert: Callable[[Any, str], T], default: T
    ) -> T:
        """Returns the converted value of a field, or its default if missing."""
        if name in self._values_by_name:
            return self.require(name, convert)
        self._names.append(name)
        return default

    def reject_unknown(self) -> None:
        """Raises an error for the first field that was not read.

        Raises:
            exceptions.SettingsError: The object has an unknown field.
        """
        for name in sorted(self._values_by_name):
            raise _settings_error(
                f"{self._path}.{name}",
                "is not a known field",
                "use one of " + ", ".join(self._names),
            )


def _settings_error(
    path: str, problem: str, hint: str
) -> exceptions.SettingsError:
    """Returns the error for the value at a JSON path."""
    return exceptions.SettingsError(path, problem, hint)


def _optional(
    convert: Callable[[Any, str], T],
) -> Callable[[Any, str], T | None]:
    """Returns a converter that also accepts null, as None."""

    def convert_unless_null(value: Any, path: str) -> T | None:
        return None if value is None else convert(value, path)

    return convert_unless_null


def _name(value: Any, path: str) -> str:
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        raise _settings_error(
            path,
            f"{value!r} is not a name",
            "use 1 to 64 letters, digits, dots, dashes and underscores",
        )
    return value


def _log_level(value: Any, path: str) -> str:
    if value not in LOG_LEVELS:
        raise _settings_error(
            path,
            f"{value!r} is not a log level",
            "use one of " + ", ".join(LOG_LEVELS),
        )
    return str(value)


def _target_choice(value: Any, path: str) -> model.TargetChoice:
    names = [choice.value for choice in model.TargetChoice]
    if value not in names:
        raise _settings_error(
            path,
            f"{value!r} is not a choice of targets",
            "use one of " + ", ".join(names),
        )
    return model.TargetChoice(value)


def _address(value: Any, path: str) -> model.Address:
    fields = _ObjectFields(value, path)
    address = model.Address(
        host=fields.require("host", _ip_address),
        port=fields.require("port", _port),
    )
    fields.reject_unknown()
    return address


def _ip_address(value: Any, path: str) -> str:
    try:
        return str(ipaddress.ip_address(value if type(value) is str else ""))
    except ValueError as error:
        raise _settings_error(
            path,
            f"{value!r} is not an IP address",
            "write a numeric address; names are not looked up",
        ) from error


def _port(value: Any, path: str) -> int:
    if type(value) is not int or not 0 < value < 65536:
        raise _settings_error(
            path, f"{value!r} is not a port", "use a number from 1 to 65535"
        )
    return int(value)


def _address_string(value: Any, path: str) -> model.Address:
    """Converts a string of the form "ADDRESS:PORT"."""
    host, colon, port = str(value).rpartition(":")
    if not isinstance(value, str) or not colon or not port.isdecimal():
        raise _settings_error(
            path, f"{value!r} is not an address", "use ADDRESS:PORT"
        )
    bare_host = host.removeprefix("[").removesuffix("]")
    return model.Address(_ip_address(bare_host, path), _port(int(port), path))


def _platform(value: Any, path: str) -> model.Platform:
    fields = _ObjectFields(value, path)
    platform = model.Platform(url=fields.require("url", _url))
    fields.reject_unknown()
    return platform


def _url(value: Any, path: str) -> str:
    hint = "use http://ADDRESS:PORT"
    try:
        parts = urllib.parse.urlsplit(value if type(value) is str else "")
        port = parts.port
    except ValueError as error:
        raise _settings_error(path, f"{value!r} is not a URL", hint) from error
    rest = parts.path.strip("/") + parts.query + parts.fragment
    if parts.scheme != "http" or port is None or rest or parts.username:
        raise _settings_error(path, f"{value!r} is not a base URL", hint)
    _ip_address(parts.hostname, path)
    return str(value)


def _list(
    value: Any, path: str, convert: Callable[[Any, str], T]
) -> tuple[T, ...]:
    if not isinstance(value, list):
        raise _settings_error(path, "is not a list", "write [...]")
    return tuple(
        convert(item, f"{path}[{number}]") for number, item in enumerate(value)
    )


def _key(value: Any, path: str) -> bytes:
    # The error message omits the value because it is a secret.
    hint = f"write at least {2 * MIN_KEY_BYTES} hex digits"
    try:
        key = bytes.fromhex(value if type(value) is str else "")
    except ValueError as error:
        raise _settings_error(path, "is not hex", hint) from error
    if len(key) < MIN_KEY_BYTES:
        raise _settings_error(path, "is too short", hint)
    return key


def _keys(value: Any, path: str) -> tuple[bytes, ...]:
    return _list(value, path, _key)


def _nonempty_keys(value: Any, path: str) -> tuple[bytes, ...]:
    keys = _keys(value, path)
    if not keys:
        raise _settings_error(path, "is empty", "write at least one key")
    return keys


def _peers(value: Any, path: str) -> model.Peers:
    fields = _ObjectFields(value, path)
    peers = model.Peers(
        listen=fields.require("listen", _address),
        addresses=fields.require(
            "addresses", lambda item, at: _list(item, at, _address_string)
        ),
        keys=fields.require("keys", _nonempty_keys),
    )
    fields.reject_unknown()
    return peers
