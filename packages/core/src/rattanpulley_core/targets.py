"""Public API for the target table and target selection."""

from rattanpulley_core._internal.targets import choosers
from rattanpulley_core._internal.targets import cost_chooser
from rattanpulley_core._internal.targets import hosts
from rattanpulley_core._internal.targets import loads
from rattanpulley_core._internal.targets import prefixes
from rattanpulley_core._internal.targets import rows
from rattanpulley_core._internal.targets import table

HostEntry = hosts.HostEntry
HostState = hosts.HostState
Target = rows.Target
MAX_STALL_MARGIN = rows.MAX_STALL_MARGIN
TargetState = rows.TargetState
TargetTable = table.TargetTable
TargetQuery = choosers.TargetQuery
TargetChooser = choosers.TargetChooser
LoadReport = loads.LoadReport
ExpectedCostChooser = cost_chooser.ExpectedCostChooser
LeastOutstandingChooser = choosers.LeastOutstandingChooser
eligible_targets = choosers.eligible_targets
prefix_block_hashes = prefixes.block_hashes
RESUME_SLOTS_PER_TARGET = choosers.RESUME_SLOTS_PER_TARGET
