"""What all cases share: hosts, clients, the record and the exit status."""

from collections.abc import Callable
import contextlib
import os
import pathlib
import signal
import sys
import tempfile
import traceback

from review_fleet import hosts
from review_fleet import platform
from review_fleet import record as record_lib

HELD, BROKEN, NOT_RUN = 0, 1, 2


def has_trouble() -> bool:
    """Returns whether the disruption of the case is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Deployment:
    """Hosts in one zone, with the platform.

    Attributes:
        record: Record of the script.
        platform: Store, replicas and operator.
        hosts: The hosts.
    """

    def __init__(
        self, record: record_lib.Record, folder: pathlib.Path, count: int
    ) -> None:
        """Creates the platform and the hosts; they are not started."""
        self.record = record
        self.platform = platform.Platform(record)
        self.hosts = [
            hosts.Host(
                f"front-north-{number}",
                "north",
                self.platform.store.address,
                folder,
                record,
            )
            for number in range(1, count + 1)
        ]

    def start(self) -> None:
        """Starts all hosts and waits until they are ready."""
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            host.wait_ready()

    def record_decisions(self, *events: str) -> None:
        """Copies lines of the hosts' logs to the record."""
        for host in self.hosts:
            for row in host.log_lines(*events):
                self.record.write("log", line=row)

    def close(self) -> None:
        """Ends everything."""
        for host in self.hosts:
            host.close()
        self.platform.close()


def run(
    play: Callable[[Deployment], bool],
    host_count: int,
    record_path: pathlib.Path,
) -> None:
    """Plays a case and exits with its status.

    Args:
        play: Plays the case; returns whether the rule held.
        host_count: Number of hosts.
        record_path: Where the record is written.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = record_lib.Record(record_path)
    status = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as folder:
            status = _play(play, host_count, record, pathlib.Path(folder))
    finally:
        record.write("end", status=status)
        record.close()
    # Threads of stand-ins may still wait for connections.
    sys.stdout.write(f"status {status}\n")
    sys.stdout.flush()
    os._exit(status)


def _play(
    play: Callable[[Deployment], bool],
    host_count: int,
    record: record_lib.Record,
    folder: pathlib.Path,
) -> int:
    deployment = Deployment(record, folder, host_count)
    with contextlib.closing(deployment):
        try:
            deployment.start()
            return HELD if play(deployment) else BROKEN
        except Exception:  # noqa: BLE001 - whatever the reason is
            record.write("not run", reason=traceback.format_exc())
            return NOT_RUN
