"""Tests for the engine client against a scripted server."""

from collections.abc import Callable, Iterator
import json
import socket
from typing import Any

import gevent
import gevent.event
import gevent.queue
import gevent.server
import pytest

from rattanpulley_core import generations
from rattanpulley_core import interfaces
from rattanpulleyd._internal.engine import attempt as attempt_lib
from rattanpulleyd._internal.engine import connection
from rattanpulleyd._internal.engine import http_engine
from rattanpulleyd._internal.engine import prober
from rattanpulleyd._internal.telemetry import counters

GENERATION = "0123456789abcdef" * 2
OK = b"HTTP/1.1 200 OK\r\nX-Boot-Id: b1\r\n\r\n"
WAIT_S = 20.0
Reason = generations.FailureReason


@pytest.fixture(autouse=True)
def _gevent_sockets(monkeypatch: pytest.MonkeyPatch) -> None:
    """Uses gevent's sockets, as the binary does by monkey-patching."""
    monkeypatch.setattr(connection, "socket", gevent.socket)


class ScriptedTarget:
    """Target that answers each connection with prepared bytes."""

    def __init__(self) -> None:
        self.answer = b""
        self.keeps_open = False
        self.requests = gevent.queue.Queue()
        self.closes = gevent.queue.Queue()
        self._server = gevent.server.StreamServer(
            ("127.0.0.1", 0), self._handle
        )
        self._server.start()
        self.url = f"http://127.0.0.1:{self._server.server_port}"

    def _handle(self, sock: Any, _: Any) -> None:
        self.requests.put(sock.recv(65536).split(b"\r\n")[0].decode())
        sock.sendall(self.answer)
        if self.keeps_open:
            self.closes.put(sock.recv(1))

    def stop(self) -> None:
        """Stops listening, so that connections are refused."""
        self._server.stop()


@pytest.fixture
def target() -> Iterator[ScriptedTarget]:
    found = ScriptedTarget()
    yield found
    found.stop()


def _event(index: int, **fields: Any) -> bytes:
    row = {"generation_id": GENERATION, "attempt": 2, "version": "v1"}
    return f"data: {json.dumps(row | {'index': index} | fields)}\n\n".encode()


def _attach(url: str) -> generations.AttachAttempt:
    return generations.AttachAttempt(GENERATION, 2, "e1", url, 5)


def _start(url: str) -> generations.StartAttempt:
    return generations.StartAttempt(
        generation_id=GENERATION,
        attempt=2,
        target="e1",
        url=url,
        model="m",
        version="v1",
        prompt="p",
        sampling=generations.Sampling(9, 1, 1.0),
        priority=0,
        resume_tokens=(),
    )


def _run(request: Any) -> list[generations.Event]:
    events: list[generations.Event] = []
    attempt_lib.Attempt(request, events.append).run()
    return events


def test_answer_is_reported_in_order(target: ScriptedTarget) -> None:
    """Guards against loss of tokens that arrive with the headers."""
    target.answer = (
        OK
        + _event(5, token="a")
        + _event(6, token="b")
        + _event(7, finish_reason="stop")
    )
    assert _run(_attach(target.url)) == [
        generations.AttemptAccepted(GENERATION, 2, "b1"),
        generations.TokensReceived(GENERATION, 2, 5, ("a", "b"), "v1"),
        generations.AttemptFinished(GENERATION, 2, 7, "stop", "v1"),
    ]
    path = f"GET /generations/{GENERATION}?from=5&attempt=2 HTTP/1.1"
    assert target.requests.get() == path


@pytest.mark.parametrize(
    ("make_request", "answer", "reason"),
    [
        # Bytes of the request were sent, so the target may have started it.
        (_start, b"", Reason.RESET),
        (_start, b"HTTP/1.1 500 X\r\n\r\n", Reason.ERRORED),
        (_start, b"HTTP/1.1 429 X\r\n\r\n", Reason.REFUSED),
        (_start, b"HTTP/1.1 503 X\r\n\r\n", Reason.REFUSED),
        (_start, b"HTTP/1.1 404 X\r\n\r\n", Reason.REJECTED),
        (_start, b"HTTP/1.1 422 X\r\n\r\nwhy", Reason.REJECTED),
        (_start, b"HTTP/1.1 409 X\r\n\r\n", Reason.HELD),
        (_attach, b"HTTP/1.1 404 X\r\n\r\n", Reason.NOT_HELD),
        (_attach, b"HTTP/1.1 409 X\r\n\r\n", Reason.REJECTED),
        (_attach, b"no HTTP\r\n\r\n", Reason.RESET),
        (_attach, OK, Reason.RESET),
        (_attach, OK + _event(5, token="a"), Reason.RESET),
        (_attach, OK + _event(5, attempt=1), Reason.CORRUPT),
    ],
)
def test_failure_is_reported_with_its_reason(
    target: ScriptedTarget,
    make_request: Callable[[str], Any],
    answer: bytes,
    reason: generations.FailureReason,
) -> None:
    """Guards against a failure that is reported with a wrong reason."""
    target.answer = answer
    *_, last = _run(make_request(target.url))
    assert isinstance(last, generations.AttemptFailed)
    assert last.reason is reason
    if b"why" in answer:
        assert last.message == "why"


def test_refused_connection_is_not_connected(target: ScriptedTarget) -> None:
    """Guards against a crash report for a request that was never sent."""
    target.stop()
    (event,) = _run(_start(target.url))
    assert isinstance(event, generations.AttemptFailed)
    assert event.reason is Reason.NOT_CONNECTED
    probe = generations.ProbeTarget("e1", target.url, 3, (), 0.25)
    events: list[generations.Event] = []
    prober.probe(probe, events.append)
    assert events == [generations.ProbeFailed("e1", 3, refused=True)]


def test_cancel_closes_the_connection_and_notifies_the_target(
    target: ScriptedTarget,
) -> None:
    """Guards against tokens of a cancelled attempt."""
    target.answer = OK + _event(5, token="a")
    target.keeps_open = True
    events: list[generations.Event] = []
    received = gevent.event.Event()

    def sink(event: generations.Event) -> None:
        events.append(event)
        if isinstance(event, generations.TokensReceived):
            received.set()

    engine = http_engine.HttpEngineApi(counters.Counters(None))
    engine.attach(_attach(target.url), sink)
    assert received.wait(WAIT_S)
    engine.cancel(generations.CancelAttempt(GENERATION, 2, "e1", target.url))
    assert target.closes.get(timeout=WAIT_S) == b""
    target.requests.get(timeout=WAIT_S)
    path = f"DELETE /generations/{GENERATION}?attempt=2 HTTP/1.1"
    assert target.requests.get(timeout=WAIT_S) == path
    assert [type(event) for event in events] == [
        generations.AttemptAccepted,
        generations.TokensReceived,
    ]


def test_probe_without_progress_reports_index_zero(
    target: ScriptedTarget,
) -> None:
    """Guards against recomputation because a probe was incomplete."""
    target.answer = (
        b'HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{"boot_id":  "b1"}'
    )
    probe = generations.ProbeTarget("e1", target.url, 3, (GENERATION,), 5.0)
    event = prober.probe(probe, lambda _: None)
    assert isinstance(event, generations.ProbeSucceeded)
    assert event.boot_id == "b1"
    assert event.next_index_by_generation_id == {GENERATION: 0}
    assert connection.CONNECT_TIMEOUT_S == 0.25
    assert socket.getdefaulttimeout() is None


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (b'{"running":3,"waiting":1,"kv_used":0.5}', (3, 1, 0.5)),
        (b'{"running":-1,"waiting":1,"kv_used":0.5}', None),
        (b'{"running":3}', None),
        (b"\xff", None),
    ],
)
def test_load_report_is_validated(
    target: ScriptedTarget, body: bytes, expected: tuple[float, ...] | None
) -> None:
    """Guards against invalid reports in the choice of targets."""
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    target.answer = head.encode() + body
    report = _read_load(target)
    assert (report and (report.running, report.waiting, report.kv_used)) == (
        expected
    )
    assert target.requests.get(timeout=WAIT_S) == "GET /load HTTP/1.1"


def test_load_read_of_an_unreachable_target_ends(
    target: ScriptedTarget,
) -> None:
    """Guards against a load read that never ends if the target is down."""
    target.stop()
    assert _read_load(target) is None


def test_load_read_of_an_unresponsive_target_ends(
    target: ScriptedTarget,
) -> None:
    """Guards against a load read that never ends without a response."""
    target.keeps_open = True
    assert _read_load(target, 0.05) is None


def _read_load(
    target: ScriptedTarget, timeout_s: float = WAIT_S
) -> interfaces.LoadReport | None:
    """Returns the report that the sink of one read received."""
    found = gevent.event.AsyncResult()
    engine = http_engine.HttpEngineApi(counters.Counters(None))
    request = interfaces.LoadRequest("e1", target.url, timeout_s)
    engine.read_load(request, found.set)
    report: interfaces.LoadReport | None = found.get(timeout=WAIT_S)
    return report
