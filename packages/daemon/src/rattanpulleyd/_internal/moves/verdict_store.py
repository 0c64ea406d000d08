"""Persists verdicts in the object API, independent of any daemon's lifetime."""

import contextlib
import random

import gevent
import loguru

from rattanpulley_core import interfaces
from rattanpulley_core import moves
from rattanpulleyd._internal.config import backoff

# Peers deliver the verdicts of other daemons immediately. The store serves
# daemons that start, and failure domains that cannot reach each other.
READ_INTERVAL_S = 10.0


class VerdictStore:
    """Writes the verdicts of this daemon and reads those of other daemons."""

    def __init__(
        self, store: interfaces.ObjectStore, rng: random.Random
    ) -> None:
        self._store = store
        self._backoff = backoff.Backoff(rng)
        self._rng = rng
        self._pending_by_key: dict[str, moves.Verdict] = {}
        self._known_keys: set[str] = set()
        self._received: list[moves.Verdict] = []

    def enqueue(self, verdict: moves.Verdict) -> None:
        """Queues a verdict; the write is retried until it succeeds."""
        if verdict.object_key not in self._known_keys:
            self._pending_by_key[verdict.object_key] = verdict

    def pop_received(self) -> list[moves.Verdict]:
        """Returns and clears the verdicts read since the last call."""
        received, self._received = self._received, []
        return received

    def run(self) -> None:
        """Writes and reads verdicts until the greenlet is killed."""
        next_read_s = 0.0
        while True:
            try:
                self.write_pending()
                if next_read_s <= 0.0:
                    self.read_all()
                    next_read_s = READ_INTERVAL_S * (0.5 + self._rng.random())
                self._backoff.reset()
                delay_s = 1.0
            except interfaces.StoreUnavailableError:
                delay_s = self._backoff.next_delay_s()
            next_read_s -= delay_s
            gevent.sleep(delay_s)

    def write_pending(self) -> None:
        """Creates the objects of queued verdicts.

        Raises:
            interfaces.StoreUnavailableError: The outcome is unknown; the
                verdict stays queued, because creating it is idempotent.
        """
        for key, verdict in list(self._pending_by_key.items()):
            # A conflict means that another daemon wrote the same verdict, or
            # that an earlier write succeeded but its response was lost.
            with contextlib.suppress(interfaces.StoreConflictError):
                self._store.put(key, moves.verdict_to_json(verdict), 0)
            del self._pending_by_key[key]
            self._known_keys.add(key)

    def read_all(self) -> None:
        """Reads the stored verdicts that this daemon does not know yet.

        Raises:
            interfaces.StoreUnavailableError: The object API is unavailable.
        """
        stored, _ = self._store.list_objects(moves.VERDICT_PREFIX)
        for item in stored:
            if item.key in self._known_keys:
                continue
            self._known_keys.add(item.key)
            try:
                self._received.append(moves.verdict_from_json(item.value))
            except ValueError as error:
                loguru.logger.error("{}: {}", item.key, error)
