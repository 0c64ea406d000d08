"""Tests of the bounded log."""

from collections.abc import Iterator
import json

import loguru
import pytest

from rattanpulleyd._internal.relay import decision_log


@pytest.fixture
def log() -> Iterator[decision_log.DecisionLog]:
    """A log that nobody reads."""
    yield decision_log.DecisionLog("host-1")
    loguru.logger.remove()


def _events(log: decision_log.DecisionLog) -> list[str]:
    return [json.loads(line)["event"] for line in log._lines]


def test_failures_are_kept_longer_than_successes(
    log: decision_log.DecisionLog,
) -> None:
    """Under load the lines that explain a failure matter most."""
    for _ in range(decision_log.SUCCESS_QUEUE_LINES + 50):
        log.success("good")
    log.failure("bad", request="1")
    log.change("new")
    events = _events(log)
    assert events.count("good") == decision_log.SUCCESS_QUEUE_LINES
    assert events[-2:] == ["bad", "new"]
    assert log._dropped == 50


def test_a_stopped_reader_costs_lines_and_no_memory(
    log: decision_log.DecisionLog,
) -> None:
    """Memory must stay bounded whatever the reader does."""
    for _ in range(decision_log.QUEUE_LINES + 7):
        log.failure("bad")
    assert len(log._lines) == decision_log.QUEUE_LINES
    assert log._dropped == 7


def test_lines_name_host_and_inputs(log: decision_log.DecisionLog) -> None:
    """A line without its inputs explains nothing."""
    log.failure("attempt.ended", request="r", target="t", age_s=0.2)
    [line] = [json.loads(line) for line in log._lines]
    assert line["host"] == "host-1"
    assert (line["request"], line["target"], line["age_s"]) == ("r", "t", 0.2)
