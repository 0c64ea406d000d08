"""Counters and latency histograms of the relay.

docs/OPERATIONS.md lists all of them with their units.
"""

import prometheus_client

LATENCY_BUCKETS_S = (
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.7, 1.0, 2.0, 4.5, 10.0, 25.0,
)  # fmt: skip


class RelayMetrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = self._counter(
            "requests", "Requests by kind and status", ["kind", "status"]
        )
        self.request_failures = self._counter(
            "request_failures", "Requests that a program error ended", []
        )
        self.connection_ends = self._counter(
            "connection_ends",
            "Client connections that ended, and requests that they cut off",
            ["reason", "crossing"],
        )
        self.task_failures = self._counter(
            "task_failures", "Tasks that a program error ended", ["task"]
        )
        self.unreadable_entries = self._counter(
            "unreadable_entries", "Entries of targets that were unreadable", []
        )
        self.attempts = self._counter(
            "attempts", "Attempts on targets by ending", ["ending"]
        )
        self.retries_denied = self._counter(
            "retries_denied",
            "Failed attempts that no other attempt followed",
            ["reason", "answered"],
        )
        self.resumes = self._counter(
            "resumes", "Streams continued on another target", ["source"]
        )
        self.copies = self._counter(
            "memory_copies", "Copies of a run's memory", ["result"]
        )
        self.probes = self._counter("probes", "Probes of targets", ["result"])
        self.load_reports = self._counter(
            "load_reports", "Loads that targets report in answers", ["kind"]
        )
        self.target_announcements = self._counter(
            "target_announcements", "What targets say of themselves", ["kind"]
        )
        self.targets_unavailable = prometheus_client.Gauge(
            "rattanpulley_targets_unavailable",
            "Targets that have said that they want no requests",
            ["reason"],
            registry=self.registry,
        )
        self.suspects = self._counter(
            "suspects", "Requests that crash targets", ["event"]
        )
        self.store_calls = self._counter(
            "store_calls", "Calls to the store", ["call", "result"]
        )
        self.peer_calls = self._counter(
            "peer_calls", "Questions to other hosts", ["result"]
        )
        self.answer_seconds = self._histogram(
            "answer_seconds", "Time to the answer or first event", ["kind"]
        )
        self.pause_seconds = self._histogram(
            "pause_seconds", "Longest pause of each stream", []
        )
        self.admission_decisions = self._counter(
            "admission_decisions",
            "Decisions on requests by the memory of engines",
            ["action", "cause"],
        )
        self.admission_waiting = prometheus_client.Gauge(
            "rattanpulley_admission_waiting",
            "Requests that wait for memory on an engine",
            registry=self.registry,
        )
        self.admission_waits = self._histogram(
            "admission_wait_seconds", "Wait of requests held on this host", []
        )
        self.retry_waits = self._histogram(
            "retry_wait_seconds", "Wait of begun streams for a retry", []
        )
        self.memory_held_bytes = prometheus_client.Gauge(
            "rattanpulley_memory_held_bytes",
            "Memory that is reserved for client connections",
            registry=self.registry,
        )
        self.memory_budget_bytes = prometheus_client.Gauge(
            "rattanpulley_memory_budget_bytes",
            "Memory that may be reserved for client connections",
            registry=self.registry,
        )
        self.memory_refusals = self._counter(
            "memory_refusals",
            "Client connections that were ended while memory was short",
            ["phase", "cause"],
        )
        self.loop_gap_seconds = prometheus_client.Gauge(
            "rattanpulley_loop_gap_seconds",
            "Longest time in which no greenlet ran",
            registry=self.registry,
        )

    def _counter(
        self, name: str, text: str, labels: list[str]
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"rattanpulley_{name}", text, labels, registry=self.registry
        )

    def _histogram(
        self, name: str, text: str, labels: list[str]
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f"rattanpulley_{name}",
            text,
            labels,
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
