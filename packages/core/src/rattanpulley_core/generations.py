"""Public API for generations: events, actions and the generation core."""

from rattanpulley_core._internal.generations import core
from rattanpulley_core._internal.generations import journal
from rattanpulley_core._internal.generations import messages
from rattanpulley_core._internal.generations import rows

Sampling = messages.Sampling
GenerationRequest = messages.GenerationRequest
ResumePoint = messages.ResumePoint
FailureReason = messages.FailureReason

Event = messages.Event
CallerConnected = messages.CallerConnected
CallerDisconnected = messages.CallerDisconnected
AttemptAccepted = messages.AttemptAccepted
TokensReceived = messages.TokensReceived
AttemptFinished = messages.AttemptFinished
AttemptFailed = messages.AttemptFailed
ProbeSucceeded = messages.ProbeSucceeded
ProbeFailed = messages.ProbeFailed

Action = messages.Action
StartAttempt = messages.StartAttempt
AttachAttempt = messages.AttachAttempt
CancelAttempt = messages.CancelAttempt
ProbeTarget = messages.ProbeTarget
DeliverTokens = messages.DeliverTokens
FinishAnswer = messages.FinishAnswer
FailAnswer = messages.FailAnswer
AttemptResult = messages.AttemptResult
AttemptOutcome = messages.AttemptOutcome
PublishCrashReport = messages.PublishCrashReport
PublishClearance = messages.PublishClearance

GenerationCore = core.GenerationCore
CoreStatus = core.CoreStatus
GenerationState = rows.GenerationState
RECONNECT_GRACE_S = rows.RECONNECT_GRACE_S
MAX_TOKENS = journal.MAX_TOKENS
