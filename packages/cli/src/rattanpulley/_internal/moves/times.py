"""Parsing and formatting of dates and durations."""

import datetime
import re

from rattanpulley import exceptions

_DURATION_PATTERN = re.compile(r"\+(\d+)([smhd])")
_SECONDS_BY_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86400}


def parse_time(text: str, now_s: float, sign: int = 1) -> float:
    """Returns a date or duration as Unix seconds.

    Args:
        text: An ISO 8601 date with a UTC offset, or a duration such as `+4h`.
        now_s: Wall time that a duration is relative to, in Unix seconds.
        sign: 1 if a duration leads to the future and starts with `+`; -1 if it
            leads to the past and has no sign.

    Raises:
        UsageError: The text is neither such a date nor a duration.
    """
    match = _DURATION_PATTERN.fullmatch(text if sign > 0 else f"+{text}")
    if match:
        return now_s + sign * int(match[1]) * _SECONDS_BY_UNIT[match[2]]
    example = "+4h" if sign > 0 else "4h"
    hint = (
        f"Give a date such as 2026-05-01T18:00:00Z or a duration like {example}"
    )
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        raise exceptions.UsageError(f"{text!r} is not a date", hint) from error
    if moment.tzinfo is None:
        raise exceptions.UsageError(f"{text!r} has no offset from UTC", hint)
    return moment.timestamp()


def format_time(wall_s: float) -> str:
    """Returns an ISO 8601 date in UTC, or the number if it has no date."""
    try:
        moment = datetime.datetime.fromtimestamp(wall_s, datetime.UTC)
    except (OSError, OverflowError, ValueError):
        return str(wall_s)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")
