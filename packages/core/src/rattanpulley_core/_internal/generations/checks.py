"""Validity checks for the events of an attempt."""

from rattanpulley_core._internal.generations import journal as journals
from rattanpulley_core._internal.generations import rows


def is_current_attempt(attempt: rows.Attempt, number: int) -> bool:
    """Returns whether an event belongs to the current attempt."""
    return attempt.number == number


def is_pinned_version(attempt: rows.Attempt, version: str) -> bool:
    """Returns whether an event's version is the version of the attempt."""
    return attempt.version == version


def count_duplicates(journal_length: int, first_index: int) -> int | None:
    """Returns the number of tokens from `first_index` on in the journal.

    Returns None if tokens are missing between the end of the journal and
    `first_index`.
    """
    if first_index > journal_length:
        return None
    return journal_length - first_index


def repeats_journal(
    journal: journals.Journal, first_index: int, tokens: tuple[str, ...]
) -> bool:
    """Returns whether tokens match the part of the journal they overlap."""
    known = journal.tokens(
        first_index, min(first_index + len(tokens), len(journal))
    )
    return tokens[: len(known)] == known
