"""Plan of a deployment: names, ports, settings and tables."""

from collections.abc import Sequence
import dataclasses
import random
from typing import Any

from rattanpulley_standins._internal.launch import ports

VERSIONS = ("v1", "v2")
PEER_KEY_BYTES = 16
ENGINE_POOL = "assistant"
SERVICE_POOL = "deposits"


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Size and timing of a deployment.

    Attributes:
        domains: Names of the failure domains.
        engines_per_domain: Number of engines in each failure domain.
        daemons: Number of daemons, spread over the failure domains.
        token_interval_ms: Time between two tokens of a stream.
        seed: Seed of the keys and of the engines.
        host_list_lag_ms: Delay until the host list shows a changed state.
        versions: Versions of the engines, assigned in turn within a domain.
        target_choice: How daemons choose engines; empty for their default.
        cache_blocks: Blocks in each engine's prefix cache; 0 for its default.
    """

    domains: tuple[str, ...] = ("north", "south")
    engines_per_domain: int = 4
    daemons: int = 2
    token_interval_ms: float = 30.0
    seed: int = 0
    host_list_lag_ms: float = 1000.0
    versions: tuple[str, ...] = VERSIONS
    target_choice: str = ""
    cache_blocks: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Engine or service of a deployment."""

    name: str
    domain: str
    version: str
    kind: str
    port: int

    @property
    def url(self) -> str:
        """Base URL."""
        return f"http://{ports.HOST}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Daemon:
    """Daemon of a deployment."""

    name: str
    domain: str
    port: int
    peer_port: int

    @property
    def url(self) -> str:
        """Base URL of the caller API."""
        return f"http://{ports.HOST}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Names, ports, settings and tables of a deployment."""

    options: Options
    platform_port: int
    targets: Sequence[Target]
    daemons: Sequence[Daemon]
    resume_key: str
    peer_key: str

    @property
    def platform_url(self) -> str:
        """Base URL of the platform."""
        return f"http://{ports.HOST}:{self.platform_port}"

    def platform_settings(self) -> dict[str, Any]:
        """Returns the settings of the platform stand-in."""
        hosts = [
            {
                "name": target.name,
                "domain": target.domain,
                "url": target.url,
                "kind": target.kind,
                "version": target.version,
            }
            for target in self.targets
        ]
        return {
            "listen": _listen(self.platform_port),
            "host_list_lag_ms": self.options.host_list_lag_ms,
            "hosts": hosts,
            "exit_with_parent": True,
        }

    def target_settings(self, target: Target) -> dict[str, Any]:
        """Returns the settings of an engine or service stand-in."""
        settings = {
            "name": target.name,
            "version": target.version,
            "listen": _listen(target.port),
            "token_interval_ms": self.options.token_interval_ms,
            "seed": self.options.seed,
            "exit_with_parent": True,
        }
        if self.options.cache_blocks and target.kind == "engine":
            settings["cache_blocks"] = self.options.cache_blocks
        return settings

    def daemon_settings(self, daemon: Daemon) -> dict[str, Any]:
        """Returns the settings of a daemon."""
        others = [other for other in self.daemons if other is not daemon]
        settings: dict[str, Any] = {
            "name": daemon.name,
            "failure_domain": daemon.domain,
            "listen": _listen(daemon.port),
            "platform": {"url": self.platform_url},
            "statsd": None,
            "resume_keys": [self.resume_key],
            "account_keys": [],
            "peers": {
                "listen": _listen(daemon.peer_port),
                "addresses": [f"{ports.HOST}:{o.peer_port}" for o in others],
                "keys": [self.peer_key],
            },
            "log_level": "INFO",
        }
        if self.options.target_choice:
            settings["target_choice"] = self.options.target_choice
        return settings

    def tables_by_key(self, now_text: str) -> dict[str, Any]:
        """Returns the values of the table objects by key."""
        change = {
            "who": "launcher",
            "what": "first tables",
            "when": now_text,
            "before": None,
            "after": None,
        }
        return {
            "tables/pools": _table(self._pool_rows(), change),
            "tables/routes": _table(_route_rows(), change),
        }

    def _pool_rows(self) -> dict[str, Any]:
        return {
            ENGINE_POOL: self._pool_row("engine"),
            SERVICE_POOL: self._pool_row("service"),
        }

    def _pool_row(self, kind: str) -> dict[str, Any]:
        targets = [t for t in self.targets if t.kind == kind]
        return {
            "kind": kind,
            "versions": {t.version: {"weight": 1.0} for t in targets},
            "targets": {
                t.name: {
                    "url": t.url,
                    "failure_domain": t.domain,
                    "version": t.version,
                }
                for t in targets
            },
        }


def make_plan(options: Options) -> Plan:
    """Returns a plan with ports that are currently free."""
    rng = random.Random(options.seed)
    engine_count = len(options.domains) * options.engines_per_domain
    service_count = len(options.domains)
    target_count = engine_count + service_count
    free_ports = ports.free_ports(1 + target_count + 2 * options.daemons)
    platform_port = free_ports.pop()
    targets = _engines(options, free_ports) + _services(options, free_ports)
    daemons = [
        Daemon(
            f"entry-{i + 1}",
            _domain_of(options, i),
            free_ports.pop(),
            free_ports.pop(),
        )
        for i in range(options.daemons)
    ]
    return Plan(
        options=options,
        platform_port=platform_port,
        targets=targets,
        daemons=daemons,
        resume_key=rng.randbytes(PEER_KEY_BYTES).hex(),
        peer_key=rng.randbytes(PEER_KEY_BYTES).hex(),
    )


def _domain_of(options: Options, number: int) -> str:
    return options.domains[number % len(options.domains)]


def _engines(options: Options, free_ports: list[int]) -> list[Target]:
    return [
        Target(
            name=f"engine-{domain}-{i + 1}",
            domain=domain,
            version=options.versions[i % len(options.versions)],
            kind="engine",
            port=free_ports.pop(),
        )
        for domain in options.domains
        for i in range(options.engines_per_domain)
    ]


def _services(options: Options, free_ports: list[int]) -> list[Target]:
    return [
        Target(f"service-{domain}-1", domain, "v1", "service", free_ports.pop())
        for domain in options.domains
    ]


def _listen(port: int) -> dict[str, Any]:
    return {"host": ports.HOST, "port": port}


def _table(rows: dict[str, Any], change: dict[str, Any]) -> dict[str, Any]:
    return {"schema": 1, "rows": rows, "change": change}


def _route_rows() -> dict[str, Any]:
    return {
        "assistant": {
            "match": {"model": "assistant"},
            "pool": ENGINE_POOL,
            "kind": "engine",
            "deadline_s": 600.0,
            "max_tokens": 8192,
        },
        "deposits": {
            "match": {"service": "deposits"},
            "pool": SERVICE_POOL,
            "kind": "service",
            "repeatable": False,
            "max_call_s": 10.0,
        },
        "stock": {
            "match": {"service": "stock"},
            "pool": SERVICE_POOL,
            "kind": "service",
            "repeatable": True,
            "max_call_s": 10.0,
        },
    }
