"""The attempts of one request, and whether one more may be made."""

import random

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import answers
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import target_health


class Tries:
    """Attempts of one request of any kind.

    Attributes:
        last: How the last attempt ended, or None before it.
        failed_answer: Answer of a target that failed the request itself; it
            is passed on when no other target answers.
    """

    def __init__(
        self,
        context: context_lib.RelayContext,
        admission: context_lib.Admission,
        max_connect_failures: int,
    ) -> None:
        """Counts the request in the budget of its pool.

        Args:
            context: State of the process.
            admission: The request.
            max_connect_failures: Most connections that may fail. They cost
                nothing at a target, but time.
        """
        self._context = context
        self._admission = admission
        self._max_connect_failures = max_connect_failures
        self._connect_failures = 0
        self._ledger = serving.AttemptTracker(
            admission.route.idempotent, admission.route.max_attempts
        )
        self._window = context.resends.window_of(admission.pool)
        self._window.record_request(clock.now_s())
        self._on_trial = context.trials.admit_request(
            admission.pool, admission.route.name, clock.now_s()
        )
        self.last: serving.FailureKind | None = None
        self.failed_answer: answers.Answer | None = None

    @property
    def tried_ids(self) -> tuple[str, ...]:
        """Targets that were tried."""
        return tuple(self._ledger.tried_ids)

    @property
    def on_trial(self) -> bool:
        """Whether the next attempt goes to a version on trial."""
        return self._on_trial and not self._ledger.tried_ids

    @property
    def sent(self) -> int:
        """Attempts that may have reached a target and have ended."""
        return self._ledger.sent

    @property
    def is_last(self) -> bool:
        """Whether the attempt that runs is the last that the route allows."""
        return self._ledger.sent + 1 >= self._ledger.max_attempts

    def answer_by_s(self) -> float:
        """Returns when the client, or the operator, stops waiting."""
        return self._admission.answer_by_s(self._context.belief)

    def record(
        self,
        entry: serving.TargetEntry,
        error: target_connection.AttemptError,
    ) -> None:
        """Records an attempt that ended without an answer."""
        if error.ending in serving.BAD_VERSION_FAILURES:
            self._observe(entry, True, None)
        self.last = error.ending
        self._ledger.record(entry.target_id, error.ending)
        if error.ending in serving.FAILURES_BEFORE_SENDING:
            self._connect_failures += 1
        target_health.record_ending(
            self._context, self._admission, entry, error
        )

    def note_answer(self, entry: serving.TargetEntry, took_s: float) -> None:
        """Notes a good answer, or the first event of a stream.

        Args:
            entry: The target.
            took_s: Time since the request was sent to it.
        """
        self._observe(entry, False, took_s)

    def _observe(
        self, entry: serving.TargetEntry, is_bad: bool, took_s: float | None
    ) -> None:
        """Counts the first attempt for a version on trial.

        Later attempts follow a fault and say less of the version.
        """
        if not self._ledger.tried_ids:
            self._context.trials.record_answer(
                entry.pool,
                entry.version,
                self._admission.route.name,
                is_bad,
                took_s,
            )

    def may_go_on(self) -> bool:
        """Returns whether the request may be sent to another target."""
        if clock.now_s() >= self.answer_by_s():
            return False
        if self._connect_failures >= self._max_connect_failures:
            return False
        if not self._ledger.may_send():
            return False
        if self.last in serving.FAILURES_BEFORE_SENDING:
            return True
        return self._window.try_acquire(clock.now_s())

    def final_answer(
        self,
        reason: str,
        retry_after_range_s: tuple[float, float],
        rng: random.Random,
    ) -> answers.Answer:
        """Returns the answer to a request that no target answered.

        Args:
            reason: Why it is given up.
            retry_after_range_s: When a client whose request has not run may
                return; a random time spreads the clients.
            rng: Source of randomness.
        """
        if self.failed_answer is not None:
            return self.failed_answer
        status = self._ledger.final_status(self.last)
        retry_after_s = None
        if status == 503:
            retry_after_s = rng.uniform(*retry_after_range_s)
        return answers.refusal(status, reason, retry_after_s)
