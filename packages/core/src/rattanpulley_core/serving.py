"""Public names of the serving subject."""

from rattanpulley_core._internal.serving import belief
from rattanpulley_core._internal.serving import config
from rattanpulley_core._internal.serving import endings
from rattanpulley_core._internal.serving import fleet
from rattanpulley_core._internal.serving import placement
from rattanpulley_core._internal.serving import reading
from rattanpulley_core._internal.serving import reports
from rattanpulley_core._internal.serving import resends
from rattanpulley_core._internal.serving import rollout_trial
from rattanpulley_core._internal.serving import rollouts
from rattanpulley_core._internal.serving import roster
from rattanpulley_core._internal.serving import shared_beliefs
from rattanpulley_core._internal.serving import shutdown
from rattanpulley_core._internal.serving import sources
from rattanpulley_core._internal.serving import trial_table
from rattanpulley_core._internal.serving import versions

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
ENDINGS_OF_A_BAD_VERSION = endings.ENDINGS_OF_A_BAD_VERSION
RULE_BY_ENDING = endings.RULE_BY_ENDING
Fleet = fleet.Fleet
HostEntry = fleet.HostEntry
LoadTable = placement.LoadTable
TargetLoad = placement.TargetLoad
Placement = placement.Placement
PlacementQuery = placement.PlacementQuery
PromptWait = reading.PromptWait
ReadingTime = reading.ReadingTime
TargetReport = reports.TargetReport
ResendBudget = resends.ResendBudget
ResendWindow = resends.ResendWindow
Judgement = rollouts.Judgement
OrderState = rollouts.OrderState
RolloutEvidence = rollouts.RolloutEvidence
RolloutOrder = rollouts.RolloutOrder
RouteCounts = rollouts.RouteCounts
Verdict = rollouts.Verdict
added_counts = rollouts.added
judge_rollout = rollouts.judge
RolloutTrial = rollout_trial.RolloutTrial
TrialBounds = rollout_trial.TrialBounds
TrialStep = rollout_trial.Step
TrialTable = trial_table.TrialTable
ChangeLog = shared_beliefs.ChangeLog
ConfigReport = shared_beliefs.ConfigReport
PeerOrder = shared_beliefs.PeerOrder
TargetsReport = shared_beliefs.TargetsReport
Standing = versions.Standing
VersionGate = versions.VersionGate
RosterChange = roster.RosterChange
TargetEntry = roster.TargetEntry
TargetRoster = roster.TargetRoster
may_take_while_stopping = shutdown.may_take
RolloutStore = sources.RolloutStore
HostDirectory = sources.HostDirectory
HistoryGoneError = sources.HistoryGoneError
ServingSource = sources.ServingSource
SourceError = sources.SourceError
SourceTimeoutError = sources.SourceTimeoutError
TargetChanges = sources.TargetChanges
TargetListing = sources.TargetListing
