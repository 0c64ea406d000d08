"""Typed events, actions and facts of version moves.

`fact_json` has the JSON form of the facts, in which peers forward them.
"""

import dataclasses
import enum


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
