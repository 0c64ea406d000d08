"""Limits on clients while versions of the configuration replace each other.

Callers may rely on a version from its acknowledgement on, which a host learns
later, and on an older one until the activation time after the acknowledgement
of its successor. A version may come and go between two reads of a host.
"""

import dataclasses

from rattanpulley_core._internal.serving import config as config_lib

# The read that brought a version may have been sent before its acknowledgement,
# and the last request under the older version needs time to arrive.
ARRIVAL_MARGIN_S = 1.0
# Bounds the idle connections of a host that has lost the store.
MAX_UNKNOWN_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class _ReplacedLimits:
    """Limits of a version that was replaced.

    Attributes:
        limits: The limits.
        confirmed_at_s: When the last read that returned them was sent. The
            successor was acknowledged later.
        replaced_at_s: When the read that returned the successor was sent.
    """

    limits: config_lib.ClientLimits
    confirmed_at_s: float
    replaced_at_s: float


class LimitHistory:
    """The limits of all versions that callers may still rely on."""

    def __init__(self, activation_s: float) -> None:
        """Creates a history without versions.

        Args:
            activation_s: Time in seconds after its acknowledgement at which a
                version is active everywhere.
        """
        self._activation_s = activation_s
        self._current = config_lib.ClientLimits()
        self._replaced: list[_ReplacedLimits] = []

    def set_activation(self, activation_s: float) -> None:
        """Sets the activation time in seconds."""
        self._activation_s = activation_s

    def start(self, limits: config_lib.ClientLimits) -> None:
        """Sets the limits of the first version."""
        self._current = limits

    def replace(
        self,
        limits: config_lib.ClientLimits,
        confirmed_at_s: float,
        replaced_at_s: float,
    ) -> None:
        """Sets the limits of a newer version.

        Args:
            limits: The limits.
            confirmed_at_s: When the last read that returned the older version
                was sent.
            replaced_at_s: When the read that returned the newer one was sent.
        """
        oldest_s = replaced_at_s - self._activation_s - MAX_UNKNOWN_S
        self._replaced = [
            row for row in self._replaced if row.replaced_at_s > oldest_s
        ]
        # Equal limits count too: other versions may have come between them.
        self._replaced.append(
            _ReplacedLimits(self._current, confirmed_at_s, replaced_at_s)
        )
        self._current = limits

    def _idle_until_s(self, row: _ReplacedLimits) -> float:
        """Returns until when the idle timeout of an older version counts."""
        return row.replaced_at_s + self._activation_s + ARRIVAL_MARGIN_S

    def request_limits(self, now_s: float) -> config_lib.ClientLimits:
        """Returns the widest limits that may be in force for a request.

        An older version does not count for longer than the activation time
        after the earliest time at which its successor may have been
        acknowledged.
        """
        rows = [
            row.limits
            for row in self._replaced
            if now_s < row.confirmed_at_s + self._activation_s
        ]
        if not rows:
            return self._current
        rows.append(self._current)
        return config_lib.ClientLimits(
            max_header_bytes=max(row.max_header_bytes for row in rows),
            max_body_bytes=max(row.max_body_bytes for row in rows),
            header_timeout_s=max(row.header_timeout_s for row in rows),
            idle_timeout_s=max(row.idle_timeout_s for row in rows),
        )

    def close_idle_after_s(self, now_s: float, confirmed_at_s: float) -> float:
        """Returns for how long a connection may wait for a request.

        That is the longest idle timeout that a caller may rely on, and the time
        in which a longer one may have been acknowledged that this host does not
        know. A connection that was within the timeout before stays open.

        Args:
            now_s: Current time.
            confirmed_at_s: When the last read that returned the newest version
                was sent.
        """
        timeout_s = self._current.idle_timeout_s
        known_at_s = confirmed_at_s
        for row in reversed(self._replaced):
            if self._idle_until_s(row) <= known_at_s:
                break
            # Other versions may have come between it and its successor. They
            # are valid for as long, and may have kept connections open.
            timeout_s = max(timeout_s, row.limits.idle_timeout_s)
            known_at_s = min(known_at_s, row.confirmed_at_s)
        unknown_s = max(self._activation_s, now_s - known_at_s)
        return timeout_s + min(unknown_s, self._activation_s + MAX_UNKNOWN_S)
