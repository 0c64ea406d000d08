"""Checks that every event of an attempt has to pass."""

from rattanpulley_core._internal.generations import rows


def is_current_attempt(attempt: rows.Attempt, number: int) -> bool:
    """Returns whether an event belongs to the current attempt."""
    return attempt.number == number


def is_pinned_version(attempt: rows.Attempt, version: str) -> bool:
    """Returns whether an event comes from the version of the attempt."""
    return attempt.version == version


def count_duplicates(journal_length: int, first_index: int) -> int | None:
    """Returns how many tokens from `first_index` on are known already.

    Returns None when tokens are missing between the journal and `first_index`.
    """
    if first_index > journal_length:
        return None
    return journal_length - first_index
