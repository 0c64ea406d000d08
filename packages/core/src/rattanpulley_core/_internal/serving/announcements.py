"""What the headers of an answer say about its target."""

from collections.abc import Iterable
import dataclasses
import re

_SECONDS = re.compile(r"[0-9]+(\.[0-9]*)?", re.ASCII)


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What an answer of a target says about the target.

    Attributes:
        draining: Whether it says that it is draining.
        retry_after_s: Time for which it wants no requests, or 0.
        unreadable: Number of values that mean nothing.
    """

    draining: bool = False
    retry_after_s: float = 0.0
    unreadable: int = 0


def parse_announcement(
    status: int, draining: Iterable[str], retry_after: Iterable[str]
) -> Announcement:
    """Returns what the headers of an answer say about its target.

    A value that means nothing is left out and counted.

    Args:
        status: HTTP status; a time is asked for with 503 only.
        draining: Values of the header of a draining target.
        retry_after: Values of the Retry-After header.
    """
    flags = [value == "1" for value in draining]
    times_s = [_parse_seconds(value) for value in retry_after]
    if status != 503:
        times_s = []
    readable_s = [time_s for time_s in times_s if time_s is not None]
    return Announcement(
        draining=any(flags),
        retry_after_s=max(readable_s, default=0.0),
        unreadable=flags.count(False) + times_s.count(None),
    )


def _parse_seconds(text: str) -> float | None:
    """Returns a number of seconds; infinity beyond the range of a float."""
    if _SECONDS.fullmatch(text) is None:
        return None
    return float(text)
