"""Attempts of one request and what they spend."""

import types

import pytest
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import attempt_progress
from rattanpulleyd._internal.relay import attempts as attempts_lib
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import target_connection

TARGET = relay_builders.target("t")


@pytest.fixture
def context():
    context = relay_builders.make_context("a")
    context.observed = []
    context.trials = types.SimpleNamespace(
        admit_request=lambda *_: False,
        record_answer=lambda *row: context.observed.append(row),
    )
    context.prober = types.SimpleNamespace(recent_counts=dict)
    return context


def _attempts(context) -> attempts_lib.RequestAttempts:
    """Returns the attempts of a new resumable stream."""
    route = relay_builders.route(
        serving.RouteKind.STREAM, resumable=True, timeout_s=60.0
    )
    admission = relay_builders.admission(route, clock.now_s())
    return attempts_lib.RequestAttempts(context, admission, 12)


def _record(attempts, kind: serving.FailureKind) -> None:
    error = target_connection.AttemptError(kind, "reason")
    progress = attempt_progress.AttemptProgress(clock.now_s())
    attempts.record(TARGET, error, progress)


# A sound new version was rolled back for one silence under many requests.
def test_one_silence_under_many_requests_is_one_bad_answer(context):
    for _ in range(5):
        _record(_attempts(context), serving.FailureKind.UNRESPONSIVE)
    assert len(context.observed) == 1
    _record(_attempts(context), serving.FailureKind.FAILED)
    assert len(context.observed) == 2


# Budget that a departure had reserved was taken a second time.
def test_reserved_retry_is_taken_once(context):
    context.retry_budget = serving.PoolRetryBudget(10.0, 0.0, 1.0)
    attempts = _attempts(context)
    assert attempts.reserve_retry()
    assert attempts.reserve_retry()
    _record(attempts, serving.FailureKind.UNRESPONSIVE)
    assert attempts.can_retry()
    attempts.begin_attempt()
    _record(attempts, serving.FailureKind.CORRUPT)
    assert not attempts.can_retry()
    assert attempts.denial is serving.RetryDenial.RETRY_BUDGET


# One silence of a target of a sound new version, under requests whose time
# ended within it, counted as many bad answers.
def test_timeouts_in_one_silence_are_one_bad_answer(context):
    for _ in range(5):
        _record(_attempts(context), serving.FailureKind.TIMED_OUT)
    assert len(context.observed) == 1


# Streams that left one silent target together made its fault score so high that
# it got no work for seconds after it had gone on.
def test_one_silence_under_many_requests_is_one_fault(context):
    for _ in range(30):
        _record(_attempts(context), serving.FailureKind.UNRESPONSIVE)
    assert context.loads.faults(TARGET.target_id, clock.now_s()) < 2.0


# A stream whose time ended right after its departure kept the retry that it had
# reserved, which other requests lacked.
def test_reserved_retry_is_returned_at_the_end_of_the_time(context):
    context.retry_budget = serving.PoolRetryBudget(10.0, 0.0, 1.0)
    attempts = _attempts(context)
    assert attempts.reserve_retry()
    _record(attempts, serving.FailureKind.UNRESPONSIVE)
    attempts.deadline_s = lambda: 0.0
    assert not attempts.can_retry()
    assert _attempts(context).reserve_retry()


# Requests that the host's own stop ended counted against a new version.
def test_end_of_a_stop_is_no_bad_answer(context):
    context.host_stop.deadline_s = clock.now_s()
    _record(_attempts(context), serving.FailureKind.TIMED_OUT)
    assert context.observed == []


# A target that stayed silent got new work 0.4 s after its first failure, since
# only that one blocked it.
def test_each_failure_of_a_silent_target_blocks_it(context):
    _record(_attempts(context), serving.FailureKind.UNRESPONSIVE)
    load = context.loads.load_of(TARGET.target_id)
    load.blocked_until_s = float("-inf")
    _record(_attempts(context), serving.FailureKind.UNRESPONSIVE)
    assert load.blocked_until_s > clock.now_s()


# A request whose route had become unsafe between two attempts ran twice.
@pytest.mark.parametrize("prefix", ["/a/", "/a/x/"])
def test_request_that_became_unsafe_is_not_retried(context, prefix):
    attempts = _attempts(context)
    unsafe = relay_builders.route(
        serving.RouteKind.UNSAFE, path_prefix=prefix, timeout_s=60.0
    )
    relay_builders.accept_routes(context, 2, unsafe)
    _record(attempts, serving.FailureKind.UNRESPONSIVE)
    assert not attempts.can_retry()
    assert attempts.denial is serving.RetryDenial.MAY_HAVE_RUN


# A target that refuses has not run the request, which may be sent elsewhere.
def test_request_that_became_unsafe_is_retried_after_a_refusal(context):
    attempts = _attempts(context)
    unsafe = relay_builders.route(serving.RouteKind.UNSAFE, timeout_s=60.0)
    relay_builders.accept_routes(context, 2, unsafe)
    _record(attempts, serving.FailureKind.REFUSED)
    assert attempts.can_retry()


# A timeout that was shortened while requests waited for a sound new version was
# a bad answer of that version, and the silences that followed were none.
def test_end_by_a_shortened_timeout_is_no_bad_answer(context):
    attempts = _attempts(context)
    shorter = relay_builders.route(timeout_s=0.0)
    relay_builders.accept_routes(context, 2, shorter)
    assert attempts.deadline_s() <= clock.now_s()
    _record(attempts, serving.FailureKind.TIMED_OUT)
    assert context.observed == []
    _record(_attempts(context), serving.FailureKind.UNRESPONSIVE)
    assert len(context.observed) == 1


# Guards against a maximum of another version for the attempts of a request: it
# keeps the one under which it was admitted, in both directions of a change.
@pytest.mark.parametrize("maximum", [1, 9])
def test_request_keeps_its_maximum_of_attempts(context, maximum):
    attempts = _attempts(context)
    changed = relay_builders.route(
        serving.RouteKind.STREAM,
        resumable=True,
        timeout_s=60.0,
        max_attempts=maximum,
    )
    relay_builders.accept_routes(context, 2, changed)
    retries = 0
    while attempts.left_after_current >= 0:
        _record(attempts, serving.FailureKind.REFUSED)
        retries += attempts.can_retry()
    assert (attempts.sent, retries) == (5, 4)


# Guards against the retry budget of another pool: a request is counted, and its
# retries are, in the pool that it was admitted to, also if that is gone.
def test_request_keeps_the_retry_budget_of_its_pool(context):
    context.retry_budget = serving.PoolRetryBudget(10.0, 0.0, 1.0)
    attempts = _attempts(context)
    moved = relay_builders.route(
        serving.RouteKind.STREAM,
        resumable=True,
        timeout_s=60.0,
        pools=(serving.WeightedPool("other", 1.0),),
    )
    relay_builders.accept_routes(context, 2, moved)
    _record(attempts, serving.FailureKind.CORRUPT)
    assert attempts.can_retry()
    now_s = clock.now_s()
    assert not context.retry_budget.window_of("pool").try_acquire(now_s)
    assert context.retry_budget.window_of("other").try_acquire(now_s)


# A report of a request beside a change had no record of the version that had
# admitted the request, only of the one at its end.
def test_end_of_a_request_names_both_versions(context):
    attempts = _attempts(context)
    relay_builders.accept_routes(context, 2, relay_builders.route())
    fields = attempts.log_fields()
    assert (fields["admitted_version"], fields["config_version"]) == (1, 2)


@pytest.fixture
def short_budget(context, monkeypatch):
    """A host that may retry once in ten seconds; waits move the clock."""
    context.retry_budget = serving.PoolRetryBudget(10.0, 0.0, 1.0)
    assert context.retry_budget.window_of("pool").try_acquire(clock.now_s())
    waits = types.SimpleNamespace(passed_s=0.0, on_wait=lambda: None)
    start_s = clock.now_s()

    def pause(seconds: float) -> None:
        waits.passed_s += seconds
        waits.on_wait()

    monkeypatch.setattr(clock, "now_s", lambda: start_s + waits.passed_s)
    monkeypatch.setattr(target_connection, "pause", pause)
    return waits


def _begun(context) -> attempts_lib.RequestAttempts:
    attempts = _attempts(context)
    attempts.answer_started = True
    _record(attempts, serving.FailureKind.UNRESPONSIVE)
    return attempts


# Streams were cut with most of their time left while the host had no budget.
def test_begun_answer_waits_for_retry_budget(context, short_budget):
    attempts = _begun(context)
    assert attempts.can_retry()
    assert 9.5 < short_budget.passed_s < 10.5
    assert attempts.log_fields()["budget_wait_s"] == pytest.approx(
        short_budget.passed_s, abs=0.01
    )


# A client without a part of the answer can return to another host.
def test_request_without_an_answer_does_not_wait_for_budget(
    context, short_budget
):
    attempts = _attempts(context)
    _record(attempts, serving.FailureKind.UNRESPONSIVE)
    assert not attempts.can_retry()
    assert short_budget.passed_s == 0.0


@pytest.mark.parametrize(
    ("denial", "change"),
    [
        (
            serving.RetryDenial.TIME,
            lambda context: setattr(context.host_stop, "deadline_s", 0.0),
        ),
        (
            serving.RetryDenial.MAY_HAVE_RUN,
            lambda context: relay_builders.accept_routes(
                context,
                2,
                relay_builders.route(serving.RouteKind.UNSAFE, timeout_s=60.0),
            ),
        ),
    ],
)
def test_wait_for_budget_ends_when_no_attempt_is_possible(
    context, short_budget, denial, change
):
    """A stop, or a change of the route, ends the wait."""
    attempts = _begun(context)
    short_budget.on_wait = lambda: change(context)
    assert not attempts.can_retry()
    assert attempts.denial is denial
    assert short_budget.passed_s < 1.0


# A wait that its client had left kept a retry from all other requests.
def test_wait_that_its_client_leaves_holds_no_retry(context, short_budget):
    attempts = _begun(context)

    def leave() -> None:
        raise context_lib.ClientDisconnectedError

    short_budget.on_wait = leave
    with pytest.raises(context_lib.ClientDisconnectedError):
        attempts.can_retry()
    assert attempts.log_fields()["budget_wait_s"] > 0.0
    short_budget.passed_s = 10.0
    assert _attempts(context).reserve_retry()


# A stream whose content was known to crash targets by then waited on, took a
# retry from others, and was cut.
def test_wait_ends_when_the_content_is_refused(context, short_budget):
    attempts = _begun(context)
    short_budget.on_wait = lambda: setattr(
        attempts, "_refused_for_s", lambda: 900.0
    )
    assert not attempts.can_retry()
    assert short_budget.passed_s < 1.0


# A stream was cut 0.1 s before the end of its time, when a retry is not worth
# taking, as if it could not have gone on.
def test_wait_for_budget_lasts_to_the_end_of_the_time(context, short_budget):
    attempts = _begun(context)
    end_s = clock.now_s() + 5.0
    attempts.deadline_s = lambda: end_s
    assert not attempts.can_retry()
    assert clock.now_s() >= end_s
    assert attempts.denial is serving.RetryDenial.RETRY_BUDGET
