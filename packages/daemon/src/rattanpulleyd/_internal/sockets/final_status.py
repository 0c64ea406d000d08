"""Tells which statuses end a request (RFC 9110, section 15).

Parsers take other numbers as well, such as 999, and some take interim responses
for final ones.
"""

MIN_STATUS = 200
MAX_STATUS = 599


def is_final(status: int) -> bool:
    """Returns whether a status is that of an answer."""
    return MIN_STATUS <= status <= MAX_STATUS
