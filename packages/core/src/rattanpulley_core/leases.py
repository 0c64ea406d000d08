"""Public names of the leases subject: leased key ranges and grouped claims.

A daemon holds a `Lease` for a key range, runs a `Takeover` after each rise of
the fence, and then writes claims and outcomes with a `GroupWriter`. It asks
`Lease.may_act` right before each effect.
"""

from rattanpulley_core._internal.leases import groups
from rattanpulley_core._internal.leases import holder

Lease = holder.Lease
LeaseSettings = holder.LeaseSettings
LeaseState = holder.LeaseState
TRANSITIONS = holder.TRANSITIONS

GroupWriter = groups.GroupWriter
GroupCommitted = groups.GroupCommitted
GroupRefused = groups.GroupRefused
Takeover = groups.Takeover
TakeoverState = groups.TakeoverState
TAKEOVER_TRANSITIONS = groups.TAKEOVER_TRANSITIONS
GROUP_ENTRY_LIMIT = groups.GROUP_ENTRY_LIMIT
GROUP_WINDOW_S = groups.GROUP_WINDOW_S
group_key = groups.group_key
