"""Validated fault settings of the stand-ins."""

from collections.abc import Callable, Mapping
from typing import Any

from rattanpulley_standins._internal import serving

Check = Callable[[Any], bool]


def is_flag(value: Any) -> bool:
    """Returns whether the value is a boolean."""
    return isinstance(value, bool)


def is_count(value: Any) -> bool:
    """Returns whether the value is a non-negative integer."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def is_number(value: Any) -> bool:
    """Returns whether the value is a finite, non-negative number."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return 0 <= value < float("inf")


def is_factor(value: Any) -> bool:
    """Returns whether the value is a finite number of at least 1."""
    return is_number(value) and value >= 1


def is_text(value: Any) -> bool:
    """Returns whether the value is a non-empty string."""
    return isinstance(value, str) and value != ""


class Faults:
    """Fault settings by name; None means that a fault is off.

    Args:
        checks_by_name: Validator of each fault's value.
    """

    def __init__(self, checks_by_name: Mapping[str, Check]) -> None:
        self._checks_by_name = dict(checks_by_name)
        self._values_by_name: dict[str, Any] = dict.fromkeys(checks_by_name)

    def update(self, values_by_name: Mapping[str, Any]) -> None:
        """Sets the named faults; None turns one off.

        Raises:
            serving.RequestError: A name or a value is not valid; status 422.
                No fault is changed.
        """
        for name, value in values_by_name.items():
            check = self._checks_by_name.get(name)
            if check is None:
                known = ", ".join(sorted(self._checks_by_name))
                raise serving.RequestError(
                    422, f"unknown fault {name}; known faults: {known}"
                )
            if value is not None and not check(value):
                raise serving.RequestError(
                    422, f"the value of {name} is not valid: {value!r}"
                )
        self._values_by_name.update(values_by_name)

    def get(self, name: str) -> Any:
        """Returns the value of a fault, or None when it is off."""
        return self._values_by_name[name]

    def clear(self, name: str) -> None:
        """Turns a fault off."""
        self._values_by_name[name] = None

    def consume_one(self, name: str) -> bool:
        """Decrements a counted fault; returns whether it was above 0."""
        count = self._values_by_name[name]
        if not count:
            return False
        self._values_by_name[name] = count - 1
        return True

    def as_json(self) -> dict[str, Any]:
        """Returns the values of all faults by name."""
        return dict(self._values_by_name)
