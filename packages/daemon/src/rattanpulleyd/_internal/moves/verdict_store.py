"""Verdicts in the object API, where they outlast every daemon."""

import contextlib
import random

import gevent
import loguru

from rattanpulley_core import interfaces
from rattanpulley_core import moves
from rattanpulleyd._internal.config import backoff

# Verdicts of other daemons arrive by the peers at once; the store serves a
# daemon that starts, and failure domains that are cut off from each other.
READ_INTERVAL_S = 10.0


class VerdictStore:
    """Writes the verdicts of this daemon and reads those of others."""

    def __init__(
        self, store: interfaces.ObjectStore, rng: random.Random
    ) -> None:
        self._store = store
        self._backoff = backoff.Backoff(rng)
        self._rng = rng
        self._unwritten_by_key: dict[str, moves.Verdict] = {}
        self._known_keys: set[str] = set()
        self._learned: list[moves.Verdict] = []

    def keep(self, verdict: moves.Verdict) -> None:
        """Queues a verdict for writing; it is repeated until it is stored."""
        if verdict.object_key not in self._known_keys:
            self._unwritten_by_key[verdict.object_key] = verdict

    def take_learned(self) -> list[moves.Verdict]:
        """Returns the verdicts read since the last call."""
        learned, self._learned = self._learned, []
        return learned

    def run(self) -> None:
        """Writes and reads until the greenlet is killed."""
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
            interfaces.StoreUnavailableError: There was no clear answer; the
                verdict stays queued, and creating it again does no harm.
        """
        for key, verdict in list(self._unwritten_by_key.items()):
            # A conflict means that another daemon found the same, or that an
            # earlier write of this one took effect without an answer.
            with contextlib.suppress(interfaces.StoreConflictError):
                self._store.put(key, moves.verdict_to_json(verdict), 0)
            del self._unwritten_by_key[key]
            self._known_keys.add(key)

    def read_all(self) -> None:
        """Reads the stored verdicts that are new here.

        Raises:
            interfaces.StoreUnavailableError: There was no clear answer.
        """
        stored, _ = self._store.list_objects(moves.VERDICT_PREFIX)
        for item in stored:
            if item.key in self._known_keys:
                continue
            self._known_keys.add(item.key)
            try:
                self._learned.append(moves.verdict_from_json(item.value))
            except ValueError as error:
                loguru.logger.error("{}: {}", item.key, error)
