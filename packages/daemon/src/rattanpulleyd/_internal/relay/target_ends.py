"""Tells whether the process of a target has ended."""

import enum

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import target_connection


class TargetEnd(enum.Enum):
    """What is known of the process of a target.

    Attributes:
        CRASHED: It has ended unannounced.
        PLANNED: It has left, or is draining.
        ALIVE: It accepts connections.
        UNKNOWN: It does not answer; it may be cut off from this host.
    """

    CRASHED = "crashed"
    PLANNED = "planned"
    ALIVE = "alive"
    UNKNOWN = "unknown"


_END_BY_FAILURE = {serving.FailureKind.NOT_CONNECTED: TargetEnd.CRASHED}


def find_end(
    context: context_lib.RelayContext, entry: serving.TargetEntry
) -> TargetEnd:
    """Returns what is known of the process of a target; connects to it.

    A target that lives may also close a connection, and one that does not
    answer at all may be cut off from this host.
    """
    if context.targets.has_restarted(entry):
        return TargetEnd.CRASHED
    if _stops_as_planned(context, entry):
        return TargetEnd.PLANNED
    connection = target_connection.TargetConnection(entry)
    try:
        connection.connect(target_connection.CONNECT_TIMEOUT_S)
    except target_connection.AttemptError as error:
        return _END_BY_FAILURE.get(error.kind, TargetEnd.UNKNOWN)
    finally:
        connection.close()
    return TargetEnd.ALIVE


def _stops_as_planned(
    context: context_lib.RelayContext, entry: serving.TargetEntry
) -> bool:
    """Returns whether the target has left or is draining."""
    current = context.targets.entry(entry.target_id)
    if current is None:
        return True
    return context.availability.is_draining(current, clock.now_s())
