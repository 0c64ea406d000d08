"""Maintains a copy of a run's memory on another target during a stream.

The target that the request names stores the first copy. When that target is
lost, the engine that runs the request is told to copy its memory to another
one, repeatedly so that the copy stays close to the current state.
"""

import abc
import dataclasses

import gevent

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import target_connection

CHECK_INTERVAL_S = 0.25
# Resuming from a copy of this age takes the prefill of a few hundred tokens.
RENEW_INTERVAL_S = 1.5
COPY_TIMEOUT_S = 0.5
RELEASE_TIMEOUT_S = 0.3
MAX_FAILED_COPIES = 6
HTTP_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCall:
    """A call of the relay to an engine, as opposed to a client's request.

    Attributes:
        method: HTTP method.
        path: Path.
        body: JSON body; empty for a call without a body.
    """

    method: bytes
    path: bytes
    body: bytes


class MemoryCopyCalls(abc.ABC):
    """Encodes the calls that copy a run's memory and decodes the responses."""

    @abc.abstractmethod
    def copy(self, run_id: str, destination: serving.TargetEntry) -> TargetCall:
        """Returns the call that copies what the destination does not have yet.

        Args:
            run_id: Id of the request whose memory is copied.
            destination: Target that stores the copy.
        """

    @abc.abstractmethod
    def handle_of(self, body: bytes) -> str | None:
        """Returns the handle of the copy in a response, or None."""

    @abc.abstractmethod
    def release(self, handle: str) -> TargetCall:
        """Returns the call that frees a copy."""


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryCopy:
    """A copy of a run's memory.

    Attributes:
        holder: Target that stores it.
        reference: Address and handle by which a request names it.
    """

    holder: serving.TargetEntry
    reference: str


class CopyMaintainer:
    """Maintains one copy of one run's memory."""

    def __init__(
        self,
        context: context_lib.RelayContext,
        calls: MemoryCopyCalls,
        admission: context_lib.Admission,
        runs_on: serving.TargetEntry,
        copy: MemoryCopy | None,
    ) -> None:
        """Creates a maintainer that is not started.

        Args:
            context: State of the process.
            calls: Calls to engines.
            admission: The request.
            runs_on: Target that runs the request.
            copy: The copy that the request named, or None.
        """
        self._context = context
        self._calls = calls
        self._admission = admission
        self._runs_on = runs_on
        self._copy = copy
        self._handle: str | None = None
        self._renew_at_s = 0.0
        self._failures = 0
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the maintenance in a greenlet."""
        self._greenlet = gevent.spawn(self._maintain)

    def stop(self) -> None:
        """Stops the maintenance; the copy stays until the engine expires it."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
            self._greenlet = None

    def release(self) -> None:
        """Frees the copy, which is no longer needed."""
        if self._handle is not None:
            gevent.spawn(self._release, self._handle)
            self._handle = None

    def usable_copy(self) -> MemoryCopy | None:
        """Returns the copy if its holder accepts a request now."""
        copy = self._kept_copy()
        if copy is None:
            return None
        availability = self._context.availability
        if availability.back_in_s(copy.holder, clock.now_s()):
            return None
        return copy

    def _kept_copy(self) -> MemoryCopy | None:
        """Returns the copy if its holder has not restarted or begun to drain.

        A holder that has asked for time keeps its copy.
        """
        copy = self._copy
        if copy is None:
            return None
        current = self._context.targets.entry(copy.holder.target_id)
        if current is None or current.started_ms != copy.holder.started_ms:
            return None
        if self._context.availability.is_draining(current, clock.now_s()):
            return None
        return copy

    def _maintain(self) -> None:
        while self._failures < MAX_FAILED_COPIES:
            gevent.sleep(CHECK_INTERVAL_S)
            if self._context.availability.back_in_s(
                self._runs_on, clock.now_s()
            ):
                # A call that can wait; the run goes on.
                continue
            if self._kept_copy() is None:
                self._copy, self._handle = None, None
                self._choose_and_copy()
            elif self._handle and clock.now_s() >= self._renew_at_s:
                self._copy_to(self._copy.holder if self._copy else None)

    def _choose_and_copy(self) -> None:
        holder = self._context.placement.choose_copy_holder(
            self._admission.pool, self._runs_on, clock.now_s()
        )
        self._copy_to(holder)

    def _copy_to(self, holder: serving.TargetEntry | None) -> None:
        """Makes the engine copy the memory to a target and logs the result."""
        if holder is None:
            return
        run_id = self._admission.request.request_id
        call = self._calls.copy(run_id, holder)
        handle = None
        try:
            status, body = target_connection.call_target(
                self._runs_on,
                call.method,
                call.path,
                call.body,
                COPY_TIMEOUT_S,
                self._context.announcements.record_head,
            )
            if status == HTTP_OK:
                handle = self._calls.handle_of(body)
            reason = f"status {status}"
        except target_connection.AttemptError as error:
            reason = str(error)
        self._renew_at_s = clock.now_s() + RENEW_INTERVAL_S
        if handle is None:
            self._failures += 1
            self._copy = None
        else:
            self._failures = 0
            self._handle = handle
            reference = f"{self._runs_on.address}/{handle}"
            self._copy = MemoryCopy(holder, reference)
        self._context.metrics.copies.labels(
            "failed" if handle is None else "ok"
        ).inc()
        write = self._context.log.success
        if handle is None:
            write = self._context.log.failure
        write(
            "memory.copied",
            request=run_id,
            target=self._runs_on.target_id,
            holder=holder.target_id,
            outcome=reason,
        )

    def _release(self, handle: str) -> None:
        call = self._calls.release(handle)
        try:
            target_connection.call_target(
                self._runs_on,
                call.method,
                call.path,
                call.body,
                RELEASE_TIMEOUT_S,
                self._context.announcements.record_head,
            )
        except target_connection.AttemptError as error:
            # The engine frees the copy itself when it expires.
            self._context.log.failure(
                "memory.release_failed",
                request=self._admission.request.request_id,
                reason=str(error),
            )
