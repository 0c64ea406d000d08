"""Public API for calls that must run at most once.

A daemon creates one `ClaimCall` for each call of a route that is not repeatable
and either passes it to `run` or executes its actions itself. Operators list
claims with an unknown outcome with `list_unknown` and settle them with
`settle`. `RecordRetention` decides when records with a known outcome are
deleted.
"""

from rattanpulley_core._internal.claims import answers
from rattanpulley_core._internal.claims import call_progress
from rattanpulley_core._internal.claims import calls
from rattanpulley_core._internal.claims import claim_phase
from rattanpulley_core._internal.claims import driver
from rattanpulley_core._internal.claims import lookup
from rattanpulley_core._internal.claims import messages
from rattanpulley_core._internal.claims import outcome_phase
from rattanpulley_core._internal.claims import records
from rattanpulley_core._internal.claims import retention
from rattanpulley_core._internal.claims import service_phase
from rattanpulley_core._internal.claims import settlement

ClaimRequest = messages.ClaimRequest
ClaimCall = calls.ClaimCall
CallState = call_progress.CallState
TRANSITIONS = calls.TRANSITIONS
run = driver.run
look_up_answer = lookup.look_up_answer

Event = messages.Event
StoreAnswered = messages.StoreAnswered
StoreConflict = messages.StoreConflict
StoreOutcomeUnknown = messages.StoreOutcomeUnknown
ServiceAnswered = messages.ServiceAnswered
ServiceNotSent = messages.ServiceNotSent
ServiceOutcomeUnknown = messages.ServiceOutcomeUnknown

Action = messages.Action
StoreGet = messages.StoreGet
StorePut = messages.StorePut
CallService = messages.CallService
Answer = messages.Answer
REPLAYED_HEADER = answers.REPLAYED_HEADER

ClaimState = records.ClaimState
ClaimRecord = records.ClaimRecord
Outcome = records.Outcome
AuditEntry = records.AuditEntry
RecordError = records.RecordError
KEY_PREFIX = records.KEY_PREFIX
OUTCOME_LIMIT_BYTES = records.OUTCOME_LIMIT_BYTES
claim_key = records.claim_key
request_fingerprint = records.request_fingerprint
outcome_from_answer = records.outcome_from_answer
to_json = records.to_json
from_json = records.from_json

CLAIM_ATTEMPTS = claim_phase.CLAIM_ATTEMPTS
READ_ATTEMPTS = claim_phase.READ_ATTEMPTS
OUTCOME_ATTEMPTS = outcome_phase.OUTCOME_ATTEMPTS
START_WINDOW_FRACTION = service_phase.START_WINDOW_FRACTION
SETTLE_MARGIN_S = settlement.SETTLE_MARGIN_S
UnknownClaim = settlement.UnknownClaim
SettlementError = settlement.SettlementError
SettlementRefusedError = settlement.SettlementRefusedError
SettlementOutcomeUnknownError = settlement.SettlementOutcomeUnknownError
list_unknown = settlement.list_unknown
settle = settlement.settle
settle_from_wall_s = settlement.settle_from_wall_s

CLAIM_RETENTION_S = retention.CLAIM_RETENTION_S
RETENTION_MARGIN_S = retention.RETENTION_MARGIN_S
FLEET_DELETES_PER_S = retention.FLEET_DELETES_PER_S
LISTING_LIMIT_RECORDS = retention.LISTING_LIMIT_RECORDS
OWN_RECORD_LIMIT = retention.OWN_RECORD_LIMIT
DELETABLE_STATES = retention.DELETABLE_STATES
ExpiringRecord = retention.ExpiringRecord
DeleteRecord = retention.DeleteRecord
ListRecords = retention.ListRecords
DeleteResult = retention.DeleteResult
RetentionAction = retention.RetentionAction
RecordRetention = retention.RecordRetention
expiring_record = retention.expiring_record
expiring_record_from_object = retention.expiring_record_from_object
