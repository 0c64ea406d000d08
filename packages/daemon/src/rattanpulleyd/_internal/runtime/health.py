"""Observers of the health of attempts."""

import abc

from rattanpulley_core import generations


class HealthObserver(abc.ABC):
    """Observes the start and the end of attempts and of service calls."""

    @abc.abstractmethod
    def attempt_started(self, call_id: str, attempt: int, pool: str) -> None:
        """A first attempt started; its version has just been chosen."""

    @abc.abstractmethod
    def attempt_ended(self, ended: generations.AttemptOutcome) -> None:
        """An attempt ended; one that did not start is unknown here."""

    @abc.abstractmethod
    def attempt_dropped(self, call_id: str, attempt: int) -> None:
        """An attempt ended without telling anything of its version."""


class NoObserver(HealthObserver):
    """Ignores everything."""

    def attempt_started(self, call_id: str, attempt: int, pool: str) -> None:
        """Ignores the start."""

    def attempt_ended(self, ended: generations.AttemptOutcome) -> None:
        """Ignores the end."""

    def attempt_dropped(self, call_id: str, attempt: int) -> None:
        """Ignores the end."""
