"""The rule EXPOSURE, as the users' pages state it."""

import dataclasses

from review_fleet import hosts
from review_fleet import platform
from review_fleet import record as record_lib

BAD_ANSWERS = 50
# The rule counts from when a client sent a request, which is a little earlier.
WAY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order of a bad version.

    Attributes:
        version: The version.
        at_s: When it was acknowledged.
        duration_s: Its time limit, counted from then.
    """

    version: str
    at_s: float
    duration_s: float


def check(
    order: Order, site: platform.Platform, record: record_lib.Record
) -> bool:
    """Returns whether both sentences of the rule held for a bad version.

    No machine or store was disturbed, so that all machines were in touch.
    """
    rows = sorted(
        (row for server in site.replicas for row in server.arrivals),
        key=lambda row: row.at_s,
    )
    until_s = order.at_s + order.duration_s
    within = [row for row in rows if order.at_s <= row.at_s <= until_s]
    exposed = [row for row in within if row.version == order.version]
    limit = (
        hosts.BOUNDS["expose_share"] * len(within)
        + hosts.BOUNDS["exposure_slack"]
    )
    bad = [
        row
        for row in rows
        if row.version == order.version
        and row.at_s >= order.at_s
        and row.status >= 500
    ]
    late = []
    if len(bad) >= BAD_ANSWERS:
        from_s = (
            bad[BAD_ANSWERS - 1].at_s
            + hosts.BOUNDS["rollback_ms"] / 1000
            + WAY_S
        )
        late = [
            row
            for row in rows
            if row.version == order.version and row.at_s > from_s
        ]
    is_held = len(exposed) <= limit and not late
    record.write(
        "verdict",
        rule="EXPOSURE",
        version=order.version,
        requests_of_service=len(within),
        allowed_at_bad_version=round(limit, 1),
        at_bad_version=len(exposed),
        bad_answers=len(bad),
        later_than_rollback_ms=len(late),
        held=is_held,
    )
    return is_held
