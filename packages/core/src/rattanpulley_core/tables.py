"""Public names of the routes and pools subject."""

from rattanpulley_core._internal.tables import advice
from rattanpulley_core._internal.tables import audit_retention
from rattanpulley_core._internal.tables import changes
from rattanpulley_core._internal.tables import config_state
from rattanpulley_core._internal.tables import faults
from rattanpulley_core._internal.tables import pool_parser
from rattanpulley_core._internal.tables import reader
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

FieldChange = changes.FieldChange
ChangeEntry = changes.ChangeEntry
AUDIT_PREFIX = changes.AUDIT_PREFIX
entry_of = changes.entry_of
diff_tables = changes.diff_tables
changed_rows = changes.changed_rows
with_change = changes.with_change
without_change = changes.without_change
audit_key = changes.audit_key
audit_key_parts = changes.audit_key_parts
AUDIT_RETENTION_S = audit_retention.AUDIT_RETENTION_S
AUDIT_LIMIT_ENTRIES = audit_retention.AUDIT_LIMIT_ENTRIES
PRUNES = audit_retention.PRUNES
PRUNES_PREFIX = audit_retention.PRUNES_PREFIX
PrunedRange = audit_retention.PrunedRange
prune_key = audit_retention.prune_key
expired_entries = audit_retention.expired_entries
pruned_range = audit_retention.pruned_range
ranges_to_json = audit_retention.ranges_to_json
pruned_through = audit_retention.pruned_through
is_name = reader.is_name
unknown_fields = advice.unknown_fields
sudden_shares = advice.sudden_shares
