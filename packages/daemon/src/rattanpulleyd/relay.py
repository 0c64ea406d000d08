"""Public API of the relay, for programs that start it."""

from rattanpulleyd._internal.relay import bounded_http
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import memory_copies
from rattanpulleyd._internal.relay import program
from rattanpulleyd._internal.relay import settings
from rattanpulleyd._internal.relay import target_reports
from rattanpulleyd._internal.relay import wire
from rattanpulleyd._internal.sockets import kept_connections
from rattanpulleyd._internal.sockets import read_turn

Endpoint = settings.Endpoint
ResponseBoundsError = bounded_http.ResponseBoundsError
ResponseTooLongError = bounded_http.ResponseTooLongError
now_s = clock.now_s
read_body = bounded_http.read_body
HeaderNames = wire.HeaderNames
MemoryCopyCalls = memory_copies.MemoryCopyCalls
TargetCall = memory_copies.TargetCall
MachineLimits = settings.MachineLimits
RelayBounds = settings.RelayBounds
KeptConnectionPool = kept_connections.KeptConnectionPool
ReadTurn = read_turn.ReadTurn
RelayProgram = program.RelayProgram
Store = program.Store
RelaySettings = settings.RelaySettings
TargetReportReader = target_reports.TargetReportReader
