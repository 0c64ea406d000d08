"""Configuration of an entry host, with the selection of routes and pools.

The digest that hosts exchange is computed from the `repr` of a `ServingConfig`.
The names of these classes and fields are therefore part of the protocol. A
field that earlier versions lack is left out of the `repr`; otherwise hosts of
mixed versions would never confirm each other's configuration in an upgrade.
"""

from collections.abc import Mapping
import dataclasses
import enum
import random

# Ranks of requests that targets accept; more urgent requests have lower ranks.
HIGHEST_PRIORITY = 0
LOWEST_PRIORITY = 9


class RouteKind(enum.Enum):
    """Kind of a route, which determines what may be retried.

    Attributes:
        SAFE: Requests may run more than once.
        UNSAFE: Requests must run at most once.
        STREAM: The response is a stream; whether it may run again depends on
            the route.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedPool:
    """A pool and its share of a route's requests.

    Attributes:
        pool: Name of the pool.
        weight: Weight relative to the other pools of the route.
    """

    pool: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServingRoute:
    """Route of requests with a host name and path prefix to pools.

    Attributes:
        name: Unique name.
        host: Host name of the request, without a port.
        path_prefix: Prefix of the path; starts and ends with a slash.
        kind: Determines what may be retried.
        timeout_s: Maximum time in seconds that a request may wait.
        objective_s: Time in seconds within which a response, or the first event
            of a stream, is on time.
        pools: Pools that receive the requests.
        max_attempts: Maximum number of targets one request may be sent to.
        public: Whether requests need no key.
        resumable: Whether a stream may continue on another target.
        longest_pause_s: Longest pause in seconds between events that is still
            on time, or 0.
        priority: Rank of the requests, 0 first, or None.
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
    priority: int | None = dataclasses.field(default=None, repr=False)

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.resumable
        )

    def choose_pool(self, rng: random.Random) -> str:
        """Returns a random pool according to the weights.

        Without any weight, all pools are alike.
        """
        if len(self.pools) == 1:
            return self.pools[0].pool
        weights = [pool.weight for pool in self.pools]
        if not any(weights):
            return rng.choice(self.pools).pool
        return rng.choices(self.pools, weights)[0].pool


@dataclasses.dataclass(frozen=True, slots=True)
class ServingPool:
    """Pool of targets.

    Attributes:
        name: Unique name.
        has_engines: Whether its targets generate tokens.
        copies_memory: Whether engines can store a copy of a run's memory on
            another target.
        slots: Number of requests that a target runs concurrently, or 0 if
            unknown.
        memory_tokens: Capacity of an engine's memory in tokens, or 0.
    """

    name: str
    has_engines: bool = False
    copies_memory: bool = False
    slots: int = 0
    memory_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the requests and connections of clients.

    Attributes:
        max_header_bytes: Maximum size of a request head.
        max_body_bytes: Maximum size of a request body.
        header_timeout_s: Maximum seconds to receive a request head.
        idle_timeout_s: Maximum seconds that a connection stays idle.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServingConfig:
    """One version of the configuration.

    Attributes:
        version: Version number; newer versions have larger numbers.
        routes_by_host: Routes of each host name, longest prefix first.
        pools_by_name: Pools by name.
        limits: Limits on the requests and connections of clients.
        account_by_key: Client account of each key; empty if no route needs a
            key.
        needs_keys: Whether routes that are not public need a key.
        priority_by_account: Rank of the requests of client accounts that have
            one, 0 first.
    """

    version: int
    routes_by_host: Mapping[str, tuple[ServingRoute, ...]]
    pools_by_name: Mapping[str, ServingPool]
    limits: ClientLimits
    account_by_key: Mapping[str, str]
    needs_keys: bool
    priority_by_account: Mapping[str, int] = dataclasses.field(
        default_factory=dict, repr=False
    )

    def ranks_differ(self, pool: str) -> bool:
        """Returns whether some requests of a pool are more urgent than others.

        Args:
            pool: Name of the pool.
        """
        ranks: set[int | None] = set(self.priority_by_account.values())
        for routes in self.routes_by_host.values():
            for route in routes:
                if any(row.pool == pool for row in route.pools):
                    ranks.add(route.priority)
                if len(ranks) > 1:
                    return True
        return False

    def priority_of(self, route: ServingRoute, account: str) -> int | None:
        """Returns the rank of the requests of an account on a route.

        The rank of the account takes precedence over that of the route.

        Args:
            route: Route of the request.
            account: Client account, or an empty string.

        Returns:
            The rank, `HIGHEST_PRIORITY` first, or None if neither has one.
        """
        return self.priority_by_account.get(account, route.priority)

    def route_for(self, host: str, path: str) -> ServingRoute | None:
        """Returns the route with the longest prefix of `path`, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_route(
        self, name: str, host: str, path: str
    ) -> ServingRoute | None:
        """Returns the route of a name if it covers a request, or None.

        A longer prefix may take the request from it.
        """
        for route in self.routes_by_host.get(host, ()):
            if route.name == name and path.startswith(route.path_prefix):
                return route
        return None

    def timeouts_by_route(self) -> dict[str, float]:
        """Returns the timeout of each route in seconds."""
        return {
            route.name: route.timeout_s
            for routes in self.routes_by_host.values()
            for route in routes
        }

    def pool_has_engines(self, name: str) -> bool:
        """Returns whether there is a pool of a name and it has engines."""
        pool = self.pools_by_name.get(name)
        return pool is not None and pool.has_engines

    def only_engine_pool(self) -> str | None:
        """Returns the name of the only pool with engines, or None."""
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
