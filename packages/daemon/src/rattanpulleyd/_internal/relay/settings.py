"""Settings of the relay process."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An address to listen on or to connect to.

    Attributes:
        host: IP address.
        port: Port.
    """

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class RelayBounds:
    """Limits that the deployment guarantees.

    Attributes:
        key_removal_s: Time after its removal from which a key is refused.
        shutdown_grace_s: Time after SIGTERM at which the process is killed.
        retry_window_s: Length of the window of the retry budget.
        retry_ratio: Retries for each request in a window, over all hosts.
        retry_slack: Retries in a window without requests, over all hosts.
        config_activation_s: Time after its acknowledgement at which a changed
            configuration is active.
        target_leave_s: Time from which a leaving target gets no new work,
            after the store acknowledged its change of state.
        exposed_share: Fraction of a pool's requests that a faulty canary
            version may receive, 0 to 1.
        exposed_slack: Requests that it may receive beyond the fraction.
    """

    key_removal_s: float
    shutdown_grace_s: float
    retry_window_s: float
    retry_ratio: float
    retry_slack: float
    config_activation_s: float
    target_leave_s: float
    exposed_share: float
    exposed_slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class MachineLimits:
    """What the machine gives to the process.

    Attributes:
        memory_bytes: Memory of the machine.
        max_descriptors: How many files the process may open, or None for the
            number that the operating system allows it.
    """

    memory_bytes: int = 300_000_000
    max_descriptors: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RelaySettings:
    """Settings of one entry host.

    Attributes:
        name: Name of the host.
        domain: Failure domain of the host.
        clients: Address to listen on for clients.
        readiness: Address to listen on for readiness checks of the balancer.
        metrics: Address to listen on for metrics and status, or None.
        exchange: Address to listen on for the state exchange with other hosts,
            or None to share no state.
        store: Address of the platform's store.
        bounds: Limits that the deployment guarantees.
        machine: What the machine gives to the process.
    """

    name: str
    domain: str
    clients: Endpoint
    readiness: Endpoint
    metrics: Endpoint | None
    exchange: Endpoint | None
    store: Endpoint
    bounds: RelayBounds
    machine: MachineLimits = MachineLimits()
