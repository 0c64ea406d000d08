"""Records why client connections end, and which requests that cut off.

A request that arrives at a connection while it closes is neither answered nor
refused, so that no other line of the log has its id.
"""

import dataclasses
import enum

from rattanpulleyd._internal.relay import decision_log
from rattanpulleyd._internal.relay import relay_metrics


class EndReason(enum.Enum):
    """Why a client connection ended.

    Attributes:
        CLIENT: The client closed it, or it was lost.
        IDLE: No request arrived before the idle timeout.
        STOP: The host stops.
        ANNOUNCED: The last response said so.
        LIMIT: It had no request while there were too many connections.
        REFUSED: A request that could not be read was refused.
        ABORTED: A response that had started could not be completed.
    """

    CLIENT = "client"
    IDLE = "idle"
    STOP = "stop"
    ANNOUNCED = "announced"
    LIMIT = "limit"
    REFUSED = "refused"
    ABORTED = "aborted"


class ConnectionEndedError(Exception):
    """No further request arrives on the connection.

    Attributes:
        reason: Why it ended.
    """

    def __init__(self, reason: EndReason = EndReason.CLIENT) -> None:
        super().__init__(reason.value)
        self.reason = reason


class Crossing(enum.Enum):
    """What happened to a request that arrived while its connection closed.

    Attributes:
        NONE: No request arrived.
        UNREAD: It was not read, so that it cannot have run.
        DISCARDED: It was read and not handled, since the client had announced
            the close before it.
    """

    NONE = "none"
    UNREAD = "unread"
    DISCARDED = "discarded"


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """The end of one client connection.

    Attributes:
        reason: Why it ended.
        crossing: What happened to a request that arrived meanwhile.
        request_id: Id of that request, or an empty string.
        waited_s: Seconds since the connection began to wait for a request.
        responses: Responses that it had carried.
    """

    reason: EndReason
    crossing: Crossing
    request_id: str
    waited_s: float
    responses: int


class ConnectionEnds:
    """Counts the ends of connections and logs those that cut a request off."""

    def __init__(
        self,
        log: decision_log.DecisionLog,
        metrics: relay_metrics.RelayMetrics,
    ) -> None:
        self._log = log
        self._metrics = metrics

    def record(
        self, end: ConnectionEnd, config_version: int, idle_timeout_s: float
    ) -> None:
        """Records an end.

        Args:
            end: The end.
            config_version: Version of the configuration in force, or 0.
            idle_timeout_s: Idle timeout in force, in seconds.
        """
        crossing = end.crossing.value
        self._metrics.connection_ends.labels(end.reason.value, crossing).inc()
        if end.crossing is Crossing.NONE:
            return
        self._log.failure(
            "connection.closed",
            request=end.request_id,
            reason=end.reason.value,
            crossing=crossing,
            waited_s=round(end.waited_s, 3),
            responses=end.responses,
            idle_timeout_s=idle_timeout_s,
            config_version=config_version,
        )
