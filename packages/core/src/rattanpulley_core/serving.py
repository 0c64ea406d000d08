"""Public names of the serving package."""

from rattanpulley_core._internal.serving import admission
from rattanpulley_core._internal.serving import admission_control
from rattanpulley_core._internal.serving import announcements
from rattanpulley_core._internal.serving import cached_config
from rattanpulley_core._internal.serving import config
from rattanpulley_core._internal.serving import engine_room
from rattanpulley_core._internal.serving import failure_kinds
from rattanpulley_core._internal.serving import fingerprints
from rattanpulley_core._internal.serving import fleet
from rattanpulley_core._internal.serving import load_table
from rattanpulley_core._internal.serving import memory_budget
from rattanpulley_core._internal.serving import peer_sync
from rattanpulley_core._internal.serving import placement
from rattanpulley_core._internal.serving import prefill
from rattanpulley_core._internal.serving import reported_load
from rattanpulley_core._internal.serving import reports
from rattanpulley_core._internal.serving import request_terms
from rattanpulley_core._internal.serving import retries
from rattanpulley_core._internal.serving import rollout_trial
from rattanpulley_core._internal.serving import rollouts
from rattanpulley_core._internal.serving import shutdown
from rattanpulley_core._internal.serving import silence
from rattanpulley_core._internal.serving import sources
from rattanpulley_core._internal.serving import target_availability
from rattanpulley_core._internal.serving import target_freshness
from rattanpulley_core._internal.serving import target_registry
from rattanpulley_core._internal.serving import trial_table
from rattanpulley_core._internal.serving import version_records
from rattanpulley_core._internal.serving import versions

Acceptance = cached_config.Acceptance
Access = cached_config.Access
AccessDecision = cached_config.AccessDecision
CachedConfig = cached_config.CachedConfig
DENIAL_AGE_LIMIT_S = cached_config.DENIAL_AGE_LIMIT_S
ClientLimits = config.ClientLimits
HIGHEST_PRIORITY = config.HIGHEST_PRIORITY
LOWEST_PRIORITY = config.LOWEST_PRIORITY
RouteKind = config.RouteKind
ServingConfig = config.ServingConfig
ServingPool = config.ServingPool
ServingRoute = config.ServingRoute
WeightedPool = config.WeightedPool
group_routes = config.group_routes
AttemptTracker = failure_kinds.AttemptTracker
FailureKind = failure_kinds.FailureKind
Executed = failure_kinds.Executed
FAILURES_AFTER_START = failure_kinds.FAILURES_AFTER_START
FAILURES_BEFORE_SENDING = failure_kinds.FAILURES_BEFORE_SENDING
FAILURES_BY_SILENCE = failure_kinds.FAILURES_BY_SILENCE
BAD_VERSION_FAILURES = failure_kinds.BAD_VERSION_FAILURES
RetryDenial = failure_kinds.RetryDenial
RULE_BY_FAILURE = failure_kinds.RULE_BY_FAILURE
request_fingerprint = fingerprints.request_fingerprint
Fleet = fleet.Fleet
HostEntry = fleet.HostEntry
LoadTable = load_table.LoadTable
TargetLoad = load_table.TargetLoad
MemoryBudget = memory_budget.MemoryBudget
MemoryReservation = memory_budget.Reservation
MemoryUse = memory_budget.ByteUse
ConnectionPhase = memory_budget.Phase
ConnectionEnding = memory_budget.Ending
EndCause = memory_budget.EndCause
HEADER_LINE_BYTES = memory_budget.HEADER_LINE_BYTES
memory_budget_bytes = memory_budget.budget_bytes
Placement = placement.Placement
PlacementQuery = placement.PlacementQuery
PrefillWait = prefill.PrefillWait
PrefillEstimator = prefill.PrefillEstimator
ReportedLoad = reported_load.ReportedLoad
Slowness = reported_load.Slowness
parse_reported_load = reported_load.parse_reported_load
ReportedRun = reports.ReportedRun
TargetReport = reports.TargetReport
RequestTerms = request_terms.RequestTerms
PoolRetryBudget = retries.PoolRetryBudget
Retry = retries.Retry
RetryUse = retries.RetryUse
RetryWindow = retries.RetryWindow
Judgement = rollouts.Judgement
OrderState = rollouts.OrderState
RolloutEvidence = rollouts.RolloutEvidence
EarlierOrder = rollouts.EarlierOrder
RolloutOrder = rollouts.RolloutOrder
RouteCounts = rollouts.RouteCounts
Verdict = rollouts.Verdict
add_counts = rollouts.add_counts
judge_rollout = rollouts.judge
RolloutTrial = rollout_trial.RolloutTrial
TrialBounds = rollout_trial.TrialBounds
TrialStep = rollout_trial.TrialStep
TrialTable = trial_table.TrialTable
ChangeLog = peer_sync.ChangeLog
DOMAIN_LEADER_PERIODS = peer_sync.DOMAIN_LEADER_PERIODS
DOMAIN_MEMBER_PERIODS = peer_sync.DOMAIN_MEMBER_PERIODS
SMALL_FLEET_PERIODS = peer_sync.SMALL_FLEET_PERIODS
SharingPeriods = peer_sync.SharingPeriods
ConfigReport = peer_sync.ConfigReport
PeerSelector = peer_sync.PeerSelector
TargetsReport = peer_sync.TargetsReport
TargetFreshness = target_freshness.TargetFreshness
VersionStatus = versions.VersionStatus
VersionGate = versions.VersionGate
VersionRecord = version_records.VersionRecord
order_elapsed_s = version_records.elapsed_s
expired_records = version_records.expired
record_of_order = version_records.record_of
AdmissionAction = admission.Action
AdmissionCause = admission.Cause
AdmissionControl = admission_control.AdmissionControl
AdmissionQueue = admission.AdmissionQueue
AdmissionVerdict = admission.Verdict
MIDDLE_RANK = admission.MIDDLE_RANK
PoolSize = admission_control.PoolSize
WaitingRequest = admission.WaitingRequest
AnswerHistory = engine_room.AnswerHistory
AnswerShape = engine_room.AnswerShape
EngineRoom = engine_room.EngineRoom
SentRequest = engine_room.SentRequest
SentRequests = engine_room.SentRequests
TokenNeed = engine_room.TokenNeed
estimate_room = engine_room.estimate_room
Announcement = announcements.Announcement
AvailabilityChange = target_availability.AvailabilityChange
MAX_RETRY_AFTER_S = target_availability.MAX_RETRY_AFTER_S
Shortage = target_availability.Shortage
TargetAvailability = target_availability.TargetAvailability
UnavailableReason = target_availability.Reason
parse_announcement = announcements.parse_announcement
RegistryChange = target_registry.RegistryChange
TargetEntry = target_registry.TargetEntry
TargetRegistry = target_registry.TargetRegistry
accepts_while_stopping = shutdown.accepts_request
SilenceDepartures = silence.SilenceDepartures
TargetSilences = silence.TargetSilences
RolloutStore = sources.RolloutStore
SuspectStore = sources.SuspectStore
HostDirectory = sources.HostDirectory
ChangesUnreadableError = sources.ChangesUnreadableError
HistoryGoneError = sources.HistoryGoneError
ServingSource = sources.ServingSource
SourceError = sources.SourceError
SourceConnectionLostError = sources.SourceConnectionLostError
SourceTimeoutError = sources.SourceTimeoutError
TargetChanges = sources.TargetChanges
TargetListing = sources.TargetListing
UnreadableEntry = sources.UnreadableEntry
