"""Export of the daemon's gauges and counters."""

import gevent

from rattanpulley_core import interfaces
from rattanpulleyd._internal.peers import peer_runtime as peer_runtime_lib
from rattanpulleyd._internal.runtime import runtime as runtime_lib
from rattanpulleyd._internal.telemetry import counters

FLUSH_INTERVAL_S = 1.0
GENERATION_COUNTER_PREFIX = "generation"
PEER_COUNTER_PREFIX = "peers"

_Counter = counters.Counter


class CounterExport:
    """Reads the counts of the components and sends them every second."""

    def __init__(
        self,
        *,
        runtime: runtime_lib.Runtime,
        peer_runtime: peer_runtime_lib.PeerRuntime | None,
        clock: interfaces.Clock,
        counts: counters.Counters,
    ) -> None:
        """Initializes the export.

        Args:
            runtime: Runtime of the generation core.
            peer_runtime: Runtime of the peer protocol, or None without peers.
            clock: Source of time.
            counts: Counters of the daemon.
        """
        self._runtime = runtime
        self._peer_runtime = peer_runtime
        self._clock = clock
        self._counts = counts

    def run(self) -> None:
        """Updates the gauges and sends the counters until it is killed."""
        while True:
            gevent.sleep(FLUSH_INTERVAL_S)
            self._export()

    def _export(self) -> None:
        gap_ms = round(self._runtime.pop_longest_gap_s() * 1000)
        self._counts.gauge(_Counter.LOOP_LONGEST_GAP_MS, gap_ms)
        status = self._runtime.core.status(self._clock.monotonic_s())
        self._counts.gauge(_Counter.GENERATIONS_ACTIVE, status.active_count)
        self._counts.gauge(_Counter.JOURNAL_BYTES, status.journal_bytes)
        self._counts.add_component_totals(
            GENERATION_COUNTER_PREFIX, status.counters_by_name
        )
        if self._peer_runtime is not None:
            counters_by_name = self._peer_runtime.counters_by_name()
            self._counts.add_component_totals(
                PEER_COUNTER_PREFIX, counters_by_name
            )
        self._counts.flush()
        self._runtime.log_target_states()
