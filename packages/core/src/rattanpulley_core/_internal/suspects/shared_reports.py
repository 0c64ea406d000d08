"""Crash reports in the form in which entry hosts exchange them.

They carry ages instead of times, so that hosts need no common clock.
"""

import dataclasses
import enum
from typing import Any

# Fields that hosts of earlier versions take.
FIRST_FIELDS = 8


class SuspectKind(enum.Enum):
    """What a crash report is about.

    Attributes:
        REQUEST: A request, known by its whole content.
        PART: A part of prompts, in whatever request.
    """

    REQUEST = "request"
    PART = "part"


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
        companions: Fingerprints of all parts of the prompt that was running;
            empty in reports on requests.
        position: Id of the last event at the crash, those of earlier attempts
            included; 0 if unknown.
        refuted: Measures of the point of the crash that an answer has passed,
            as bits.
        writing_s: Seconds since the first event of the attempt; 0 before it.
    """

    fingerprint: str
    target: str
    boot_id: str
    events: int
    crashed_ago_s: float
    ran_s: float
    error_s: float = 0.0
    cleared: bool = False
    companions: tuple[str, ...] = ()
    position: int = 0
    refuted: int = 0
    writing_s: float = 0.0

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
        (
            fingerprint,
            target,
            boot_id,
            events,
            ago_s,
            ran_s,
            error_s,
            cleared,
            *more,
        ) = row
        return cls(
            str(fingerprint),
            str(target),
            str(boot_id),
            int(events),
            max(0.0, float(ago_s)),
            max(0.0, float(ran_s)),
            max(0.0, float(error_s)),
            bool(cleared),
            tuple(map(str, more[0])) if more else (),
            *(max(0, int(value)) for value in more[1:3]),
            *(max(0.0, float(value)) for value in more[3:4]),
        )

    def row(self) -> list[Any]:
        """Returns the fields in order; hosts of earlier versions take eight."""
        fields = list(dataclasses.astuple(self))
        return fields if self.companions else fields[:FIRST_FIELDS]


@dataclasses.dataclass(frozen=True, slots=True)
class ReportBatch:
    """Reports of a host's log after a position.

    Attributes:
        log_id: Identifies the log; a host that restarts has a new one.
        position: Position of the newest report.
        reports: The reports.
        kind: What the reports are about.
    """

    log_id: str
    position: int
    reports: tuple[SharedReport, ...]
    kind: SuspectKind = SuspectKind.REQUEST
