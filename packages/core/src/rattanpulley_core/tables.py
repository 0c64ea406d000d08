"""Public names of the routes and pools subject."""

from rattanpulley_core._internal.tables import rows

TargetKind = rows.TargetKind
Match = rows.Match
AccountLimit = rows.AccountLimit
Route = rows.Route
TargetSpec = rows.TargetSpec
VersionSpec = rows.VersionSpec
Move = rows.Move
Pool = rows.Pool
RouteTable = rows.RouteTable
PoolTable = rows.PoolTable
