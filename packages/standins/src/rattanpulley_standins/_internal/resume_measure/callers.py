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


class Reader(Protocol):
    """A caller of one answer."""

    record: record_lib.AnswerRecord

    def run(self) -> record_lib.AnswerRecord:
        """Reads the answer to its end."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerOptions:
    """Size of the groups.

    Attributes:
        daemon_callers: Callers of the daemons.
        baseline_callers: Callers of each baseline.
        length: Tokens of an answer.
        seed: Seed of lengths, keys and choices.
    """

    daemon_callers: int
    baseline_callers: int
    length: int
    seed: int


class CallerGroups:
    """Callers of the daemons and of both baselines on one deployment.

    Args:
        deployment: The running deployment.
        options: Size of the groups.

    Attributes:
        records_by_group: Answers of each group, also those in progress.
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
        self.repeated_by_group = dict.fromkeys(groups, 0)
        self._urls = [daemon.url for daemon in deployment.daemons]
        self._engines = _addresses(deployment)
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
        """Waits until all callers have ended their present answer."""
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
            self._read(group, caller.DaemonCaller(urls, request))
        else:
            policy = direct.RecoveryPolicy(group)
            reader = direct.DirectCaller(self._engines, request, policy, rng)
            self._read(group, reader)
            self.repeated_by_group[group] += reader.repeated_tokens

    def _read(self, group: str, reader: Reader) -> None:
        self.records_by_group[group].append(reader.record)
        reader.run()


def _addresses(
    deployment: deployment_lib.Deployment,
) -> Sequence[direct.EngineAddress]:
    return [
        direct.EngineAddress(engine.name, engine.url, engine.version)
        for engine in deployment.engines
    ]
