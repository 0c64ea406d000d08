"""Rows of the two tables that operators edit.

The JSON form has the same field names. A table is `{"schema": 1, "rows":
{NAME: ROW}}`; in a pool row `targets`, `versions` are maps by name.
"""

import dataclasses
import enum


class TargetKind(enum.Enum):
    """What a target answers: generations or plain calls."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True)
class Match:
    """Which requests a route takes.

    Attributes:
        model: Model name of a generation, or None.
        service: Name in `/services/NAME/`, or None.
    """

    model: str | None = None
    service: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AccountLimit:
    """Limit of one account on a route over all daemons."""

    concurrent: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where a kind of request goes.

    Attributes:
        name: Name of the row.
        match: Which requests it takes.
        pool: Name of the pool.
        kind: Kind of the pool's targets.
        repeatable: Whether a call may run more than once.
        priority: Larger is more urgent.
        deadline_s: Longest time for a whole answer.
        max_call_s: Longest time of one service call.
        max_tokens: Upper bound of tokens of an answer.
        default_limit: Limit of accounts without a row of their own, or None.
        limits_by_account: Limits of single accounts.
    """

    name: str
    match: Match
    pool: str
    kind: TargetKind
    repeatable: bool = True
    priority: int = 0
    deadline_s: float = 600.0
    max_call_s: float = 10.0
    max_tokens: int = 4096
    default_limit: AccountLimit | None = None
    limits_by_account: dict[str, AccountLimit] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSpec:
    """A target that a pool may use."""

    name: str
    url: str
    failure_domain: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class VersionSpec:
    """A version of a pool; `weight` sets its share outside of a move."""

    name: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A planned move of traffic between two versions.

    Attributes:
        move_id: Unique name; a verdict belongs to one move.
        from_version: Version to empty.
        to_version: Version that takes over.
        start_at_s: Wall time at which the move starts, in Unix seconds.
        finish_by_s: Wall time by which the old version must be empty.
        paused: Whether the share stays as it is.
        paused_at_s: Wall time of the pause in Unix seconds, or None. The share
            is computed for this time, so that a daemon that starts during the
            pause computes the same share.
        taken_back: Whether an operator ended the move. The old version gets
            all requests, as after a verdict.
    """

    move_id: str
    from_version: str
    to_version: str
    start_at_s: float
    finish_by_s: float
    paused: bool = False
    paused_at_s: float | None = None
    taken_back: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Which targets and versions stand ready."""

    name: str
    kind: TargetKind
    versions_by_name: dict[str, VersionSpec]
    targets_by_name: dict[str, TargetSpec]
    move: Move | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes at one version of the stored object."""

    version: int
    routes_by_name: dict[str, Route]


@dataclasses.dataclass(frozen=True, slots=True)
class PoolTable:
    """All pools at one version of the stored object."""

    version: int
    pools_by_name: dict[str, Pool]
