"""Observers of attempt outcomes."""

import abc

from rattanpulley_core import generations


class HealthObserver(abc.ABC):
    """Receives the start and the outcome of attempts and service calls."""

    @abc.abstractmethod
    def attempt_started(self, call_id: str, attempt: int, pool: str) -> None:
        """Called when a first attempt starts, after its version is chosen."""

    @abc.abstractmethod
    def attempt_ended(self, outcome: generations.AttemptOutcome) -> None:
        """Called with the outcome of an attempt.

        Attempts without a preceding `attempt_started` are ignored.
        """

    @abc.abstractmethod
    def attempt_discarded(self, call_id: str, attempt: int) -> None:
        """Called when an attempt ends without evidence about its version."""


class NullObserver(HealthObserver):
    """Observer that ignores all calls."""

    def attempt_started(self, call_id: str, attempt: int, pool: str) -> None:
        """Ignores the start."""

    def attempt_ended(self, outcome: generations.AttemptOutcome) -> None:
        """Ignores the end."""

    def attempt_discarded(self, call_id: str, attempt: int) -> None:
        """Ignores the end."""
