"""Groups of callers that run until they are stopped."""

from collections.abc import Sequence
import dataclasses
import random
from typing import Protocol

import gevent
from gevent import pool

from rattanpulley_standins._internal.launch import deployment as deployment_lib
from rattanpulley_standins._internal.load import caller
from rattanpulley_standins._internal.load import direct
from rattanpulley_standins._internal.load import record as record_lib

STAGGER_S = 3.0


class AnswerReader(Protocol):
    """Caller that reads one answer."""

    record: record_lib.AnswerRecord

    def run(self) -> record_lib.AnswerRecord:
        """Reads the answer to its end."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerOptions:
    """Sizes of the caller groups.

    Attributes:
        daemon_callers: Number of callers of the daemons.
        baseline_callers: Number of callers of each baseline.
        length: Mean answer length, in tokens.
        seed: Seed of answer lengths, keys and engine choices.
    """

    daemon_callers: int
    baseline_callers: int
    length: int
    seed: int


class CallerGroups:
    """Callers of the daemons and of both baselines on one deployment.

    Args:
        deployment: The running deployment.
        options: Sizes of the groups.

    Attributes:
        records_by_group: Answers of each group, including those in progress.
        repeated_tokens_by_group: Tokens that each group received again after
            a restart of an answer.
    """

    DAEMON = "daemon"

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        options: CallerOptions,
    ) -> None:
        groups = [
            self.DAEMON,
            *(policy.value for policy in direct.RecoveryPolicy),
        ]
        self.records_by_group: dict[str, list[record_lib.AnswerRecord]] = {
            group: [] for group in groups
        }
        self.repeated_tokens_by_group = dict.fromkeys(groups, 0)
        self._urls = [daemon.url for daemon in deployment.daemons]
        self._engines = _engine_addresses(deployment)
        self._options = options
        self._greenlets = pool.Group()
        self._is_stopping = False

    def start(self) -> None:
        """Starts all callers."""
        sizes = dict.fromkeys(
            self.records_by_group, self._options.baseline_callers
        )
        sizes[self.DAEMON] = self._options.daemon_callers
        for group, size in sizes.items():
            for number in range(size):
                self._greenlets.spawn(self._run_caller, group, number)

    def stop(self) -> None:
        """Stops the callers after their current answers and waits for them."""
        self._is_stopping = True
        self._greenlets.join(raise_error=True)

    def _run_caller(self, group: str, number: int) -> None:
        rng = random.Random(f"{self._options.seed}-{group}-{number}")
        gevent.sleep(rng.uniform(0, STAGGER_S))
        answers = 0
        while not self._is_stopping:
            key = f"{group}-{self._options.seed}-{number}-{answers}"
            self._run_answer(group, number, key, rng)
            answers += 1

    def _run_answer(
        self, group: str, number: int, key: str, rng: random.Random
    ) -> None:
        length = int(self._options.length * rng.uniform(0.75, 1.25))
        request = caller.AnswerRequest(key=key, length=length)
        if group == self.DAEMON:
            first = number % len(self._urls)
            urls = [*self._urls[first:], *self._urls[:first]]
            self._read_answer(group, caller.DaemonCaller(urls, request))
        else:
            policy = direct.RecoveryPolicy(group)
            reader = direct.DirectCaller(self._engines, request, policy, rng)
            self._read_answer(group, reader)
            self.repeated_tokens_by_group[group] += reader.repeated_tokens

    def _read_answer(self, group: str, reader: AnswerReader) -> None:
        self.records_by_group[group].append(reader.record)
        reader.run()


def _engine_addresses(
    deployment: deployment_lib.Deployment,
) -> Sequence[direct.EngineAddress]:
    return [
        direct.EngineAddress(engine.name, engine.url, engine.version)
        for engine in deployment.engines
    ]
