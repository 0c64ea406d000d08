"""The configuration that an entry host serves, and its route choice."""

from collections.abc import Mapping
import dataclasses
import enum
import random


class RouteKind(enum.Enum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedPool:
    """A pool and its share of a route's requests.

    Attributes:
        pool: Name of the pool.
        weight: Share relative to the route's other pools.
    """

    pool: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServingRoute:
    """One route.

    Attributes:
        name: Unique name.
        host: Value of the request's host name, without a port.
        path_prefix: Prefix of the path; begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time that the operator lets a request wait.
        objective_s: Time within which an answer, or the first event of a
            stream, is on time.
        pools: Where the requests go.
        max_attempts: Most targets that one request may be sent to.
        public: Whether no key is needed.
        resumable: Whether a stream may continue on another target.
        longest_pause_s: Longest pause between events that is on time, or 0.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    pools: tuple[WeightedPool, ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    longest_pause_s: float = 0.0

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.resumable
        )

    def choose_pool(self, rng: random.Random) -> str:
        """Returns a pool by weight."""
        if len(self.pools) == 1:
            return self.pools[0].pool
        weights = [pool.weight for pool in self.pools]
        return rng.choices(self.pools, weights)[0].pool


@dataclasses.dataclass(frozen=True, slots=True)
class ServingPool:
    """One pool of targets.

    Attributes:
        name: Unique name.
        has_engines: Whether its targets generate tokens.
        copies_memory: Whether engines can keep a copy of a run's memory on
            another target.
        slots: Requests that a target runs at once, or 0 when unknown.
        memory_tokens: Tokens that an engine's memory holds, or 0.
    """

    name: str
    has_engines: bool = False
    copies_memory: bool = False
    slots: int = 0
    memory_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds on what a client may send.

    Attributes:
        max_header_bytes: Largest request head.
        max_body_bytes: Largest request body.
        header_timeout_s: Longest time for a head.
        idle_timeout_s: Longest time that a connection stays unused.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServingConfig:
    """One version of the configuration.

    Attributes:
        version: Number of the version; versions grow.
        routes_by_host: Routes of each host name, longest prefix first.
        pools_by_name: Pools.
        limits: Bounds on what a client may send.
        account_by_key: Client account of each key; empty when routes need no
            keys.
        needs_keys: Whether routes that are not public need a key.
    """

    version: int
    routes_by_host: Mapping[str, tuple[ServingRoute, ...]]
    pools_by_name: Mapping[str, ServingPool]
    limits: ClientLimits
    account_by_key: Mapping[str, str]
    needs_keys: bool

    def route_for(self, host: str, path: str) -> ServingRoute | None:
        """Returns the route with the longest prefix that begins `path`."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def timeouts_by_route(self) -> dict[str, float]:
        """Returns the timeout of each route in seconds."""
        return {
            route.name: route.timeout_s
            for routes in self.routes_by_host.values()
            for route in routes
        }

    def only_engine_pool(self) -> str | None:
        """Returns the pool with engines if there is just one."""
        pools = [row for row in self.pools_by_name.values() if row.has_engines]
        return pools[0].name if len(pools) == 1 else None


def group_routes(
    routes: list[ServingRoute],
) -> dict[str, tuple[ServingRoute, ...]]:
    """Returns the routes of each host name, longest prefix first."""
    routes_by_host: dict[str, list[ServingRoute]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(rows, key=lambda row: -len(row.path_prefix)))
        for host, rows in routes_by_host.items()
    }
