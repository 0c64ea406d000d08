"""Public API for requests suspected of crashing targets."""

from rattanpulley_core._internal.suspects import reports
from rattanpulley_core._internal.suspects import shared
from rattanpulley_core._internal.suspects import shared_reports

CrashedRun = reports.CrashedRun
REPORT_TTL_S = reports.REPORT_TTL_S
SuspectTable = reports.SuspectTable
ReportBatch = shared_reports.ReportBatch
SharedReport = shared_reports.SharedReport
SharedSuspects = shared.SharedSuspects
SETTLE_S = shared.SETTLE_S
SHARED_REPORT_TTL_S = shared.SHARED_REPORT_TTL_S
