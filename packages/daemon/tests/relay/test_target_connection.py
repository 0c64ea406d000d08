"""Attempts of a process that has used up its descriptors."""

import errno
import os
import types

import pytest
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import plain_relay
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import target_prober


@pytest.fixture
def _no_descriptors(monkeypatch):
    """Lets no further socket be opened."""

    def fail(*_arguments: object) -> None:
        raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))

    monkeypatch.setattr(target_connection.socket, "socket", fail)


@pytest.fixture
def context():
    """A context with three targets, which are chosen in turn."""
    built = relay_builders.make_logged_context("h")
    entries = iter(relay_builders.target(f"t-{i}") for i in range(99))
    built.placement = types.SimpleNamespace(
        choose=lambda *_: next(entries),
        shortage=lambda *_: serving.Shortage(),
    )
    built.trials = types.SimpleNamespace(admit_request=lambda *_: False)
    built.prober = types.SimpleNamespace(recent_counts=dict)
    return built


# The error of the socket ended the request as a program error: with 502, which
# an unsafe request must not be repeated after, although nothing was sent. A
# stream that had begun was cut.
@pytest.mark.usefixtures("_no_descriptors")
@pytest.mark.parametrize(
    "kind", [serving.RouteKind.SAFE, serving.RouteKind.UNSAFE]
)
def test_request_without_a_socket_is_refused_as_not_run(context, kind):
    route = relay_builders.route(kind)
    relay_builders.accept_routes(context, 1, route)
    admission = relay_builders.admission(route, clock.now_s())
    response = plain_relay.PlainRelay(context, admission).run()
    assert response.status == 503
    names = [name.lower() for name, _ in response.headers]
    assert b"retry-after" in names


# A lack of descriptors on this host is no fault of the targets, which the host
# would leave for others and report as crashed.
@pytest.mark.usefixtures("_no_descriptors")
def test_lack_of_sockets_is_no_fault_of_the_target():
    connection = target_connection.TargetConnection(relay_builders.target("t"))
    with pytest.raises(target_connection.AttemptError) as raised:
        connection.connect(1.0)
    connection.close()
    assert raised.value.kind in serving.FAILURES_BEFORE_SENDING
    assert not serving.RULE_BY_FAILURE[raised.value.kind].is_fault
    assert raised.value.kind is not serving.FailureKind.NOT_CONNECTED


# The error ended the stream that had asked for the probe.
@pytest.mark.usefixtures("_no_descriptors")
def test_probe_without_a_socket_ends_as_unanswered(context):
    reader = types.SimpleNamespace(path=b"/report")
    prober = target_prober.TargetProber(reader, context.metrics)
    assert prober.probe(relay_builders.target("t")) is None
