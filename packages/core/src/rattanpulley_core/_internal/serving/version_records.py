"""Records of the versions that were ordered.

A pool has one order, and the next order hides what became of the one before.
The records outlast the orders and the processes of all hosts.
"""

from collections.abc import Iterable, Mapping
import dataclasses

from rattanpulley_core._internal.serving import rollouts

# Targets of a version leave within minutes of the decision on its order.
RETENTION_S = 7 * 24 * 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class VersionRecord:
    """State of the latest known order of a version.

    Attributes:
        pool: Name of the pool.
        version: Version.
        state: State of the order.
        order_revision: Revision in the store of the order that shows this
            state. A later order of the same version has a higher one.
        started_unix_s: When a host first read the order, in Unix seconds.
    """

    pool: str
    version: str
    state: rollouts.OrderState
    order_revision: int
    started_unix_s: float

    @property
    def key(self) -> tuple[str, str]:
        """Pool and version."""
        return (self.pool, self.version)

    def supersedes(self, known: "VersionRecord | None") -> bool:
        """Returns whether this record is newer than a known one.

        A decision on an earlier order does not replace the record of a later
        order, also if its write arrives last.
        """
        return known is None or self._rank > known._rank

    @property
    def _rank(self) -> tuple[int, bool]:
        is_decided = self.state is not rollouts.OrderState.OPEN
        return (self.order_revision, is_decided)


def record_of(order: rollouts.RolloutOrder, unix_s: float) -> VersionRecord:
    """Returns the record of an order as it was read.

    Args:
        order: The order.
        unix_s: Current time in Unix seconds.
    """
    return VersionRecord(
        order.pool, order.version, order.state, order.revision, unix_s
    )


def expired(
    records: Iterable[VersionRecord],
    listed: set[tuple[str, str]],
    unix_s: float,
) -> list[VersionRecord]:
    """Returns the old records of versions without targets.

    Args:
        records: All records.
        listed: Pools and versions that have targets.
        unix_s: Current time in Unix seconds.
    """
    return [
        record
        for record in records
        if record.key not in listed
        and unix_s - record.started_unix_s >= RETENTION_S
    ]


def elapsed_s(
    records_by_key: Mapping[tuple[str, str], VersionRecord],
    order: rollouts.RolloutOrder,
    unix_s: float,
) -> float:
    """Returns how long an open order has been running, 0 if unknown.

    Args:
        records_by_key: Records by pool and version.
        order: The order.
        unix_s: Current time in Unix seconds.
    """
    record = records_by_key.get((order.pool, order.version))
    if record is None or record.state is not rollouts.OrderState.OPEN:
        return 0.0
    elapsed = unix_s - record.started_unix_s
    # A longer time belongs to an earlier order of the version.
    return elapsed if 0.0 <= elapsed < order.duration_s else 0.0
