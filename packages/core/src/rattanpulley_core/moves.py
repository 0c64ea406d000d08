"""Public API for version moves."""

from rattanpulley_core._internal.moves import evidence
from rattanpulley_core._internal.moves import fact_json
from rattanpulley_core._internal.moves import manager
from rattanpulley_core._internal.moves import messages
from rattanpulley_core._internal.moves import move_status
from rattanpulley_core._internal.moves import pacing
from rattanpulley_core._internal.moves import verdicts

MoveManager = manager.MoveManager
MoveState = move_status.MoveState
MoveStatus = move_status.MoveStatus
VerdictSet = verdicts.VerdictSet

Signal = messages.Signal
Result = messages.Result
Event = messages.Event
RequestEnded = messages.RequestEnded
EvidenceBatch = messages.EvidenceBatch
Verdict = messages.Verdict
DaemonReport = messages.DaemonReport
Observation = messages.Observation
Counts = messages.Counts
CrashEvent = messages.CrashEvent

Action = messages.Action
PublishEvidence = messages.PublishEvidence
PublishVerdict = messages.PublishVerdict
PublishReport = messages.PublishReport

VERDICT_PREFIX = messages.VERDICT_PREFIX
verdict_to_json = fact_json.verdict_to_json
verdict_from_json = fact_json.verdict_from_json
batch_to_json = fact_json.batch_to_json
batch_from_json = fact_json.batch_from_json
report_to_json = fact_json.report_to_json
report_from_json = fact_json.report_from_json

FALSE_ALARM_RATE = evidence.FALSE_ALARM_RATE
INITIAL_SHARE = pacing.INITIAL_SHARE
