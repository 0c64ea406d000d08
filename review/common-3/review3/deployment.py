"""A small deployment: the store, replicas of two services, and entry hosts."""

from collections.abc import Callable
import os
import pathlib
import signal
import sys
import tempfile
import time

from review3 import hosts as hosts_lib
from review3 import record as record_lib
from review3 import replicas as replicas_lib
from review3 import store as store_lib

ZONES = ["north", "south"]
# The sites' own figure for `kill_all`.
DOWN_S = 1.5
_NUMBERS_BY_SERVICE = {
    "kiosk-api": range(1, 5),
    "assistant-pool": range(17, 21),
}


class Deployment:
    """The parts of a case; nothing is started at first but the store.

    Attributes:
        log: Record of what is sent, answered and run.
        platform: The store.
        replicas: Replicas; they listen and are not registered yet.
        hosts: Entry hosts; they do not run yet.
    """

    def __init__(self, folder: pathlib.Path, log: record_lib.Record) -> None:
        self.log = log
        self.platform = store_lib.Store()
        self.replicas = [
            replicas_lib.Replica(
                f"i-{number:08x}",
                service,
                ZONES[number % 2],
                self.platform,
                log,
                is_engine=service == "assistant-pool",
            )
            for service, numbers in _NUMBERS_BY_SERVICE.items()
            for number in numbers
        ]
        self.hosts = [
            hosts_lib.Host(
                f"front-{zone}-{number}",
                zone,
                ZONES,
                self.platform.address,
                folder,
            )
            for zone in ZONES
            for number in (1, 2)
        ]

    def start(self, **timeouts_ms: int) -> None:
        """Starts all, with route timeouts by kind, until hosts are ready."""
        config = replicas_lib.config(3, **timeouts_ms)
        self.platform.put("config", "main", config)
        for replica in self.replicas:
            replica.register()
        for host in self.hosts:
            host.start()
        hosts_lib.wait_until_ready(self.hosts)

    def final_fault(self) -> None:
        """Kills all processes right after a configuration is acknowledged."""
        self.platform.put("config", "main", replicas_lib.config(9))
        for host in self.hosts:
            host.kill()
        self.log.say("final fault: all processes are killed")
        time.sleep(DOWN_S)
        for host in self.hosts:
            host.start()

    def close(self) -> None:
        """Ends all that was started."""
        for host in self.hosts:
            host.kill()
        for replica in self.replicas:
            replica.close()
        self.platform.close()


def run(play: Callable[[Deployment, bool], bool]) -> int:
    """Plays a case in the folder that the command line names.

    Args:
        play: Plays the case, with its disruption or without, and returns
            whether the rule held.

    Returns:
        The exit status: 1 if the rule was broken, 0 if it held, 2 if the case
        could not run.
    """
    # What was started is ended also if the script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    log = record_lib.Record(pathlib.Path(sys.argv[1]) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = None
    with tempfile.TemporaryDirectory() as folder:
        try:
            deployment = Deployment(pathlib.Path(folder), log)
            holds = play(deployment, has_trouble)
        except Exception as error:  # noqa: BLE001 - shows nothing of the rule
            log.say(f"the case could not run: {error!r}")
            return 2
        finally:
            if deployment is not None:
                deployment.close()
            log.close()
    print("the rule held" if holds else "the rule was broken", flush=True)
    return 0 if holds else 1
