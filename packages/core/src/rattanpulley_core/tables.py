"""Public names of the routes and pools subject."""

from rattanpulley_core._internal.tables import config_state
from rattanpulley_core._internal.tables import faults
from rattanpulley_core._internal.tables import pool_parser
from rattanpulley_core._internal.tables import route_parser
from rattanpulley_core._internal.tables import rows
from rattanpulley_core._internal.tables import together

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

Fault = faults.Fault
TableError = faults.TableError
parse_routes = route_parser.parse_routes
parse_pools = pool_parser.parse_pools
check_together = together.check_together

TableKind = config_state.TableKind
OfferOutcome = config_state.OfferOutcome
OfferReport = config_state.OfferReport
TableInForce = config_state.TableInForce
ConfigState = config_state.ConfigState
canonical_text = config_state.canonical_text
