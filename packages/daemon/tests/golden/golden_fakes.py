"""Fake engines and services that write their calls to the transcript."""

from collections.abc import Callable
from typing import Any

from rattanpulley_core import generations
from rattanpulley_core import interfaces


class FakeEngines(interfaces.EngineApi):
    """Records requests; the session triggers the events of the engines."""

    def __init__(self, session: Any) -> None:
        self._session = session
        self._request: Any = None
        self._probe: Any = None
        self.sink: interfaces.EventSink = lambda event: None

    def start(self, order: Any, sink: interfaces.EventSink) -> None:
        self._request, self.sink = order, sink
        self._session.write(
            f"{order.target} < start {order.generation_id} attempt"
            f" {order.attempt} {order.version} {order.sampling}"
            f" prompt {order.prompt!r} after {list(order.resume_tokens)}"
        )

    def attach(self, order: Any, sink: interfaces.EventSink) -> None:
        self._request, self.sink = order, sink
        self._session.write(
            f"{order.target} < attach {order.generation_id} attempt"
            f" {order.attempt} from {order.from_index}"
        )

    def cancel(self, order: Any) -> None:
        self._session.write(
            f"{order.target} < cancel attempt {order.attempt}"
            f" keep {order.keep_running}"
        )

    def probe(self, order: Any, sink: interfaces.EventSink) -> None:
        self._probe, self.sink = order, sink
        self._session.write(f"{order.target} < probe {order.generation_ids}")

    def accept(self, boot_id: str = "boot-1") -> None:
        """Reports that the newest request was accepted."""
        self._report(generations.AttemptAccepted, boot_id=boot_id)

    def tokens(self, first_index: int, *tokens: str) -> None:
        """Reports tokens for the newest request."""
        self._report(
            generations.TokensReceived,
            first_index=first_index,
            tokens=tokens,
            version="v1",
        )

    def finish(self, token_count: int) -> None:
        """Reports the end of the answer."""
        self._report(
            generations.AttemptFinished,
            token_count=token_count,
            finish_reason="stop",
            version="v1",
        )

    def fail(self, reason: str, message: str = "") -> None:
        """Reports a failure of the newest request."""
        self._report(
            generations.AttemptFailed,
            reason=generations.FailureReason(reason),
            message=message,
        )

    def answer_probe(self, boot_id: str, progress: dict[str, int]) -> None:
        """Reports the answer to the newest probe."""
        probe = self._probe
        self._session.write(f"{probe.target} > {boot_id} progress {progress}")
        self.sink(
            generations.ProbeSucceeded(
                probe.target, probe.probe_id, boot_id, False, progress
            )
        )
        self._session.run_greenlets()

    def fail_probe(self) -> None:
        """Reports that the connection of the newest probe was refused."""
        probe = self._probe
        self._session.write(f"{probe.target} > refuses the probe")
        self.sink(generations.ProbeFailed(probe.target, probe.probe_id, True))
        self._session.run_greenlets()

    def _report(self, kind: Callable[..., Any], **fields: Any) -> None:
        order = self._request
        event = kind(order.generation_id, order.attempt, **fields)
        shown = ", ".join(f"{name}={value}" for name, value in fields.items())
        self._session.write(f"{order.target} > {kind.__name__} {shown}")
        self.sink(event)
        self._session.run_greenlets()


class FakeServices(interfaces.ServiceApi):
    """Returns or raises the next item that the session added to `results`."""

    def __init__(self, session: Any) -> None:
        self._session = session
        self.results: list[Any] = []

    def call(
        self, order: interfaces.ServiceRequest
    ) -> interfaces.ServiceAnswer:
        self._session.write(
            f"{order.target} < {order.method} {order.path}"
            f" {dict(order.headers)} {order.body!r}"
            f" fresh {order.fresh_connection}"
        )
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return interfaces.ServiceAnswer(200, (("X-Service", "1"),), result)
