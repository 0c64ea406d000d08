"""Typed events, actions and facts of the moves part.

Facts have a JSON form, so that peers can pass them on.
"""

import dataclasses
import enum
from typing import Any


class Signal(enum.Enum):
    """What is compared between the two versions of a move."""

    ERRORS = "errors"
    CRASHES = "crashes"
    FIRST_TOKEN = "first_token"
    TOKEN_INTERVAL = "token_interval"


class Result(enum.Enum):
    """How a request ended at its target.

    A request that its caller cancelled is reported as `OK` if it had a first
    token, and not at all otherwise.
    """

    OK = "ok"
    ERROR = "error"
    CRASH = "crash"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """A request of a pool ended; the daemon reports each attempt once.

    Attributes:
        pool: Name of the pool.
        route: Name of the route.
        failure_domain: Failure domain of the target.
        target: Name of the target.
        version: Version of the target.
        share: Share of new requests that the daemon gave to the new version
            when it chose the version of this request.
        result: How the request ended.
        first_token_s: Seconds to the first token, or of a whole service call;
            None if there was none.
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
    """Observations of one signal by version and by whether they are bad."""

    new_ok: int = 0
    new_bad: int = 0
    old_ok: int = 0
    old_bad: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CrashEvent:
    """Loss of a target while it ran requests.

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
        signal: What was observed.
        route: Name of the route.
        share: Probability that a request of these counts was given to the new
            version.
        counts: The observations.
        bad_targets: Targets of the new version with a bad observation.
        crash: The crash that the counts stand for; None for other counts.
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
        boot_id: Random id of the daemon's process; a new process counts `seq`
            from 1 again.
        seq: Number of the batch of this process.
        pool: Name of the pool.
        move_id: Id of the move.
        observations: What was observed since the batch before.
    """

    daemon: str
    boot_id: str
    seq: int
    pool: str
    move_id: str
    observations: tuple[Observation, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Finding that a version is bad in a move.

    Attributes:
        pool: Name of the pool.
        version: The bad version.
        move_id: Id of the move.
        daemon: Daemon or operator's change that found it.
        wall_s: Unix seconds.
        evidence: What was found, for people.
    """

    pool: str
    version: str
    move_id: str
    daemon: str
    wall_s: float
    evidence: str

    @property
    def key(self) -> tuple[str, str, str]:
        """What the verdict is about."""
        return self.pool, self.version, self.move_id

    @property
    def object_key(self) -> str:
        """Key in the object API."""
        return f"{VERDICT_PREFIX}{self.pool}/{self.version}/{self.move_id}"


VERDICT_PREFIX = "verdicts/"


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonReport:
    """What a daemon does in a move.

    Attributes:
        daemon: Name of the daemon.
        pool: Name of the pool.
        move_id: Id of the move.
        share: Share of new requests that it gives to the new version.
        old_running: Requests that it runs on the old version.
    """

    daemon: str
    pool: str
    move_id: str
    share: float
    old_running: int


Event = RequestEnded | EvidenceBatch | Verdict | DaemonReport


@dataclasses.dataclass(frozen=True, slots=True)
class PublishEvidence:
    """Send a batch to all peers."""

    batch: EvidenceBatch


@dataclasses.dataclass(frozen=True, slots=True)
class PublishVerdict:
    """Send a verdict to all peers and create its object.

    The object exists already if another daemon came first.
    """

    verdict: Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class PublishReport:
    """Send a report to all peers."""

    report: DaemonReport


Action = PublishEvidence | PublishVerdict | PublishReport


def verdict_to_json(verdict: Verdict) -> dict[str, Any]:
    """Returns the JSON form, as it is stored and sent."""
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

    An observation is a list without field names, because every daemon gets the
    batches of all others within its budget for control messages.
    """
    fields = {
        field.name: getattr(batch, field.name)
        for field in dataclasses.fields(batch)
    }
    fields["observations"] = [
        _observation_row(item) for item in batch.observations
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


def _observation_row(item: Observation) -> list[Any]:
    crash = item.crash
    return [
        item.signal.value,
        item.route,
        float(f"{item.share:.4g}"),
        list(dataclasses.astuple(item.counts)),
        list(item.bad_targets),
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
