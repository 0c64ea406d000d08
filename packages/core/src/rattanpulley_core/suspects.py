"""Public API for requests suspected of crashing targets."""

from rattanpulley_core._internal.suspects import known_crashes
from rattanpulley_core._internal.suspects import parts
from rattanpulley_core._internal.suspects import reports
from rattanpulley_core._internal.suspects import shared
from rattanpulley_core._internal.suspects import shared_reports

BEGINNING_EVENTS = parts.BEGINNING_EVENTS
CrashedRun = reports.CrashedRun
REPORT_TTL_S = reports.REPORT_TTL_S
SuspectTable = reports.SuspectTable
ReportBatch = shared_reports.ReportBatch
SharedReport = shared_reports.SharedReport
SuspectKind = shared_reports.SuspectKind
KnownCrashes = known_crashes.KnownCrashes
PartSuspects = parts.PartSuspects
part_key = parts.part_key
SOUND_EVENTS = parts.SOUND_EVENTS
SharedSuspects = shared.SharedSuspects
SETTLE_S = known_crashes.SETTLE_S
SHARED_REPORT_TTL_S = known_crashes.SHARED_REPORT_TTL_S
