"""Typed settings of the daemon."""

import dataclasses
import enum


class TargetChoice(enum.Enum):
    """Load-balancing policy for engines.

    The default is the policy with the lower control cost; see
    docs/measurements-routing.md.
    """

    EXPECTED_COST = "expected_cost"
    LEAST_OUTSTANDING = "least_outstanding"


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Numeric IP address and port."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Connection to the platform.

    Attributes:
        url: Base URL of the object API and the host list.
    """

    url: str


@dataclasses.dataclass(frozen=True, slots=True)
class Peers:
    """Connections to the other daemons.

    Attributes:
        listen: Address for connections from other daemons.
        addresses: Addresses of other daemons.
        keys: Shared keys that authenticate both ends; the first is used, all
            are accepted.
    """

    listen: Address
    addresses: tuple[Address, ...]
    keys: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one daemon.

    Attributes:
        name: Name of the daemon, unique among the daemons.
        failure_domain: Failure domain of the entry host.
        listen: Address of the caller API.
        platform: The platform.
        statsd: Address of the statsd server, or None.
        resume_keys: Signing keys of the event ids; the first signs, all verify.
        account_keys: Signing keys of the bearer tokens; if empty, tokens are
            not verified.
        peers: Connections to other daemons, or None.
        log_level: Lowest level of the log lines.
        target_choice: Load-balancing policy for engines.
    """

    name: str
    failure_domain: str
    listen: Address
    platform: Platform
    statsd: Address | None
    resume_keys: tuple[bytes, ...]
    account_keys: tuple[bytes, ...]
    peers: Peers | None
    log_level: str
    target_choice: TargetChoice = TargetChoice.LEAST_OUTSTANDING
