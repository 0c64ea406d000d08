"""Rows of the routes and pools tables, which operators edit.

The JSON objects have the same field names. A table is `{"schema": 1, "rows":
{NAME: ROW}}`. The fields `targets` and `versions` of a pool are maps by name.
"""

import dataclasses
import enum


class TargetKind(enum.Enum):
    """Kind of a target: it serves generations or plain service calls."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True)
class Match:
    """Condition that selects the requests of a route.

    Attributes:
        model: Model name of a generation, or None.
        service: Service name in the path `/services/NAME/`, or None.
    """

    model: str | None = None
    service: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AccountLimit:
    """Limit of one client account on a route, across all daemons.

    Attributes:
        concurrent: Maximum number of concurrent requests.
    """

    concurrent: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Assigns requests to a pool, with their priority and limits.

    Attributes:
        name: Name of the row.
        match: Requests that use the route.
        pool: Name of the pool.
        kind: Kind of the targets in the pool.
        repeatable: Whether a call may be executed more than once.
        priority: Priority of the requests; larger is more urgent.
        deadline_s: Maximum time for a complete answer, in seconds.
        max_call_s: Maximum time of one service call, in seconds.
        max_tokens: Maximum number of tokens of an answer.
        default_limit: Limit of each account without its own entry, or None.
        limits_by_account: Limits of individual accounts.
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
    """A target that belongs to a pool."""

    name: str
    url: str
    failure_domain: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class VersionSpec:
    """A version of a pool; `weight` sets its share while no move is active."""

    name: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A planned move of traffic between two versions.

    Attributes:
        move_id: Unique name; a verdict applies to one move.
        from_version: Version that the traffic moves away from.
        to_version: Version that the traffic moves to.
        start_at_s: Time at which the move starts, in Unix seconds.
        finish_by_s: Time by which the old version must have no traffic, in
            Unix seconds.
        paused: Whether the traffic share is frozen.
        paused_at_s: Time of the pause in Unix seconds, or None. The share is
            computed for this time, so that a daemon that starts during the
            pause computes the same share.
        taken_back: Whether an operator rolled back the move. The old version
            then receives all requests, as after a verdict.
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
    """Targets of one kind, and the versions that they run.

    Attributes:
        name: Name of the row.
        kind: Kind of the targets.
        versions_by_name: Versions by name.
        targets_by_name: Targets by name.
        move: The planned or active move between two versions, or None.
    """

    name: str
    kind: TargetKind
    versions_by_name: dict[str, VersionSpec]
    targets_by_name: dict[str, TargetSpec]
    move: Move | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes of one version of the stored table."""

    version: int
    routes_by_name: dict[str, Route]


@dataclasses.dataclass(frozen=True, slots=True)
class PoolTable:
    """All pools of one version of the stored table."""

    version: int
    pools_by_name: dict[str, Pool]
