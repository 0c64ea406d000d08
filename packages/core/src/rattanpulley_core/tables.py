"""Public API of the routes and pools tables."""

from rattanpulley_core._internal.tables import audit_retention
from rattanpulley_core._internal.tables import changes
from rattanpulley_core._internal.tables import config_state
from rattanpulley_core._internal.tables import consistency
from rattanpulley_core._internal.tables import diagnostics
from rattanpulley_core._internal.tables import lint
from rattanpulley_core._internal.tables import pool_parser
from rattanpulley_core._internal.tables import reader
from rattanpulley_core._internal.tables import route_parser
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

Diagnostic = diagnostics.Diagnostic
TableValidationError = diagnostics.TableValidationError
parse_routes = route_parser.parse_routes
parse_pools = pool_parser.parse_pools
check_consistency = consistency.check_consistency

TableKind = config_state.TableKind
UpdateOutcome = config_state.UpdateOutcome
UpdateResult = config_state.UpdateResult
ActiveTable = config_state.ActiveTable
ConfigState = config_state.ConfigState
canonical_text = config_state.canonical_text

FieldChange = changes.FieldChange
ChangeEntry = changes.ChangeEntry
AUDIT_PREFIX = changes.AUDIT_PREFIX
parse_change_entry = changes.parse_change_entry
diff_tables = changes.diff_tables
changed_rows = changes.changed_rows
with_change_entry = changes.with_change_entry
without_change_entry = changes.without_change_entry
audit_key = changes.audit_key
parse_audit_key = changes.parse_audit_key
AUDIT_RETENTION_S = audit_retention.AUDIT_RETENTION_S
AUDIT_LIMIT_ENTRIES = audit_retention.AUDIT_LIMIT_ENTRIES
PRUNES = audit_retention.PRUNES
PRUNES_PREFIX = audit_retention.PRUNES_PREFIX
PrunedRange = audit_retention.PrunedRange
prune_key = audit_retention.prune_key
expired_entries = audit_retention.expired_entries
pruned_range = audit_retention.pruned_range
ranges_to_json = audit_retention.ranges_to_json
last_pruned_versions = audit_retention.last_pruned_versions
is_name = reader.is_name
unknown_fields = lint.unknown_fields
abrupt_weight_increases = lint.abrupt_weight_increases
