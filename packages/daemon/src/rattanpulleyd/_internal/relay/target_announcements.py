"""Reads what targets say about themselves in each of their answers."""

import gevent

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import decision_log
from rattanpulleyd._internal.relay import relay_metrics
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import wire

STEP_INTERVAL_S = 0.5
# Lines on begins and ends in one interval; the counters have the others.
MAX_LINES = 20
UNREADABLE_LOG_INTERVAL_S = 10.0


class TargetAnnouncements:
    """Feeds the answers of targets to their availability, and logs changes."""

    def __init__(
        self,
        availability: serving.TargetAvailability,
        targets: serving.TargetRegistry,
        names: wire.HeaderNames,
        log: decision_log.DecisionLog,
        metrics: relay_metrics.RelayMetrics,
    ) -> None:
        """Creates a reader that has read nothing.

        Args:
            availability: Keeps what targets say.
            targets: Targets by id.
            names: Header names of the deployment.
            log: Log for changes.
            metrics: Counts the announcements.
        """
        self._availability = availability
        self._targets = targets
        self._names = names
        self._log = log
        self._metrics = metrics
        self._lines_left = MAX_LINES
        self._unreadable = 0
        self._unreadable_logged_at_s = float("-inf")

    def record_head(
        self,
        entry: serving.TargetEntry,
        head: target_connection.ResponseHead,
    ) -> None:
        """Records what the head of any answer says about its target.

        The answer to another request counts too: it is the same target's.

        Args:
            entry: The target to which the request was sent.
            head: The head.
        """
        speaker = self._speaker(entry, head)
        announcement = serving.parse_announcement(
            head.status,
            wire.header_values(head.headers, self._names.draining),
            wire.header_values(head.headers, wire.RETRY_AFTER),
        )
        if speaker is None or announcement == serving.Announcement():
            return
        self._count(speaker, announcement)
        for change in self._availability.record(
            speaker, announcement, clock.now_s()
        ):
            self._log_change(change)

    def _speaker(
        self,
        entry: serving.TargetEntry,
        head: target_connection.ResponseHead,
    ) -> serving.TargetEntry | None:
        """Returns the target that has answered, or None if it is unknown.

        Another target may have the address; what it says is not about this one.
        """
        found_id = head.value(self._names.target_id)
        if found_id is None:
            return None if head.status == 421 else entry
        if found_id == entry.target_id:
            return entry
        return self._targets.entry(found_id)

    def check(self, entry: serving.TargetEntry) -> None:
        """Checks that a target still accepts a request that is about to go.

        Raises:
            target_connection.AttemptError: It has said meanwhile that it does
                not; nothing was sent.
        """
        current = self._targets.entry(entry.target_id) or entry
        reason = self._availability.reason_of(current, clock.now_s())
        if reason is not None:
            raise target_connection.AttemptError(
                serving.FailureKind.UNAVAILABLE, f"the target: {reason.value}"
            )

    def run_forever(self) -> None:
        """Logs what ends; runs in its own greenlet."""
        while True:
            gevent.sleep(STEP_INTERVAL_S)
            self.step(clock.now_s())

    def step(self, now_s: float) -> None:
        """Logs what has ended and updates the gauges."""
        self._lines_left = MAX_LINES
        for change in self._availability.expire(now_s):
            self._log_change(change)
        reasons = [row.reason for row in self._availability.pauses(now_s)]
        for reason in serving.UnavailableReason:
            gauge = self._metrics.targets_unavailable.labels(reason.value)
            gauge.set(reasons.count(reason))

    def _count(
        self,
        entry: serving.TargetEntry,
        announcement: serving.Announcement,
    ) -> None:
        announcements = self._metrics.target_announcements
        if announcement.draining:
            announcements.labels("draining").inc()
        if announcement.retry_after_s:
            announcements.labels("retry_after").inc()
        if not announcement.unreadable:
            return
        announcements.labels("unreadable").inc(announcement.unreadable)
        self._unreadable += announcement.unreadable
        now_s = clock.now_s()
        if now_s - self._unreadable_logged_at_s < UNREADABLE_LOG_INTERVAL_S:
            return
        self._unreadable_logged_at_s = now_s
        self._log.failure(
            "target.unreadable_announcement",
            target=entry.target_id,
            values=self._unreadable,
        )
        self._unreadable = 0

    def _log_change(self, change: serving.AvailabilityChange) -> None:
        if self._lines_left <= 0:
            return
        self._lines_left -= 1
        now_s = clock.now_s()
        if change.ended:
            self._log.change(
                "target.available",
                target=change.target_id,
                reason=change.reason.value,
                lasted_s=round(change.until_s - change.since_s, 3),
            )
            return
        bounded = change.until_s != float("inf")
        self._log.change(
            f"target.{change.reason.value}",
            target=change.target_id,
            for_s=round(change.until_s - now_s, 3) if bounded else None,
            source="answer",
        )
