"""Rounds of faults, and the resume latencies that they caused."""

from collections.abc import Sequence
import dataclasses

import gevent

from rattanpulley_standins._internal.injection import injector as injector_lib
from rattanpulley_standins._internal.load import record as record_lib

Kind = injector_lib.FaultKind
KINDS = (Kind.RESET, Kind.SILENT, Kind.PAUSED, Kind.QUARTER_LOST)
# Longer than the baselines' timeout of 5 s and than a restart's catching up.
EFFECT_S = 9.0
SETTLE_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class KindResult:
    """Effect of one kind of fault on one group of callers.

    Attributes:
        gaps_s: Last token before the fault to the first after it.
        not_resumed: Answers without any token after the fault.
    """

    gaps_s: tuple[float, ...]
    not_resumed: int


class Rounds:
    """Injects faults one after another.

    Args:
        injector: Chooses and harms engines.
        engine_count: Number of engines in the deployment.

    Attributes:
        injections: Faults so far.
    """

    def __init__(
        self, injector: injector_lib.Injector, engine_count: int
    ) -> None:
        self.injections: list[injector_lib.Injection] = []
        self._injector = injector
        self._engine_count = engine_count

    def run(self, kind: Kind) -> injector_lib.Injection:
        """Injects a fault, waits for its effect and repairs it."""
        injection = self._inject(kind)
        self.injections.append(injection)
        gevent.sleep(EFFECT_S)
        self._injector.repair(injection)
        gevent.sleep(SETTLE_S)
        return injection

    def result(
        self, kind: Kind, records: Sequence[record_lib.AnswerRecord]
    ) -> KindResult:
        """Returns the effect of all faults of a kind on some answers."""
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
        return KindResult(tuple(gaps_s), not_resumed)

    def _inject(self, kind: Kind) -> injector_lib.Injection:
        if kind is Kind.SILENT:
            return self._injector.stall_connections(self._injector.choose(1)[0])
        if kind is Kind.PAUSED:
            return self._injector.pause(self._injector.choose(1)[0])
        count = self._engine_count // 4 if kind is Kind.QUARTER_LOST else 1
        return self._injector.kill(kind, self._injector.choose(count))
