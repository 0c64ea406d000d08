"""Bounded ejection of failing targets (outlier ejection)."""

from collections.abc import Sequence
import dataclasses

from rattanpulley_core._internal.targets import rows

EJECT_AFTER_FAILURES = 5
EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
# Maximum share of ejected targets. A common fault makes every target fail, and
# ejecting more would only shift the load to the remaining targets.
MAX_EJECTED_SHARE = 0.3


@dataclasses.dataclass(slots=True)
class _Record:
    """State of the ejections of one target.

    Attributes:
        until_s: Monotonic end of the current ejection.
        count: Consecutive ejections, which double the duration.
        judged_failures: Consecutive failures at the last ejection.
    """

    until_s: float = 0.0
    count: int = 0
    failures_at_ejection: int = 0


class Ejector:
    """Excludes failing targets for exponentially growing times."""

    def __init__(self) -> None:
        self._records_by_name: dict[str, _Record] = {}

    def retain(
        self, eligible: Sequence[rows.Target], now_s: float
    ) -> list[rows.Target]:
        """Returns the targets that are not ejected, at least 70 %."""
        records = self._records_by_name
        # Every selection runs this, and few of 600 targets fail, so that the
        # common case is one pass over the targets.
        failing = [
            target
            for target in eligible
            if target.consecutive_failures >= EJECT_AFTER_FAILURES
            or target.name in records
        ]
        if not failing:
            return list(eligible)
        for target in failing:
            self._update_ejection(target, now_s)
        ejected = sorted(
            (t for t in failing if self._until_s(t.name) > now_s),
            key=lambda target: -target.consecutive_failures,
        )
        allowed = int(len(eligible) * MAX_EJECTED_SHARE)
        names = {target.name for target in ejected[:allowed]}
        return [target for target in eligible if target.name not in names]

    def _until_s(self, name: str) -> float:
        record = self._records_by_name.get(name)
        return record.until_s if record is not None else 0.0

    def _update_ejection(self, target: rows.Target, now_s: float) -> None:
        """Starts an ejection after a new failure; resets after a success."""
        failures = target.consecutive_failures
        if failures < EJECT_AFTER_FAILURES:
            if failures == 0:
                self._records_by_name.pop(target.name, None)
            return
        record = self._records_by_name.setdefault(target.name, _Record())
        if record.until_s > now_s or failures <= record.failures_at_ejection:
            return
        record.failures_at_ejection = failures
        duration_s = min(MAX_EJECTION_S, EJECTION_S * 2.0**record.count)
        record.until_s = now_s + duration_s
        record.count += 1
