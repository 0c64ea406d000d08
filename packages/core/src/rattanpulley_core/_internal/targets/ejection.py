"""Bounded ejection of targets that fail more than others."""

from collections.abc import Sequence
import dataclasses

from rattanpulley_core._internal.targets import rows

EJECT_AFTER_FAILURES = 5
EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
# A common fault makes every target fail; ejecting more than this share would
# only move its load to the others.
MAX_EJECTED_SHARE = 0.3


@dataclasses.dataclass(slots=True)
class _Record:
    """Ejections of one target.

    Attributes:
        until_s: End of the current ejection.
        count: Ejections in a row.
        judged_failures: Consecutive failures at the last ejection.
    """

    until_s: float = 0.0
    count: int = 0
    judged_failures: int = 0


class Ejector:
    """Keeps failing targets out of the selection for a growing time."""

    def __init__(self) -> None:
        self._records_by_name: dict[str, _Record] = {}

    def retain(
        self, found: Sequence[rows.Target], now_s: float
    ) -> list[rows.Target]:
        """Returns the targets that are not ejected; at least 70 % stay."""
        records = self._records_by_name
        # Few of 600 targets fail, and every choice comes through here.
        failing = [
            target
            for target in found
            if target.consecutive_failures >= EJECT_AFTER_FAILURES
            or target.name in records
        ]
        if not failing:
            return list(found)
        for target in failing:
            self._judge(target, now_s)
        ejected = sorted(
            (t for t in failing if self._until_s(t.name) > now_s),
            key=lambda target: -target.consecutive_failures,
        )
        allowed = int(len(found) * MAX_EJECTED_SHARE)
        names = {target.name for target in ejected[:allowed]}
        return [target for target in found if target.name not in names]

    def _until_s(self, name: str) -> float:
        record = self._records_by_name.get(name)
        return record.until_s if record is not None else 0.0

    def _judge(self, target: rows.Target, now_s: float) -> None:
        """Starts an ejection when the target failed again."""
        failures = target.consecutive_failures
        if failures < EJECT_AFTER_FAILURES:
            if failures == 0:
                self._records_by_name.pop(target.name, None)
            return
        record = self._records_by_name.setdefault(target.name, _Record())
        if record.until_s > now_s or failures <= record.judged_failures:
            return
        record.judged_failures = failures
        duration_s = min(MAX_EJECTION_S, EJECTION_S * 2.0**record.count)
        record.until_s = now_s + duration_s
        record.count += 1
