"""Dates and spans that operators write."""

import datetime
import re

from rattanpulley import exceptions

_SPAN_PATTERN = re.compile(r"\+(\d+)([smhd])")
_SECONDS_BY_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86400}


def parse_time(text: str, now_s: float, sign: int = 1) -> float:
    """Returns Unix seconds.

    Args:
        text: An ISO 8601 date with offset, or a span such as `+4h`.
        now_s: Wall time from which a span counts.
        sign: 1 if a span leads to the future, -1 if to the past.

    Raises:
        UsageError: The text has another form.
    """
    match = _SPAN_PATTERN.fullmatch(text if sign > 0 else f"+{text}")
    if match:
        return now_s + sign * int(match[1]) * _SECONDS_BY_UNIT[match[2]]
    example = "+4h" if sign > 0 else "4h"
    hint = f"Give a date such as 2026-05-01T18:00:00Z or a span like {example}"
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        raise exceptions.UsageError(f"{text!r} is not a date", hint) from error
    if moment.tzinfo is None:
        raise exceptions.UsageError(f"{text!r} has no offset from UTC", hint)
    return moment.timestamp()


def format_time(wall_s: float) -> str:
    """Returns a date in UTC with seconds, or the number if it is no date."""
    try:
        moment = datetime.datetime.fromtimestamp(wall_s, datetime.UTC)
    except (OSError, OverflowError, ValueError):
        return str(wall_s)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")
