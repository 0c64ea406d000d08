"""Bodies of the answers to generation requests."""

from collections.abc import Callable, Iterator
from typing import Any

from rattanpulley_core import generations
from rattanpulley_core import results
from rattanpulley_core import resume_token
from rattanpulleyd import exceptions
from rattanpulleyd._internal.api import caller
from rattanpulleyd._internal.api import direct_writer
from rattanpulleyd._internal.api import errors
from rattanpulleyd._internal.api import openai_format
from rattanpulleyd._internal.runtime import runtime as runtime_lib

# Proxies on the way close connections that are silent for longer.
KEEP_ALIVE_S = 2.0


class Call:
    """One caller's request from its arrival to its end."""

    def __init__(
        self,
        runtime: runtime_lib.Runtime,
        request: generations.GenerationRequest,
        resume: generations.ResumePoint | None,
        on_close: Callable[[], None],
    ) -> None:
        """Starts the answer.

        Args:
            runtime: Runtime of the daemon.
            request: The routed request.
            resume: Where a caller that comes back goes on.
            on_close: Called at the end of the connection.
        """
        self._runtime = runtime
        self._on_close = on_close
        self._generation_id = request.generation_id
        self._caller_id = runtime.next_caller_id()
        self._caller = caller.QueuedCaller()
        runtime.add_caller(self._caller_id, self._caller, request, resume)

    def take(self) -> list[caller.Delivery]:
        """Returns queued deliveries, or none after the keep-alive time."""
        return self._caller.take(KEEP_ALIVE_S)

    def redirect(self, sink: Callable[[caller.Delivery], None]) -> None:
        """Passes queued and later deliveries to a function.

        Args:
            sink: Takes the deliveries; must not wait.
        """
        self._caller.redirect(sink)

    def close(self) -> None:
        """Notes the end of the connection; may be called again."""
        self._on_close()
        self._runtime.remove_caller(self._caller_id, self._generation_id)


class StreamBody:
    """Server-sent events of one answer.

    It is not a generator, because closing a generator that was never started
    would not run its clean-up.
    """

    def __init__(
        self,
        call: Call,
        first: list[caller.Delivery],
        stream_format: openai_format.StreamFormat,
        handler: Any = None,
    ) -> None:
        """Prepares the body.

        Args:
            call: The caller's request.
            first: Deliveries that were taken already.
            stream_format: Renders the deliveries.
            handler: The server's handler, when the body may write to its
                connection itself.
        """
        self._handler = handler
        self._has_begun = False
        self._call = call
        self._first = first
        self._format = stream_format
        self._over = False

    def __iter__(self) -> Iterator[bytes]:
        """Returns the iterator of the body's parts."""
        return self

    def __next__(self) -> bytes:
        """Returns all queued events, or a comment when none came in time."""
        if self._has_begun and self._handler is not None and not self._over:
            self._write_rest(self._handler)
        if self._over:
            raise StopIteration
        self._has_begun = True
        deliveries = self._first or self._call.take()
        self._first = []
        if not deliveries:
            return openai_format.KEEP_ALIVE
        return b"".join([self._render(item) for item in deliveries])

    def _write_rest(self, handler: Any) -> None:
        """Writes all later events to the connection."""
        writer = direct_writer.DirectWriter(handler)

        def write(delivery: caller.Delivery) -> None:
            writer.write(self._render(delivery))
            if self._over:
                writer.finish()

        self._call.redirect(write)
        writer.run(KEEP_ALIVE_S)

    def close(self) -> None:
        """Called by the server when the connection or the body ends."""
        self._call.close()

    def _render(self, delivery: caller.Delivery) -> bytes:
        if isinstance(delivery, generations.DeliverTokens):
            return self._format.tokens(delivery)
        self._over = True
        if isinstance(delivery, generations.FinishAnswer):
            return self._format.finish(delivery)
        return errors.error_event(delivery)


def event_ids(
    signer: resume_token.Signer, request: generations.GenerationRequest
) -> openai_format.EventIdOf:
    """Returns a function that encodes event ids of one answer.

    The part of an event id that is constant for an attempt is prepared once.

    Args:
        signer: Signs the event ids.
        request: The routed request.
    """
    encoders: dict[tuple[int, str, str], resume_token.EventIdEncoder] = {}

    def encoder_of(
        action: generations.DeliverTokens,
    ) -> resume_token.EventIdEncoder:
        key = (action.attempt, action.target, action.version)
        encoder = encoders.get(key)
        if encoder is None:
            binding = signer.binding(
                request.generation_id,
                request.account,
                request.fingerprint,
                action.version,
            )
            encoder = signer.encoder(binding, request.generation_id, *key)
            encoders[key] = encoder
        return encoder

    def event_id_of(action: generations.DeliverTokens, position: int) -> str:
        return encoder_of(action).encode(
            action.first_index + position, action.chains[position]
        )

    return event_id_of


def read_whole(
    call: Call, is_connected: Callable[[], bool]
) -> tuple[str, generations.FinishAnswer]:
    """Waits for the end of an answer and returns its text.

    Nothing is written before the end, so that the loss of the caller has to be
    looked for.

    Args:
        call: The caller's request.
        is_connected: Returns whether the caller still waits.

    Raises:
        exceptions.RequestError: The answer failed or the caller left.
    """
    tokens: list[str] = []
    while True:
        deliveries = call.take()
        if not deliveries and not is_connected():
            raise exceptions.RequestError(
                results.ResultCode.OUTCOME_UNKNOWN, "The caller left."
            )
        for delivery in deliveries:
            if isinstance(delivery, generations.DeliverTokens):
                tokens.extend(delivery.tokens)
            elif isinstance(delivery, generations.FinishAnswer):
                return "".join(tokens), delivery
            else:
                raise errors.request_error(delivery)


def take_first(call: Call) -> list[caller.Delivery]:
    """Waits for the first deliveries, at most for the keep-alive time.

    Args:
        call: The caller's request.

    Raises:
        exceptions.RequestError: The answer failed before its first byte.
    """
    first = call.take()
    if first and isinstance(first[0], generations.FailAnswer):
        raise errors.request_error(first[0])
    return first
