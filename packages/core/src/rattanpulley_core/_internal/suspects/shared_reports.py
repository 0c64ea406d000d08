"""Crash reports in the form in which entry hosts exchange them.

They carry ages instead of times, so that hosts need no common clock.
"""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class SharedReport:
    """One crash of a target under a request, as hosts exchange it.

    Attributes:
        fingerprint: Fingerprint of the request.
        target: Id of the target.
        boot_id: Identifies the process of the target that crashed.
        events: Events of the stream at the crash; 0 for a plain request.
        crashed_ago_s: Seconds since the crash.
        ran_s: Seconds for which the target had the request.
        error_s: Largest error of `crashed_ago_s`.
        cleared: Whether the request has since run without a crash.
    """

    fingerprint: str
    target: str
    boot_id: str
    events: int
    crashed_ago_s: float
    ran_s: float
    error_s: float = 0.0
    cleared: bool = False

    @property
    def key(self) -> tuple[str, str, str]:
        """Identifies the report: fingerprint, target and boot id."""
        return self.fingerprint, self.target, self.boot_id

    @classmethod
    def parse(cls, row: Any) -> "SharedReport":
        """Returns the report of a row with the fields in order.

        Raises:
            TypeError, ValueError: The row is not a report.
        """
        fingerprint, target, boot_id, events, ago_s, ran_s, error_s, cleared = (
            row
        )
        return cls(
            str(fingerprint),
            str(target),
            str(boot_id),
            int(events),
            max(0.0, float(ago_s)),
            max(0.0, float(ran_s)),
            max(0.0, float(error_s)),
            bool(cleared),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ReportBatch:
    """Reports of a host's log after a position.

    Attributes:
        log_id: Identifies the log; a host that restarts has a new one.
        position: Position of the newest report.
        reports: The reports.
    """

    log_id: str
    position: int
    reports: tuple[SharedReport, ...]
