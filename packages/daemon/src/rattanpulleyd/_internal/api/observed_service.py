"""A service client that reports the health of its target's version."""

from rattanpulley_core import generations
from rattanpulley_core import interfaces
from rattanpulley_core import tables
from rattanpulley_core import targets
from rattanpulleyd._internal.runtime import runtime as runtime_lib

FIRST_ERROR_STATUS = 500
# A service call has one attempt in the sense of the report.
ATTEMPT = 1

_Result = generations.AttemptResult


class ObservedService(interfaces.ServiceApi):
    """Makes one call through another client and reports how it ended."""

    def __init__(
        self,
        service: interfaces.ServiceApi,
        route: tables.Route,
        target: targets.Target,
        runtime: runtime_lib.Runtime,
    ) -> None:
        """Prepares the call.

        Args:
            service: Makes the call.
            route: Route of the request.
            target: The target.
            runtime: Takes the report.
        """
        self._service = service
        self._route = route
        self._target = target
        self._runtime = runtime

    def call(
        self, order: interfaces.ServiceRequest
    ) -> interfaces.ServiceAnswer:
        """Makes the call and reports its result and time."""
        clock = self._runtime.clock
        observer = self._runtime.health
        call_id = f"service-{self._runtime.next_caller_id()}"
        observer.attempt_started(call_id, ATTEMPT, self._route.pool)
        start_s = clock.monotonic_s()
        try:
            answer = self._service.call(order)
        except interfaces.ServiceNotSentError:
            # Nothing ran, so this says nothing about the version.
            observer.attempt_dropped(call_id, ATTEMPT)
            raise
        except interfaces.ServiceOutcomeUnknownError:
            self._end(call_id, _Result.ERROR, None)
            raise
        is_error = answer.status >= FIRST_ERROR_STATUS
        elapsed_s = clock.monotonic_s() - start_s
        result = _Result.ERROR if is_error else _Result.OK
        self._end(call_id, result, elapsed_s)
        return answer

    def _end(
        self,
        call_id: str,
        result: generations.AttemptResult,
        elapsed_s: float | None,
    ) -> None:
        ended = generations.AttemptOutcome(
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
        self._runtime.health.attempt_ended(ended)
