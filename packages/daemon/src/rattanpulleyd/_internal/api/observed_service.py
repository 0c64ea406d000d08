"""A service client that reports the health of its target's version."""

from rattanpulley_core import generations
from rattanpulley_core import interfaces
from rattanpulley_core import tables
from rattanpulley_core import targets
from rattanpulleyd._internal.runtime import runtime as runtime_lib

FIRST_ERROR_STATUS = 500
# Health reports identify attempts by number; a service call has only one.
ATTEMPT = 1

_Result = generations.AttemptResult


class ObservedService(interfaces.ServiceApi):
    """Wraps a service client and reports the outcome of each call."""

    def __init__(
        self,
        service: interfaces.ServiceApi,
        route: tables.Route,
        target: targets.Target,
        runtime: runtime_lib.Runtime,
    ) -> None:
        """Prepares the call.

        Args:
            service: Client that makes the call.
            route: Route of the request.
            target: The called target.
            runtime: Provides the clock and the health observer.
        """
        self._service = service
        self._route = route
        self._target = target
        self._runtime = runtime

    def call(
        self, order: interfaces.ServiceRequest
    ) -> interfaces.ServiceAnswer:
        """Makes the call and reports its result and duration."""
        clock = self._runtime.clock
        observer = self._runtime.health
        call_id = f"service-{self._runtime.next_caller_id()}"
        observer.attempt_started(call_id, ATTEMPT, self._route.pool)
        start_s = clock.monotonic_s()
        try:
            answer = self._service.call(order)
        except interfaces.ServiceNotSentError:
            # Nothing ran, so the failure is no evidence about the version.
            observer.attempt_discarded(call_id, ATTEMPT)
            raise
        except interfaces.ServiceOutcomeUnknownError:
            self._report_result(call_id, _Result.ERROR, None)
            raise
        is_error = answer.status >= FIRST_ERROR_STATUS
        elapsed_s = clock.monotonic_s() - start_s
        result = _Result.ERROR if is_error else _Result.OK
        self._report_result(call_id, result, elapsed_s)
        return answer

    def _report_result(
        self,
        call_id: str,
        result: generations.AttemptResult,
        elapsed_s: float | None,
    ) -> None:
        outcome = generations.AttemptOutcome(
            generation_id=call_id,
            attempt=ATTEMPT,
            pool=self._route.pool,
            route=self._route.name,
            failure_domain=self._target.failure_domain,
            target=self._target.name,
            version=self._target.version,
            result=result,
            first_token_s=elapsed_s,
            token_interval_s=None,
        )
        self._runtime.health.attempt_ended(outcome)
