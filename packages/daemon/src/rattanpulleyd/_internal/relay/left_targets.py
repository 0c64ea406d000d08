"""Watches targets that requests have left, in case the run ends them.

A target that was left because it was silent, or because its report did not
list the run, may still be running the prompt. One that ends may close its
connections before its listener.
"""

import itertools

import gevent

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import request_crashes
from rattanpulleyd._internal.relay import target_ends

# Pauses before the first connections that tell whether the target has ended,
# and before further ones. Left runs count for seconds.
FIRST_PAUSES_S = (0.3, 0.4, 0.5, 0.6)
PAUSE_S = 0.5


def watch(
    context: context_lib.RelayContext, entry: serving.TargetEntry
) -> None:
    """Watches a target until its left runs count no more, if there are any."""
    if entry.target_id in context.watched_ids:
        return
    now_s = clock.suspend_aware_now_s()
    if not context.left_runs.has_any(
        entry.target_id, str(entry.started_ms), now_s
    ):
        return
    context.watched_ids.add(entry.target_id)
    gevent.spawn(_watch, context, entry)


def _watch(
    context: context_lib.RelayContext, entry: serving.TargetEntry
) -> None:
    try:
        for pause_s in itertools.chain(
            FIRST_PAUSES_S, itertools.repeat(PAUSE_S)
        ):
            gevent.sleep(pause_s)
            if not _may_crash(context, entry):
                return
    finally:
        context.watched_ids.discard(entry.target_id)


def _may_crash(
    context: context_lib.RelayContext, entry: serving.TargetEntry
) -> bool:
    """Checks a target; returns whether to go on."""
    now_s = clock.suspend_aware_now_s()
    boot_id = str(entry.started_ms)
    if not context.left_runs.has_any(entry.target_id, boot_id, now_s):
        return False
    end = target_ends.find_end(context, entry)
    if end is target_ends.TargetEnd.CRASHED:
        request_crashes.record_left_runs(context, entry.target_id, boot_id)
    return end in (target_ends.TargetEnd.ALIVE, target_ends.TargetEnd.UNKNOWN)
