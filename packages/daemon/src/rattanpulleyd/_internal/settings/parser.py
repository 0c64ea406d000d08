"""Strict parser of the settings file.

Every fault is reported with the JSON path of the value. Unknown fields are
refused, because a misspelled field would otherwise silently have no effect.
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
    """Reads a settings file.

    Args:
        path: The file.

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
    """Converts the decoded JSON value.

    Args:
        value: The decoded file.

    Raises:
        exceptions.SettingsError: The value is not valid.
    """
    fields = _Fields(value, "$")
    settings = model.Settings(
        name=fields.take("name", _name),
        failure_domain=fields.take("failure_domain", _name),
        listen=fields.take("listen", _address),
        platform=fields.take("platform", _platform),
        statsd=fields.take("statsd", _optional(_address)),
        resume_keys=fields.take("resume_keys", _some_keys),
        account_keys=fields.take("account_keys", _keys),
        peers=fields.take("peers", _optional(_peers)),
        log_level=fields.take("log_level", _log_level),
        target_choice=fields.take_or(
            "target_choice",
            _target_choice,
            model.TargetChoice.LEAST_OUTSTANDING,
        ),
    )
    fields.refuse_others()
    return settings


class _Fields:
    """Fields of one JSON object, each of which is taken once."""

    def __init__(self, value: Any, path: str) -> None:
        if not isinstance(value, dict):
            raise _fault(path, "is not an object", "write {...}")
        self._path = path
        self._values_by_name = dict(value)
        self._names: list[str] = []

    def take(self, name: str, convert: Callable[[Any, str], T]) -> T:
        """Returns a converted field."""
        path = f"{self._path}.{name}"
        self._names.append(name)
        if name not in self._values_by_name:
            raise _fault(path, "is missing", "add the field")
        return convert(self._values_by_name.pop(name), path)

    def take_or(
        self, name: str, convert: Callable[[Any, str], T], default: T
    ) -> T:
        """Returns a converted field, or the default when it is missing."""
        if name in self._values_by_name:
            return self.take(name, convert)
        self._names.append(name)
        return default

    def refuse_others(self) -> None:
        """Refuses the fields that were not taken."""
        for name in sorted(self._values_by_name):
            raise _fault(
                f"{self._path}.{name}",
                "is not a known field",
                "use one of " + ", ".join(self._names),
            )


def _fault(path: str, fault: str, hint: str) -> exceptions.SettingsError:
    """Returns the error for a JSON path."""
    return exceptions.SettingsError(path, fault, hint)


def _optional(
    convert: Callable[[Any, str], T],
) -> Callable[[Any, str], T | None]:
    """Returns a conversion that lets null pass."""

    def convert_unless_null(value: Any, path: str) -> T | None:
        return None if value is None else convert(value, path)

    return convert_unless_null


def _name(value: Any, path: str) -> str:
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        raise _fault(
            path,
            f"{value!r} is not a name",
            "use 1 to 64 letters, digits, dots, dashes and underscores",
        )
    return value


def _log_level(value: Any, path: str) -> str:
    if value not in LOG_LEVELS:
        raise _fault(
            path,
            f"{value!r} is not a log level",
            "use one of " + ", ".join(LOG_LEVELS),
        )
    return str(value)


def _target_choice(value: Any, path: str) -> model.TargetChoice:
    names = [choice.value for choice in model.TargetChoice]
    if value not in names:
        raise _fault(
            path,
            f"{value!r} is not a choice of targets",
            "use one of " + ", ".join(names),
        )
    return model.TargetChoice(value)


def _address(value: Any, path: str) -> model.Address:
    fields = _Fields(value, path)
    address = model.Address(
        host=fields.take("host", _ip_address), port=fields.take("port", _port)
    )
    fields.refuse_others()
    return address


def _ip_address(value: Any, path: str) -> str:
    try:
        return str(ipaddress.ip_address(value if type(value) is str else ""))
    except ValueError as error:
        raise _fault(
            path,
            f"{value!r} is not an IP address",
            "write a numeric address; names are not looked up",
        ) from error


def _port(value: Any, path: str) -> int:
    if type(value) is not int or not 0 < value < 65536:
        raise _fault(
            path, f"{value!r} is not a port", "use a number from 1 to 65535"
        )
    return int(value)


def _joined_address(value: Any, path: str) -> model.Address:
    """Converts "ADDRESS:PORT"."""
    host, colon, port = str(value).rpartition(":")
    if not isinstance(value, str) or not colon or not port.isdecimal():
        raise _fault(path, f"{value!r} is not an address", "use ADDRESS:PORT")
    bare_host = host.removeprefix("[").removesuffix("]")
    return model.Address(_ip_address(bare_host, path), _port(int(port), path))


def _platform(value: Any, path: str) -> model.Platform:
    fields = _Fields(value, path)
    platform = model.Platform(url=fields.take("url", _url))
    fields.refuse_others()
    return platform


def _url(value: Any, path: str) -> str:
    hint = "use http://ADDRESS:PORT"
    try:
        parts = urllib.parse.urlsplit(value if type(value) is str else "")
        port = parts.port
    except ValueError as error:
        raise _fault(path, f"{value!r} is not a URL", hint) from error
    rest = parts.path.strip("/") + parts.query + parts.fragment
    if parts.scheme != "http" or port is None or rest or parts.username:
        raise _fault(path, f"{value!r} is not a base URL", hint)
    _ip_address(parts.hostname, path)
    return str(value)


def _list(
    value: Any, path: str, convert: Callable[[Any, str], T]
) -> tuple[T, ...]:
    if not isinstance(value, list):
        raise _fault(path, "is not a list", "write [...]")
    return tuple(
        convert(item, f"{path}[{number}]") for number, item in enumerate(value)
    )


def _key(value: Any, path: str) -> bytes:
    # The message does not repeat the value, because it is a secret.
    hint = f"write at least {2 * MIN_KEY_BYTES} hex digits"
    try:
        key = bytes.fromhex(value if type(value) is str else "")
    except ValueError as error:
        raise _fault(path, "is not hex", hint) from error
    if len(key) < MIN_KEY_BYTES:
        raise _fault(path, "is too short", hint)
    return key


def _keys(value: Any, path: str) -> tuple[bytes, ...]:
    return _list(value, path, _key)


def _some_keys(value: Any, path: str) -> tuple[bytes, ...]:
    keys = _keys(value, path)
    if not keys:
        raise _fault(path, "is empty", "write at least one key")
    return keys


def _peers(value: Any, path: str) -> model.Peers:
    fields = _Fields(value, path)
    peers = model.Peers(
        listen=fields.take("listen", _address),
        addresses=fields.take(
            "addresses", lambda item, at: _list(item, at, _joined_address)
        ),
        keys=fields.take("keys", _some_keys),
    )
    fields.refuse_others()
    return peers
