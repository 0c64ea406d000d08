"""Asks other hosts for what they have read, before the store is asked."""

from collections.abc import Callable
from typing import TypeVar

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import belief_exchange
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib

# Two waits of a shared watch and a pause after a change.
TARGETS_AGE_LIMIT_S = 3.3

_Report = TypeVar("_Report", serving.ConfigReport, serving.TargetsReport)


class BeliefPeers:
    """The hosts that are asked before the store."""

    def __init__(
        self, context: context_lib.RelayContext, own: serving.HostEntry
    ) -> None:
        """Creates a client that has asked nobody.

        Args:
            context: State of the process.
            own: Entry of this host.
        """
        self._context = context
        self._order = serving.PeerSelector(context.fleet, own)
        self._client = belief_exchange.PeerClient()
        self._digest = belief_exchange.ConfigDigest()

    def config_confirmed_at_s(self, age_limit_s: float) -> float | None:
        """Returns when the configuration in force was last confirmed.

        Args:
            age_limit_s: Greatest age of another host's confirmation.

        Returns:
            The time on the clock that counts suspension, or None when the
            store must be read.
        """
        config = self._context.belief.config
        if config is None:
            return None
        sent_at_s = clock.suspend_aware_now_s()
        report = self._ask(self._client.ask_config, age_limit_s)
        if report is None:
            return None
        if report.version != config.version:
            return None
        if report.digest != self._digest.of(config):
            return None
        return sent_at_s - report.age_s

    def targets(
        self, position: int
    ) -> tuple[serving.TargetsReport, float] | None:
        """Returns what another host knows of targets after a position.

        Returns:
            Its report and when that was confirmed, or None when the store must
            be asked.
        """
        sent_at_s = clock.suspend_aware_now_s()
        report = self._ask(
            lambda entry: self._client.ask_targets(entry, position),
            TARGETS_AGE_LIMIT_S,
        )
        if report is None:
            return None
        return report, sent_at_s - report.age_s

    def _ask(
        self,
        ask: Callable[[serving.HostEntry], _Report],
        age_limit_s: float,
    ) -> _Report | None:
        """Returns the first report that is young enough.

        A host without such a report is cut off, or asks others itself; it is
        passed over for a while.
        """
        metrics = self._context.metrics.peer_calls
        for entry in self._order.peers(clock.now_s()):
            reason = ""
            try:
                report = ask(entry)
                if report.age_s <= age_limit_s:
                    metrics.labels("ok").inc()
                    return report
                reason = f"its belief is {report.age_s:.1f} s old"
            except belief_exchange.NoReportError as error:
                reason = str(error)
            metrics.labels("failed").inc()
            self._order.mark_unresponsive(entry.name, clock.now_s())
            self._context.log.change(
                "peer.passed_over", peer=entry.name, reason=reason
            )
        return None
