"""Public names of the serving subject."""

from rattanpulley_core._internal.serving import belief
from rattanpulley_core._internal.serving import config
from rattanpulley_core._internal.serving import endings
from rattanpulley_core._internal.serving import placement
from rattanpulley_core._internal.serving import reading
from rattanpulley_core._internal.serving import reports
from rattanpulley_core._internal.serving import resends
from rattanpulley_core._internal.serving import roster
from rattanpulley_core._internal.serving import shutdown
from rattanpulley_core._internal.serving import sources

Acceptance = belief.Acceptance
Access = belief.Access
AccessDecision = belief.AccessDecision
ConfigBelief = belief.ConfigBelief
ClientLimits = config.ClientLimits
RouteKind = config.RouteKind
ServingConfig = config.ServingConfig
ServingPool = config.ServingPool
ServingRoute = config.ServingRoute
WeightedPool = config.WeightedPool
group_routes = config.group_routes
AttemptLedger = endings.AttemptLedger
Ending = endings.Ending
Ran = endings.Ran
ENDINGS_AFTER_A_RUN = endings.ENDINGS_AFTER_A_RUN
ENDINGS_BEFORE_SENDING = endings.ENDINGS_BEFORE_SENDING
RULE_BY_ENDING = endings.RULE_BY_ENDING
LoadTable = placement.LoadTable
TargetLoad = placement.TargetLoad
Placement = placement.Placement
PlacementQuery = placement.PlacementQuery
ReadingTime = reading.ReadingTime
TargetReport = reports.TargetReport
ResendBudget = resends.ResendBudget
ResendWindow = resends.ResendWindow
RosterChange = roster.RosterChange
TargetEntry = roster.TargetEntry
TargetRoster = roster.TargetRoster
may_take_while_stopping = shutdown.may_take
HistoryGoneError = sources.HistoryGoneError
ServingSource = sources.ServingSource
SourceError = sources.SourceError
SourceTimeoutError = sources.SourceTimeoutError
TargetChanges = sources.TargetChanges
TargetListing = sources.TargetListing
