"""Public API for requests suspected of crashing targets."""

from rattanpulley_core._internal.suspects import known_crashes
from rattanpulley_core._internal.suspects import left_runs
from rattanpulley_core._internal.suspects import parts
from rattanpulley_core._internal.suspects import reports
from rattanpulley_core._internal.suspects import run_points
from rattanpulley_core._internal.suspects import shared
from rattanpulley_core._internal.suspects import shared_reports

CrashedRun = reports.CrashedRun
REPORT_TTL_S = reports.REPORT_TTL_S
SuspectTable = reports.SuspectTable
ReportBatch = shared_reports.ReportBatch
SharedReport = shared_reports.SharedReport
SuspectKind = shared_reports.SuspectKind
LEFT_RUN_TTL_S = left_runs.LEFT_RUN_TTL_S
LeftRun = left_runs.LeftRun
LeftRuns = left_runs.LeftRuns
KnownCrashes = known_crashes.KnownCrashes
PartSuspects = parts.PartSuspects
part_key = parts.part_key
SoundAnswer = run_points.SoundAnswer
SharedSuspects = shared.SharedSuspects
SETTLE_S = known_crashes.SETTLE_S
SHARED_REPORT_TTL_S = known_crashes.SHARED_REPORT_TTL_S
