"""Reports entries of the store that name no target to use."""

from collections.abc import Iterable

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib

# Least time between two log lines.
LOG_PERIOD_S = 10.0
MAX_LOGGED_ENTRIES = 10
MAX_LOGGED_CHARACTERS = 80
MAX_REMEMBERED_ENTRIES = 1000


class UnreadableEntries:
    """Counts and logs each unreadable entry once for each of its changes."""

    def __init__(self, context: context_lib.RelayContext) -> None:
        """Creates a report of nothing.

        Args:
            context: State of the process.
        """
        self._context = context
        self._revision_by_name: dict[str | None, int | None] = {}
        self._waiting: list[serving.UnreadableEntry] = []
        self._waiting_count = 0
        self._logged_at_s = float("-inf")

    def record_listed(self, entries: Iterable[serving.UnreadableEntry]) -> None:
        """Records all unreadable entries of a list."""
        listed = tuple(entries)
        names = {entry.name for entry in listed}
        for name in set(self._revision_by_name) - names:
            del self._revision_by_name[name]
        self.record_changed(listed)

    def record_changed(
        self, entries: Iterable[serving.UnreadableEntry]
    ) -> None:
        """Records unreadable entries that may be new or have changed."""
        for entry in entries:
            self._record(entry)
        now_s = clock.now_s()
        if self._waiting and now_s - self._logged_at_s >= LOG_PERIOD_S:
            self._logged_at_s = now_s
            self._context.log.failure(
                "targets.unreadable",
                entries=self._waiting_count,
                names=[_text(entry) for entry in self._waiting],
            )
            self._waiting = []
            self._waiting_count = 0

    def _record(self, entry: serving.UnreadableEntry) -> None:
        known = self._revision_by_name
        if entry.name in known and known[entry.name] == entry.revision:
            return
        if len(known) < MAX_REMEMBERED_ENTRIES:
            known[entry.name] = entry.revision
        self._context.metrics.unreadable_entries.inc()
        self._waiting_count += 1
        if len(self._waiting) < MAX_LOGGED_ENTRIES:
            self._waiting.append(entry)


def _text(entry: serving.UnreadableEntry) -> str:
    """Returns an entry as it is logged: name, revision and problem."""
    name = (entry.name or "")[:MAX_LOGGED_CHARACTERS]
    problem = entry.problem[:MAX_LOGGED_CHARACTERS]
    return f"{name}@{entry.revision}: {problem}"
