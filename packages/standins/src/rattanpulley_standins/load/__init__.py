"""Load generator whose callers check every answer they receive."""

from rattanpulley_standins._internal.load import caller
from rattanpulley_standins._internal.load import record
from rattanpulley_standins._internal.load import run

AnswerRecord = record.AnswerRecord
AnswerRequest = caller.AnswerRequest
DaemonCaller = caller.DaemonCaller
LoadOptions = run.LoadOptions
run_load = run.run_load
