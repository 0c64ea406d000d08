"""Callers for the tests that inject faults into a deployment."""

from collections.abc import Callable, Sequence
import random
import threading
import time
from typing import Any

from rattanpulley_standins import launcher
from rattanpulley_standins._internal import http_json
from rattanpulley_standins._internal.load import caller

TIMEOUT_S = 40.0
ACCOUNT = "acme"


class DisconnectingCaller(caller.DaemonCaller):
    """Reads one answer, disconnecting and reconnecting several times.

    Each reconnect goes to the next daemon.

    Args:
        urls: Base URLs of the daemons in the order in which they are tried.
        request: The request to send.
        disconnects: Number of times that the caller disconnects.
        rng: Source of the token indexes at which the caller disconnects.
    """

    def __init__(
        self,
        urls: Sequence[str],
        request: caller.AnswerRequest,
        disconnects: int = 0,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__(urls, request)
        self._disconnects_at = sorted(
            (rng or random.Random(0)).randrange(1, request.length)
            for _ in range(disconnects)
        )

    def _receive(self, chunk: dict[str, Any]) -> None:
        super()._receive(chunk)
        index = self.record.checker.next_index
        if self._disconnects_at and index >= self._disconnects_at[0]:
            del self._disconnects_at[0]
            raise caller.event_source.ConnectionLostError("the caller left")


def run_concurrently(calls: Sequence[Callable[[], Any]]) -> "ConcurrentCalls":
    """Starts all calls at the same time."""
    return ConcurrentCalls(calls)


class ConcurrentCalls:
    """Calls that run concurrently, each in its own thread."""

    def __init__(self, calls: Sequence[Callable[[], Any]]) -> None:
        self._results: list[Any] = [None] * len(calls)
        barrier = threading.Barrier(len(calls))
        self._threads = [
            threading.Thread(target=self._run, args=(barrier, i, call))
            for i, call in enumerate(calls)
        ]
        for thread in self._threads:
            thread.start()

    def _run(
        self, barrier: threading.Barrier, index: int, call: Callable[[], Any]
    ) -> None:
        barrier.wait()
        self._results[index] = call()

    def is_running(self) -> bool:
        """Returns whether any call is still running."""
        return any(thread.is_alive() for thread in self._threads)

    def results(self) -> list[Any]:
        """Waits for all calls and returns their results in order."""
        for thread in self._threads:
            thread.join()
        return self._results


def send_deposit(url: str, key: str, delay_s: float = 0.0) -> tuple[int, str]:
    """Sends a call that must run at most once.

    Returns:
        The result code and the run state; 0 and an empty string if the
        connection broke.
    """
    time.sleep(delay_s)
    try:
        answer = http_json.call(
            "POST",
            f"{url}/services/deposits/a",
            {"key": key},
            {"Authorization": f"Bearer {ACCOUNT}.x", "Idempotency-Key": key},
            TIMEOUT_S,
        )
    except http_json.CallError:
        return 0, ""
    if answer.status == 200:
        return 1000, "ran"
    error = answer.body["error"]
    return error["code"], error["run"]


def get_runs_by_key(deployment: launcher.Deployment) -> dict[str, int]:
    """Returns how often the action of each key ran, over all services."""
    counts: dict[str, int] = {}
    for service in deployment.services:
        for key, runs in deployment.stats(service.name)["runs_by_key"].items():
            counts[key] = counts.get(key, 0) + runs
    return counts
