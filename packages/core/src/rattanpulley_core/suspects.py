"""Public API for requests suspected of crashing targets."""

from rattanpulley_core._internal.suspects import reports

CrashedRun = reports.CrashedRun
REPORT_TTL_S = reports.REPORT_TTL_S
SuspectTable = reports.SuspectTable
