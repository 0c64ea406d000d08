"""Public API for generations: events, actions and the generation core."""

from rattanpulley_core._internal.generations import actions
from rattanpulley_core._internal.generations import core
from rattanpulley_core._internal.generations import events
from rattanpulley_core._internal.generations import journal
from rattanpulley_core._internal.generations import requests
from rattanpulley_core._internal.generations import rows

Sampling = requests.Sampling
GenerationRequest = requests.GenerationRequest
ResumePoint = requests.ResumePoint
FailureReason = events.FailureReason

Event = events.Event
CallerConnected = events.CallerConnected
CallerDisconnected = events.CallerDisconnected
AttemptAccepted = events.AttemptAccepted
TokensReceived = events.TokensReceived
AttemptFinished = events.AttemptFinished
AttemptFailed = events.AttemptFailed
ProbeSucceeded = events.ProbeSucceeded
ProbeFailed = events.ProbeFailed

Action = actions.Action
StartAttempt = actions.StartAttempt
AttachAttempt = actions.AttachAttempt
CancelAttempt = actions.CancelAttempt
ProbeTarget = actions.ProbeTarget
DeliverTokens = actions.DeliverTokens
FinishAnswer = actions.FinishAnswer
FailAnswer = actions.FailAnswer
AttemptResult = actions.AttemptResult
AttemptOutcome = actions.AttemptOutcome
PublishCrashReport = actions.PublishCrashReport
PublishClearance = actions.PublishClearance

GenerationCore = core.GenerationCore
CoreStatus = core.CoreStatus
GenerationState = rows.GenerationState
RECONNECT_GRACE_S = rows.RECONNECT_GRACE_S
MAX_TOKENS = journal.MAX_TOKENS
