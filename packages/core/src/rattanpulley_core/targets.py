"""Public names of the targets subject."""

from rattanpulley_core._internal.targets import choosers
from rattanpulley_core._internal.targets import rows
from rattanpulley_core._internal.targets import table

Target = rows.Target
TargetState = rows.TargetState
TargetTable = table.TargetTable
TargetQuery = choosers.TargetQuery
TargetChooser = choosers.TargetChooser
LeastOutstandingChooser = choosers.LeastOutstandingChooser
RESUME_SLOTS_PER_TARGET = choosers.RESUME_SLOTS_PER_TARGET
