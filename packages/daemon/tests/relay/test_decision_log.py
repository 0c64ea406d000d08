"""Tests of the bounded log queue."""

from collections.abc import Iterator
import json

import loguru
import pytest

from rattanpulleyd._internal.relay import decision_log


@pytest.fixture
def log() -> Iterator[decision_log.DecisionLog]:
    """A log whose queue is not written."""
    yield decision_log.DecisionLog("host-1")
    loguru.logger.remove()


def _events(log: decision_log.DecisionLog) -> list[str]:
    return [json.loads(line)["event"] for line in log._lines]


def test_failures_are_kept_longer_than_successes(
    log: decision_log.DecisionLog,
) -> None:
    """Guards against losing the lines about failures under load."""
    for _ in range(decision_log.SUCCESS_QUEUE_LINES + 50):
        log.success("good")
    log.failure("bad", request="1")
    log.change("new")
    events = _events(log)
    assert events.count("good") == decision_log.SUCCESS_QUEUE_LINES
    assert events[-2:] == ["bad", "new"]
    assert log._dropped == 50


def test_stopped_reader_drops_lines_and_bounds_memory(
    log: decision_log.DecisionLog,
) -> None:
    """Guards against unbounded memory when the reader stops."""
    for _ in range(decision_log.QUEUE_LINES + 7):
        log.failure("bad")
    assert len(log._lines) == decision_log.QUEUE_LINES
    assert log._dropped == 7


def test_lines_contain_host_and_fields(log: decision_log.DecisionLog) -> None:
    """Guards against lines that lack the inputs of a decision."""
    log.failure("attempt.ended", request="r", target="t", age_s=0.2)
    [line] = [json.loads(line) for line in log._lines]
    assert line["host"] == "host-1"
    assert (line["request"], line["target"], line["age_s"]) == ("r", "t", 0.2)
