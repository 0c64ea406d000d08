"""Starts replicas as separate processes."""

import os
import signal
import subprocess
import sys
import threading

from standins import harness


class ReplicaProcess:
    """A replica process.

    Attributes:
        replica_id: Id of the replica.
        address: IP address and port.
        run_ids: Ids of the requests that it has run, in order.
        runs_at_s: When they began, on the monotonic clock.
    """

    def __init__(
        self, replica_id: str, record: harness.Record, *options: str
    ) -> None:
        """Starts the process.

        Args:
            replica_id: Id of the replica.
            record: Receives its runs.
            *options: Further options of `replica_process`.
        """
        self.replica_id = replica_id
        self.run_ids: list[str] = []
        self.runs_at_s: list[float] = []
        self._record = record
        self._process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "standins.replica_process",
                f"--id={replica_id}",
                *options,
            ],
            env=dict(os.environ),
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        assert self._process.stdout is not None
        self._output = self._process.stdout
        self.address = self._output.readline().strip()
        if not self.address:
            self.close()
            raise harness.CaseError(f"{replica_id} has not started")
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        for line in self._output:
            words = line.split()
            if len(words) == 3 and words[0] == "run":
                self.run_ids.append(words[1])
                self.runs_at_s.append(float(words[2]))
                self._record.write(f"run {words[1]} at {self.replica_id}")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self._process.send_signal(number)

    def close(self) -> None:
        """Ends the process."""
        self._process.kill()
        self._process.wait()
