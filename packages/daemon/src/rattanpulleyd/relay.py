"""Public API of the relay, for programs that start it."""

from rattanpulleyd._internal.relay import memory_copies
from rattanpulleyd._internal.relay import program
from rattanpulleyd._internal.relay import settings
from rattanpulleyd._internal.relay import target_reports
from rattanpulleyd._internal.relay import wire

Endpoint = settings.Endpoint
HeaderNames = wire.HeaderNames
MemoryCopyCalls = memory_copies.MemoryCopyCalls
TargetCall = memory_copies.TargetCall
RelayBounds = settings.RelayBounds
RelayProgram = program.RelayProgram
Store = program.Store
RelaySettings = settings.RelaySettings
TargetReportReader = target_reports.TargetReportReader
