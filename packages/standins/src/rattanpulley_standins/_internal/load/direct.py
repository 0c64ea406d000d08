"""Callers that use the engines without a daemon, as a baseline."""

from collections.abc import Sequence
import dataclasses
import enum
import json
import random
import time
from typing import Any

from rattanpulley_standins._internal.load import caller
from rattanpulley_standins._internal.load import checker as checker_lib
from rattanpulley_standins._internal.load import event_source
from rattanpulley_standins._internal.load import record as record_lib

READ_TIMEOUT_S = 5.0
RETRY_S = 0.05


class RecoveryPolicy(enum.Enum):
    """Reaction to a stream that is lost or sends nothing for 5 s."""

    RESTART = "restart"
    RESUME_AFTER_TIMEOUT = "resume_after_timeout"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineAddress:
    """Engine that a caller can use."""

    name: str
    url: str
    version: str


class DirectCaller:
    """Reads one answer from the engines.

    A closed connection is detected immediately and an unresponsive one after
    `READ_TIMEOUT_S`. The record contains only tokens that make the answer
    longer than before, so the gap of a restart includes the time until it has
    caught up.

    Args:
        engines: Engines to choose from.
        request: Request to send.
        policy: Reaction to a failure.
        rng: Source of generation ids and of the choice of engines.

    Attributes:
        record: Record of the answer so far.
        repeated_tokens: Number of tokens received again after a restart.
    """

    def __init__(
        self,
        engines: Sequence[EngineAddress],
        request: caller.AnswerRequest,
        policy: RecoveryPolicy,
        rng: random.Random,
    ) -> None:
        self.record = request.new_record()
        self.repeated_tokens = 0
        self._engines = engines
        self._request = request
        self._policy = policy
        self._rng = rng
        self._engine = rng.choice(engines)
        self._generation_id = f"{rng.getrandbits(128):032x}"
        self._attempt = 1
        self._tokens: list[str] = []
        self._max_tokens_received = 0
        self._has_received = False

    def run(self) -> record_lib.AnswerRecord:
        """Reads until the answer ends or times out."""
        end_s = self.record.started_s + self._request.timeout_s
        while not self.record.checker.finished:
            if time.monotonic() > end_s:
                self.record.error = "timed out"
                break
            self._attempt_once()
        return self.record

    def _attempt_once(self) -> None:
        try:
            self._read_stream()
        except event_source.ConnectionLostError:
            self.record.reconnects += 1
            self._recover()
        except event_source.HttpStatusError:
            self.record.refusals += 1
            self._recover()

    def _read_stream(self) -> None:
        source = event_source.EventSource(
            f"{self._engine.url}/v1/completions",
            "POST",
            self._body(),
            {},
            READ_TIMEOUT_S,
        )
        for event in source:
            content = json.loads(event.data)
            if "finish_reason" in content:
                self.record.checker.finish()
                return
            self._receive(content["token"])
        raise event_source.ConnectionLostError(
            "the stream ended without a finish reason"
        )

    def _receive(self, token: str) -> None:
        self._has_received = True
        self._tokens.append(token)
        count = self.record.checker.feed(token)
        if self.record.checker.next_index > self._max_tokens_received:
            self._max_tokens_received = self.record.checker.next_index
            self.record.record_tokens(count, time.monotonic())
        else:
            self.repeated_tokens += 1

    def _recover(self) -> None:
        failed = self._engine
        others = [e for e in self._engines if e is not failed]
        if self._tokens and self._policy is RecoveryPolicy.RESUME_AFTER_TIMEOUT:
            others = [e for e in others if e.version == failed.version]
            self._attempt += 1
        else:
            self._restart()
        self._engine = self._rng.choice(others)
        # The new engine may have failed too; the delay prevents a busy loop
        # when no engine is available.
        if not self._has_received:
            time.sleep(RETRY_S)
        self._has_received = False

    def _restart(self) -> None:
        self._generation_id = f"{self._rng.getrandbits(128):032x}"
        self._attempt = 1
        self._tokens = []
        self.record.abandoned_short_ids.add(
            self.record.checker.short_generation_id
        )
        length = self._request.length
        self.record.checker = checker_lib.AnswerChecker(length)

    def _body(self) -> dict[str, Any]:
        return {
            "model": self._request.model,
            "version": self._engine.version,
            "prompt": self._request.prompt,
            "stream": True,
            "max_tokens": self._request.length,
            "seed": 1,
            "temperature": 0.7,
            "generation_id": self._generation_id,
            "attempt": self._attempt,
            "resume_tokens": self._tokens,
            "priority": 0,
        }
