"""Compares the transcripts of complete sessions with golden files.

A file contains the bytes that callers receive, the calls to targets, the log
lines and the counters. Run with RATTANPULLEY_WRITE_GOLDEN=1 to rewrite the
files.
"""

from typing import Any

from rattanpulley_core import interfaces
from rattanpulleyd._internal.api import admission
from rattanpulleyd._internal.config import table_watch

COMPLETION = {"model": "m", "prompt": "p", "seed": 7, "stream": True}
CHAT = {
    "model": "m",
    "messages": [{"role": "user", "content": "hi"}],
    "max_tokens": 9,
}


def _completion(daemon: Any, **headers: str) -> Any:
    return daemon.request(
        "/v1/completions", COMPLETION, idempotency_key="k", **headers
    )


def test_stream(session: Any) -> None:
    """Guards against changes of the bytes of a streamed completion."""
    daemon = session.daemon()
    _completion(daemon)
    daemon.engines.accept()
    daemon.engines.tokens(0, "one ", "two ")
    daemon.engines.tokens(2, 'three "\n')
    daemon.engines.finish(3)
    session.check("stream")


def test_chat(session: Any) -> None:
    """Guards against changes of complete and streamed chat answers."""
    daemon = session.daemon()
    daemon.request("/v1/chat/completions", CHAT, idempotency_key="a")
    daemon.engines.tokens(0, "one ", "two ")
    daemon.engines.finish(2)
    options = {"stream": True, "stream_options": {"include_usage": True}}
    daemon.request("/v1/chat/completions", CHAT | options, idempotency_key="b")
    daemon.engines.tokens(0, "one ", "two ")
    daemon.engines.finish(2)
    session.check("chat")


def test_target_lost(session: Any) -> None:
    """Guards against lost or repeated tokens when a target fails."""
    daemon = session.daemon()
    _completion(daemon)
    daemon.engines.accept()
    daemon.engines.tokens(0, "one ", "two ")
    daemon.engines.fail("reset")
    daemon.engines.accept("boot-2")
    daemon.engines.tokens(2, "three ")
    daemon.engines.tokens(2, "three ", "four ")
    daemon.engines.finish(4)
    daemon.engines.fail_probe()
    session.advance(1.0)
    daemon.engines.answer_probe("boot-3", {})
    session.advance(0.05)
    session.check("target_lost")


def test_unresponsive_connection(session: Any) -> None:
    """Guards against recomputation when only the connection is unresponsive."""
    daemon = session.daemon()
    _completion(daemon)
    daemon.engines.accept()
    daemon.engines.tokens(0, "one ")
    session.advance(0.1)
    daemon.engines.tokens(1, "two ")
    session.advance(0.5)
    generation_id = daemon.engines._request.generation_id
    daemon.engines.answer_probe("boot-1", {generation_id: 3})
    daemon.engines.accept()
    daemon.engines.tokens(2, "three ")
    daemon.engines.finish(3)
    session.check("unresponsive_connection")


def test_reconnect(session: Any) -> None:
    """Guards against lost tokens when a caller reconnects to another daemon."""
    first = session.daemon("entry-1")
    caller = _completion(first)
    first.engines.accept()
    first.engines.tokens(0, "one ", "two ")
    caller.disconnect()
    second = session.daemon("entry-2")
    _completion(second, last_event_id=caller.last_event_id())
    second.engines.accept()
    second.engines.tokens(0, "one ", "two ", "three ")
    second.engines.finish(3)
    altered = caller.last_event_id().replace("engine-", "engine%2D")
    _completion(second, last_event_id=altered)
    session.check("reconnect")


def test_double_failure(session: Any) -> None:
    """Guards against an answer that mixes two generations."""
    first = session.daemon("entry-1")
    caller = _completion(first)
    first.engines.accept()
    first.engines.tokens(0, "one ", "two ")
    caller.disconnect()
    for name, token in (("entry-2", "two "), ("entry-3", "other ")):
        other = session.daemon(name)
        _completion(other, last_event_id=caller.last_event_id())
        other.engines.fail("not_held")
        other.engines.accept()
        other.engines.tokens(0, "one ", token, "three ")
        if token == "two ":
            other.engines.finish(3)
    session.check("double_failure")


def test_refusals(session: Any) -> None:
    """Guards against errors that lack a code, run state or hint."""
    daemon = session.daemon()
    path = "/v1/completions"
    daemon.request(path, b"{")
    daemon.request(path, COMPLETION | {"n": 2})
    daemon.request(path, COMPLETION | {"model": "x"})
    daemon.request(path, COMPLETION, x_route="other")
    daemon.request(path, COMPLETION, authorization="")
    daemon.request(path, COMPLETION, last_event_id="1:2")
    daemon.request(path, COMPLETION, IN_FLIGHT=str(admission.MAX_IN_FLIGHT + 1))
    daemon.request("/v1/nothing", {})
    daemon.request("/services/none/x", {})
    stock = daemon.runtime.config.routes.routes_by_name["stock"]
    assert daemon.runtime.limits.admit(stock, "acme")
    daemon.request("/services/stock/x", {})
    daemon.runtime.limits.release("stock", "acme")
    daemon.request(path, COMPLETION, idempotency_key="r")
    daemon.engines.fail("rejected", "the prompt is too long")
    daemon.runtime.set_draining()
    daemon.request(path, COMPLETION)
    daemon.request("/services/stock/x", {})
    daemon.request("/ready", method="GET")
    session.check("refusals")


def test_error_after_first_byte(session: Any) -> None:
    """Guards against a failed stream that looks like a complete answer."""
    daemon = session.daemon()
    _completion(daemon)
    daemon.engines.accept()
    daemon.engines.tokens(0, "one ")
    session.advance(0.1)
    daemon.engines.fail("rejected", "the context is full")
    session.check("error_after_first_byte")


def test_configuration(session: Any) -> None:
    """Guards against reverted tables and repeated log lines."""
    daemon = session.daemon()
    key = "tables/routes"
    objects = session.store.objects
    newest = objects[key]
    for version, value in (
        (3, {"schema": 1, "rows": {}}),
        (1, newest.value),
        (3, newest.value),
        (4, {"schema": 1, "rows": []}),
    ):
        objects[key] = interfaces.StoredObject(key, value, version, version)
        daemon.watch.list_once()
    for is_down in (True, True, False):
        session.store.down = is_down
        daemon.poll.poll_once()
    assert daemon.runtime.config.routes.version == 3
    assert table_watch.TABLE_KEY_PREFIX == "tables/"
    session.check("configuration")


def test_services(session: Any) -> None:
    """Guards against a second run of a call that must run at most once."""
    daemon = session.daemon()
    results = daemon.services.results
    not_sent = interfaces.ServiceNotSentError("refused")
    lost = interfaces.ServiceOutcomeUnknownError("reset")
    results += [lost, b"stock"]
    daemon.request("/services/stock/a", {"q": 1}, QUERY_STRING="x")
    results += [not_sent, not_sent]
    daemon.request("/services/stock/a", {"q": 1})
    pay = "/services/pay/order/7"
    daemon.request(pay, {"q": 1})
    results += [not_sent, b"paid"]
    daemon.request(pay, {"q": 1}, idempotency_key="k1")
    daemon.request(pay, {"q": 1}, idempotency_key="k1")
    daemon.request(pay, {"q": 2}, idempotency_key="k1")
    results += [lost]
    daemon.request(pay, {"q": 1}, idempotency_key="k2")
    daemon.request(pay, {"q": 1}, idempotency_key="k2")
    session.store.down = True
    daemon.request(pay, {"q": 1}, idempotency_key="k3")
    session.check("services")


def test_retried_action(session: Any) -> None:
    """Guards against not_run for a key whose action ran before."""
    daemon = session.daemon()
    daemon.services.results += [b"paid"]
    pay = "/services/pay/order/7"
    daemon.request(pay, {"q": 1}, idempotency_key="ran")
    session.store.down = True
    daemon.request(pay, {"q": 1}, idempotency_key="ran")
    daemon.request(pay, {"q": 1}, idempotency_key="new")
    session.store.down = False
    daemon.runtime.set_draining()
    daemon.request(pay, {"q": 1}, idempotency_key="ran")
    daemon.request(pay, {"q": 1}, idempotency_key="new")
    session.check("retried_action")


def test_claim_is_deleted_after_its_retention_time(session: Any) -> None:
    """Guards against claim records that the daemon never deletes."""
    daemon = session.daemon()
    daemon.services.results += [b"paid"]
    daemon.request("/services/pay/order/7", {"q": 1}, idempotency_key="ran")
    claimed = [k for k in session.store.objects if k.startswith("claims/")]
    assert len(claimed) == 1
    for hours in (23, 2):
        assert claimed[0] in session.store.objects
        session.clock.now_s += hours * 3600.0
        # The first tick after a long time may list records.
        for _ in range(3):
            daemon.retention.tick()
            session.clock.now_s += 1.0
    assert claimed[0] not in session.store.objects
