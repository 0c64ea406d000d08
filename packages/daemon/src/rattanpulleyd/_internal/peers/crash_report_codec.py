"""Encodes crash reports as facts that daemons exchange.

Daemons share no clock. A fact's remaining time is the only time that is carried
over, so a report expires a fixed time after the crash, and the run is stated by
its duration.
"""

import dataclasses
import hashlib
import json

from rattanpulley_core import generations
from rattanpulley_core import peers
from rattanpulley_core import suspects

_VERSION = 1
# Facts take up to a tick of each daemon on their way, and each its own time.
CLOCK_ERROR_S = 1.0


class MalformedCrashReportError(ValueError):
    """The value of a fact is not a crash report."""


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteCrashReport:
    """Crash report of a peer.

    Attributes:
        fingerprint: Content fingerprint of the request.
        target: Name of the target that crashed.
        boot_id: Boot id of the process that crashed.
        run: Run of the request on the target, in this daemon's time; None if
            the peer did not report it.
    """

    fingerprint: str
    target: str
    boot_id: str
    run: suspects.CrashedRun | None


def encode(
    report: generations.PublishCrashReport, now_s: float
) -> peers.FactPublished:
    """Returns the fact for a crash report of this daemon."""
    run = report.run
    crash = [report.fingerprint, report.target, report.boot_id]
    key = hashlib.blake2b(json.dumps(crash).encode(), digest_size=16)
    run_s = round(run.crashed_s - run.started_s, 3)
    return peers.FactPublished(
        peers.FactKind.CRASH_REPORT,
        key.hexdigest(),
        _VERSION,
        json.dumps([*crash, run_s, run.tokens]).encode(),
        suspects.REPORT_TTL_S - (now_s - run.crashed_s),
    )


def decode(fact: peers.Fact) -> RemoteCrashReport:
    """Returns the crash report in a fact.

    Raises:
        MalformedCrashReportError: The value has another form.
    """
    try:
        row = json.loads(fact.value)
    except ValueError as error:
        raise MalformedCrashReportError(str(error)) from error
    if not isinstance(row, list) or not _is_report(row):
        raise MalformedCrashReportError("not a list of a report's fields")
    run = None
    if len(row) == 5 and fact.expires_s is not None:
        crashed_s = fact.expires_s - suspects.REPORT_TTL_S
        run = suspects.CrashedRun(
            crashed_s - row[3], crashed_s, row[4], CLOCK_ERROR_S
        )
    return RemoteCrashReport(row[0], row[1], row[2], run)


def _is_report(row: list[object]) -> bool:
    """Returns whether a list holds a report, with or without its run."""
    if len(row) not in (3, 5):
        return False
    if not all(isinstance(value, str) for value in row[:3]):
        return False
    if len(row) == 3:
        return True
    return type(row[3]) in (int, float) and type(row[4]) is int
