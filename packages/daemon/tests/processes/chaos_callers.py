"""Callers of the tests that harm a whole deployment."""

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


class LeavingCaller(caller.DaemonCaller):
    """Reads one answer and leaves several times, to come back elsewhere.

    Args:
        urls: Base URLs of the daemons in the order of its tries.
        request: What to ask for.
        leaves: Number of times that it leaves.
        rng: Decides after how many tokens it leaves.
    """

    def __init__(
        self,
        urls: Sequence[str],
        request: caller.AnswerRequest,
        leaves: int = 0,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__(urls, request)
        self._leaves_at = sorted(
            (rng or random.Random(0)).randrange(1, request.length)
            for _ in range(leaves)
        )

    def _receive(self, chunk: dict[str, Any]) -> None:
        super()._receive(chunk)
        index = self.record.checker.next_index
        if self._leaves_at and index >= self._leaves_at[0]:
            del self._leaves_at[0]
            raise caller.event_source.ConnectionLostError("the caller left")


def run_at_once(calls: Sequence[Callable[[], Any]]) -> "Running":
    """Starts all calls at the same moment."""
    return Running(calls)


class Running:
    """Calls in threads of their own."""

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

    def is_busy(self) -> bool:
        """Returns whether a call has not ended."""
        return any(thread.is_alive() for thread in self._threads)

    def results(self) -> list[Any]:
        """Waits for the end of all calls and returns their results."""
        for thread in self._threads:
            thread.join()
        return self._results


def deposit(url: str, key: str, delay_s: float = 0.0) -> tuple[int, str]:
    """Makes a call that must run at most once; returns code and run state.

    A broken connection gives code 0 and an empty run state.
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


def runs_by_key(deployment: launcher.Deployment) -> dict[str, int]:
    """Returns how often the action of each key ran, on all services."""
    counts: dict[str, int] = {}
    for service in deployment.services:
        for key, runs in deployment.stats(service.name)["runs_by_key"].items():
            counts[key] = counts.get(key, 0) + runs
    return counts
