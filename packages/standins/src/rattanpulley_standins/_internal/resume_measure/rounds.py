"""Injects faults in rounds and collects the resume latencies."""

from collections.abc import Sequence
import dataclasses

import gevent

from rattanpulley_standins._internal.injection import injector as injector_lib
from rattanpulley_standins._internal.load import record as record_lib

Kind = injector_lib.FaultKind
FAULT_KINDS = (Kind.RESET, Kind.SILENT, Kind.PAUSED, Kind.QUARTER_LOST)
# Longer than the baselines' timeout of 5 s and than the time that a restarted
# answer needs to reach the position where it was interrupted.
EFFECT_DURATION_S = 9.0
SETTLE_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyResult:
    """Resume latencies of one group of callers for one kind of fault.

    Attributes:
        gaps_s: Time from the last token before a fault to the first one after
            it, for each resumed answer.
        not_resumed: Number of answers without a token after a fault.
    """

    gaps_s: tuple[float, ...]
    not_resumed: int


class FaultRounds:
    """Injects faults one after another.

    Args:
        injector: Chooses engines and injects faults into them.
        engine_count: Number of engines in the deployment.

    Attributes:
        injections: Injected faults so far.
    """

    def __init__(
        self, injector: injector_lib.Injector, engine_count: int
    ) -> None:
        self.injections: list[injector_lib.Injection] = []
        self._injector = injector
        self._engine_count = engine_count

    def run(self, kind: Kind) -> injector_lib.Injection:
        """Injects a fault, waits for its effect and repairs the engines."""
        injection = self._inject(kind)
        self.injections.append(injection)
        gevent.sleep(EFFECT_DURATION_S)
        self._injector.repair(injection)
        gevent.sleep(SETTLE_S)
        return injection

    def result(
        self, kind: Kind, records: Sequence[record_lib.AnswerRecord]
    ) -> LatencyResult:
        """Returns the latencies of some answers for all faults of a kind."""
        gaps_s: list[float] = []
        not_resumed = 0
        for injection in self.injections:
            if injection.kind is not kind:
                continue
            for victim in injection.affected_records(records):
                gap = victim.gap_at(injection.at_s)
                if gap is None:
                    not_resumed += 1
                else:
                    gaps_s.append(gap.length_s)
        return LatencyResult(tuple(gaps_s), not_resumed)

    def _inject(self, kind: Kind) -> injector_lib.Injection:
        if kind is Kind.SILENT:
            return self._injector.stall_connections(self._injector.choose(1)[0])
        if kind is Kind.PAUSED:
            return self._injector.pause(self._injector.choose(1)[0])
        count = self._engine_count // 4 if kind is Kind.QUARTER_LOST else 1
        return self._injector.kill(kind, self._injector.choose(count))
