"""Injects faults into the engines and daemons of a deployment."""

from collections.abc import Sequence
import dataclasses
import enum
import random
import time

from rattanpulley_standins._internal import http_json
from rattanpulley_standins._internal.launch import deployment as deployment_lib
from rattanpulley_standins._internal.load import record as record_lib


class FaultKind(enum.Enum):
    """Kinds of injected faults."""

    RESET = "reset"
    SILENT = "silent"
    PAUSED = "paused"
    QUARTER_LOST = "quarter_lost"
    DAEMON_LOST = "daemon_lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Injection:
    """Fault that was injected.

    Attributes:
        kind: Kind of the fault.
        names: Names of the affected processes.
        at_s: Monotonic time just before the fault.
        short_generation_ids: Short ids of the generations that the engines
            computed for a reader or the daemon delivered.
    """

    kind: FaultKind
    names: tuple[str, ...]
    at_s: float
    short_generation_ids: frozenset[str]

    def affected_records(
        self, records: Sequence[record_lib.AnswerRecord]
    ) -> list[record_lib.AnswerRecord]:
        """Returns the answers that the affected processes were streaming."""
        return [
            record
            for record in records
            if self.short_generation_ids & record.short_generation_ids
            and record.is_streaming_at(self.at_s)
        ]


class Injector:
    """Chooses processes of a deployment and injects faults into them.

    Args:
        deployment: Running deployment.
        seed: Seed of the choice of engines.
    """

    def __init__(self, deployment: deployment_lib.Deployment, seed: int):
        self._deployment = deployment
        self._rng = random.Random(f"faults-{seed}")

    def choose(self, count: int, version: str | None = None) -> list[str]:
        """Returns the names of the busiest engines, alternating the versions.

        The seed decides between equally busy engines.

        Args:
            count: Maximum number of engines.
            version: Version of the engines, or None for any version.
        """
        engines = [
            engine
            for engine in self._deployment.engines
            if version in (None, engine.version)
            and self._deployment.is_running(engine.name)
        ]
        self._rng.shuffle(engines)
        engines.sort(
            key=lambda engine: -len(self._running_short_ids(engine.name))
        )
        ranks: dict[str, int] = {}
        ordered: list[tuple[int, str]] = []
        for engine in engines:
            rank = ranks.get(engine.version, 0)
            ranks[engine.version] = rank + 1
            ordered.append((rank, engine.name))
        ordered.sort(key=lambda item: item[0])
        return [name for _, name in ordered[:count]]

    def kill(self, kind: FaultKind, names: Sequence[str]) -> Injection:
        """Kills engines simultaneously."""
        injection = self._new_injection(kind, names)
        self._deployment.kill_all(list(names))
        return injection

    def stall_connections(self, name: str) -> Injection:
        """Stalls the connections that an engine currently has open."""
        injection = self._new_injection(FaultKind.SILENT, [name])
        self._deployment.set_faults(name, {"silent_connections": True})
        return injection

    def pause(self, name: str) -> Injection:
        """Pauses an engine process."""
        injection = self._new_injection(FaultKind.PAUSED, [name])
        self._deployment.pause(name)
        return injection

    def kill_daemon(
        self, name: str, records: Sequence[record_lib.AnswerRecord]
    ) -> Injection:
        """Kills a daemon.

        Args:
            name: Name of the daemon.
            records: Answers in progress.
        """
        url = self._deployment.url(name)
        short_ids = frozenset(
            record.checker.short_generation_id
            for record in records
            if record.server == url
        )
        injection = Injection(
            FaultKind.DAEMON_LOST, (name,), time.monotonic(), short_ids
        )
        self._deployment.kill(name)
        return injection

    def repair(self, injection: Injection) -> None:
        """Reverts a fault: resumes a paused process, restarts a killed one.

        Raises:
            deployment_lib.DeploymentError: A process did not become ready.
        """
        if injection.kind is FaultKind.PAUSED:
            for name in injection.names:
                self._deployment.resume(name)
        elif injection.kind is not FaultKind.SILENT:
            for name in injection.names:
                self._deployment.restart(name)

    def _new_injection(
        self, kind: FaultKind, names: Sequence[str]
    ) -> Injection:
        running: set[str] = set()
        for name in names:
            running |= self._running_short_ids(name)
        return Injection(
            kind, tuple(names), time.monotonic(), frozenset(running)
        )

    def _running_short_ids(self, name: str) -> set[str]:
        url = f"{self._deployment.url(name)}/generations"
        rows = http_json.expect("GET", url)["generations"]
        return {
            row["generation_id"][:8]
            for row in rows
            if row["read"] and not row["finished"]
        }
