"""Settings of the relay program."""

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
    """What the deployment promises its clients.

    Attributes:
        key_removal_s: A removed key runs nothing this long after its removal.
        shutdown_grace_s: The process is killed this long after SIGTERM.
        retry_window_s: Length of the window of the resend budget.
        retry_ratio: Resends for each request in a window, over all hosts.
        retry_slack: Resends in a window without requests, over all hosts.
        config_activation_s: A changed configuration is in force this long after
            its acknowledgement.
        target_leave_s: A leaving target gets no new work this long after the
            store acknowledged its leaving.
        exposed_share: Share of a pool's requests that a bad version may get
            while it is on trial.
        exposed_slack: Requests that it may get beyond the share.
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
class RelaySettings:
    """Settings of one entry host.

    Attributes:
        name: Name of the host.
        domain: Failure domain of the host.
        clients: Where clients connect.
        readiness: Where the balancer asks whether the host is ready.
        metrics: Where the metrics are read, or None.
        exchange: Where other hosts ask for beliefs, or None to share none.
        store: Where the platform's store is.
        bounds: What the deployment promises.
    """

    name: str
    domain: str
    clients: Endpoint
    readiness: Endpoint
    metrics: Endpoint | None
    exchange: Endpoint | None
    store: Endpoint
    bounds: RelayBounds
