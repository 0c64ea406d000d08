"""The platform's memory limit: a process that exceeds it is killed."""

import threading
import time

from review3 import hosts as hosts_lib
from review3 import record as record_lib

POLL_S = 0.02
RESTART_S = 1.5


class MemoryLimit:
    """Kills hosts that exceed the limit of their settings; restarts them.

    Attributes:
        kills: Names of the hosts that were killed, in order.
    """

    def __init__(
        self, hosts: list[hosts_lib.Host], log: record_lib.Record
    ) -> None:
        self.kills: list[str] = []
        self._log = log
        self._is_open = True
        self._threads = [
            threading.Thread(target=self._watch, args=(host,), daemon=True)
            for host in hosts
        ]
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Ends the checks."""
        self._is_open = False
        for thread in self._threads:
            thread.join()

    def _watch(self, host: hosts_lib.Host) -> None:
        limit_mb = host.settings["limits"]["memory_mb"]
        while self._is_open:
            used_mb = host.memory_mb()
            if used_mb > limit_mb:
                host.kill()
                self.kills.append(host.name)
                self._log.write(f"{host.name} killed with {used_mb:.0f} MB")
                time.sleep(RESTART_S)
                if self._is_open:
                    host.start()
            time.sleep(POLL_S)
