"""Typed events, actions and facts of version moves.

Facts have a JSON form, in which peers forward them.
"""

import dataclasses
import enum
from typing import Any


class Signal(enum.Enum):
    """Signals that are compared between the two versions of a move."""

    ERRORS = "errors"
    CRASHES = "crashes"
    FIRST_TOKEN = "first_token"
    TOKEN_INTERVAL = "token_interval"


class Result(enum.Enum):
    """Result of a request at its target.

    A request that its caller cancelled is reported as `OK` if it had a first
    token, and not at all otherwise.
    """

    OK = "ok"
    ERROR = "error"
    CRASH = "crash"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """End of an attempt in a pool; the daemon reports each attempt once.

    Attributes:
        pool: Name of the pool.
        route: Name of the route.
        failure_domain: Failure domain of the target.
        target: Name of the target.
        version: Version of the target.
        share: Share of new requests that the daemon sent to the new version
            when it selected the version of this request, 0 to 1.
        result: Result of the request.
        first_token_s: Seconds to the first token, or duration of a complete
            service call; None without a token.
        token_interval_s: Mean seconds between tokens; None below two tokens.
    """

    pool: str
    route: str
    failure_domain: str
    target: str
    version: str
    share: float
    result: Result
    first_token_s: float | None = None
    token_interval_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Numbers of good and bad observations of one signal by version."""

    new_ok: int = 0
    new_bad: int = 0
    old_ok: int = 0
    old_bad: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CrashEvent:
    """Loss of a target with requests in flight.

    Attributes:
        failure_domain: Failure domain of the target.
        target: Name of the target.
        is_new: Whether the target ran the new version.
        wall_s: Unix seconds.
    """

    failure_domain: str
    target: str
    is_new: bool
    wall_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Counts of one signal on one route in one failure domain.

    Attributes:
        signal: Observed signal.
        route: Name of the route.
        share: Probability with which each counted request was sent to the new
            version.
        counts: Numbers of observations.
        bad_targets: Targets of the new version with a bad observation.
        crash: Crash that the counts represent; None for other signals.
    """

    signal: Signal
    route: str
    share: float
    counts: Counts
    bad_targets: tuple[str, ...] = ()
    crash: CrashEvent | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceBatch:
    """Observations of one daemon, for its peers.

    Attributes:
        daemon: Name of the daemon.
        boot_id: Random id of the daemon's process; `seq` restarts at 1 in a new
            process.
        seq: Sequence number of the batch in this process, from 1.
        pool: Name of the pool.
        move_id: Id of the move.
        observations: Observations since the previous batch.
    """

    daemon: str
    boot_id: str
    seq: int
    pool: str
    move_id: str
    observations: tuple[Observation, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Decision that the new version of a move is bad.

    Attributes:
        pool: Name of the pool.
        version: The bad version.
        move_id: Id of the move.
        daemon: Name of the daemon that decided, or `operator`.
        wall_s: Time of the decision in Unix seconds.
        evidence: Description of the evidence for operators.
    """

    pool: str
    version: str
    move_id: str
    daemon: str
    wall_s: float
    evidence: str

    @property
    def key(self) -> tuple[str, str, str]:
        """Pool, version and move id of the verdict."""
        return self.pool, self.version, self.move_id

    @property
    def object_key(self) -> str:
        """Key of the verdict in the object API."""
        return f"{VERDICT_PREFIX}{self.pool}/{self.version}/{self.move_id}"


VERDICT_PREFIX = "verdicts/"


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonReport:
    """Progress of one daemon in a move.

    Attributes:
        daemon: Name of the daemon.
        pool: Name of the pool.
        move_id: Id of the move.
        share: Share of new requests that the daemon sends to the new version.
        old_running: Requests of the daemon in flight on the old version.
    """

    daemon: str
    pool: str
    move_id: str
    share: float
    old_running: int


Event = RequestEnded | EvidenceBatch | Verdict | DaemonReport


@dataclasses.dataclass(frozen=True, slots=True)
class PublishEvidence:
    """Sends a batch to all peers."""

    batch: EvidenceBatch


@dataclasses.dataclass(frozen=True, slots=True)
class PublishVerdict:
    """Sends a verdict to all peers and creates its object.

    The object already exists if another daemon created it first.
    """

    verdict: Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class PublishReport:
    """Sends a report to all peers."""

    report: DaemonReport


Action = PublishEvidence | PublishVerdict | PublishReport


def verdict_to_json(verdict: Verdict) -> dict[str, Any]:
    """Returns the JSON form that is stored and sent to peers."""
    return dataclasses.asdict(verdict)


def verdict_from_json(value: Any) -> Verdict:
    """Returns the verdict of a JSON form; unknown fields are ignored.

    Raises:
        ValueError: The value is not a verdict.
    """
    try:
        return Verdict(
            pool=str(value["pool"]),
            version=str(value["version"]),
            move_id=str(value["move_id"]),
            daemon=str(value["daemon"]),
            wall_s=float(value["wall_s"]),
            evidence=str(value["evidence"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a verdict: {error!r}") from error


def report_to_json(report: DaemonReport) -> dict[str, Any]:
    """Returns the JSON form of a report."""
    return dataclasses.asdict(report)


def report_from_json(value: Any) -> DaemonReport:
    """Returns the report of a JSON form.

    Raises:
        ValueError: The value is not a report.
    """
    try:
        return DaemonReport(
            daemon=str(value["daemon"]),
            pool=str(value["pool"]),
            move_id=str(value["move_id"]),
            share=float(value["share"]),
            old_running=int(value["old_running"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a report: {error!r}") from error


def batch_to_json(batch: EvidenceBatch) -> dict[str, Any]:
    """Returns the JSON form of a batch.

    An observation is a list without field names, because every daemon receives
    the batches of all others within its bandwidth budget for control messages.
    """
    fields = {
        field.name: getattr(batch, field.name)
        for field in dataclasses.fields(batch)
    }
    fields["observations"] = [
        _observation_row(observation) for observation in batch.observations
    ]
    return fields


def batch_from_json(value: Any) -> EvidenceBatch:
    """Returns the batch of a JSON form; unknown fields are ignored.

    Raises:
        ValueError: The value is not a batch.
    """
    try:
        return EvidenceBatch(
            daemon=str(value["daemon"]),
            boot_id=str(value["boot_id"]),
            seq=int(value["seq"]),
            pool=str(value["pool"]),
            move_id=str(value["move_id"]),
            observations=tuple(
                _observation(row) for row in value["observations"]
            ),
        )
    except (IndexError, KeyError, TypeError) as error:
        raise ValueError(f"not an evidence batch: {error!r}") from error


def _observation_row(observation: Observation) -> list[Any]:
    crash = observation.crash
    return [
        observation.signal.value,
        observation.route,
        float(f"{observation.share:.4g}"),
        list(dataclasses.astuple(observation.counts)),
        list(observation.bad_targets),
        None if crash is None else list(dataclasses.astuple(crash)),
    ]


def _observation(row: Any) -> Observation:
    signal, route, share, counts, bad_targets, crash = row[:6]
    numbers = [int(number) for number in counts[:4]]
    if min(numbers) < 0:
        raise ValueError("not an evidence batch: a count is negative")
    return Observation(
        signal=Signal(signal),
        route=str(route),
        share=float(share),
        counts=Counts(*numbers),
        bad_targets=tuple(str(name) for name in bad_targets),
        crash=None if crash is None else _crash(crash),
    )


def _crash(row: Any) -> CrashEvent:
    return CrashEvent(str(row[0]), str(row[1]), bool(row[2]), float(row[3]))
