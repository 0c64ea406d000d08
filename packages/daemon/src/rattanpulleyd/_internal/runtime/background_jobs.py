"""Background jobs that run until the daemon stops."""

from collections.abc import Callable, Iterable

import gevent
import loguru

from rattanpulleyd._internal.telemetry import counters

JOB_RESTART_DELAY_S = 1.0

Job = Callable[[], None]


class BackgroundJobs:
    """Runs each job in a greenlet of its own and restarts it if it ends."""

    def __init__(self, daemon: str, counts: counters.Counters) -> None:
        """Initializes the jobs of a daemon without starting any.

        Args:
            daemon: Name of the daemon, for the log.
            counts: Counters of the daemon.
        """
        self._daemon = daemon
        self._counts = counts
        self._greenlets: list[gevent.Greenlet] = []

    def start(self, jobs: Iterable[Job]) -> None:
        """Starts the jobs, which return only when they fail."""
        self._greenlets = [gevent.spawn(self._keep_running, j) for j in jobs]

    def stop(self) -> None:
        """Kills all jobs."""
        gevent.killall(self._greenlets)

    def _keep_running(self, job: Job) -> None:
        """Runs a job and restarts it whenever it fails or returns.

        Otherwise a daemon whose watch or tick loop failed would appear healthy
        and serve outdated tables.
        """
        while True:
            greenlet = gevent.spawn(job)
            try:
                greenlet.join()
            finally:
                greenlet.kill(block=False)
            self._counts.count(counters.Counter.JOBS_FAILED)
            loguru.logger.error(
                "{}: a background job failed: {!r}",
                self._daemon,
                greenlet.exception,
            )
            gevent.sleep(JOB_RESTART_DELAY_S)
