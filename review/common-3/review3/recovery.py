"""Judges RECOVER: whether requests are served after the final fault."""

import dataclasses
import time

from review3 import clients as clients_lib
from review3 import deployment as deployment_lib
from review3 import hosts as hosts_lib
from review3 import record as record_lib

BEFORE_S = 12.0
RECOVER_S = hosts_lib.BOUNDS["recover_s"]
AFTER_S = 20.0
# Requests that are sent last may not be answered when the clients stop.
LAST_S = 3.0
LEAST_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class Times:
    """When the final fault began and when the machines were back."""

    fault_s: float
    back_s: float
    end_s: float


def play(deployment: deployment_lib.Deployment, has_fault: bool) -> bool:
    """Lets clients send before and after the final fault; judges RECOVER."""
    balancer = clients_lib.Balancer(deployment.hosts)
    clients = clients_lib.Clients(balancer, deployment.log)
    clients.start("safe", 4, 0.4)
    clients.start("unsafe", 4, 0.4)
    clients.start("stream", 4, 1.0)
    time.sleep(BEFORE_S)
    fault_s = time.monotonic()
    if has_fault:
        deployment.final_fault()
    back_s = time.monotonic()
    time.sleep(RECOVER_S + AFTER_S)
    end_s = time.monotonic() - LAST_S
    clients.stop()
    balancer.close()
    times = Times(fault_s, back_s, end_s)
    return judge(clients.attempts, times, deployment.log)


def judge(
    attempts: list[clients_lib.Attempt], times: Times, log: record_lib.Record
) -> bool:
    """Returns whether RECOVER held.

    Raises:
        hosts_lib.CaseError: Too few requests were served before the fault.
    """
    before = [row for row in attempts if row.ended_s < times.fault_s]
    since_s = times.back_s + RECOVER_S
    after = [row for row in attempts if since_s < row.sent_s < times.end_s]
    served_before, sent_before = clients_lib.served_share(before)
    served, sent = clients_lib.served_share(after)
    log.say(f"before the fault: {served_before} of {sent_before} were served")
    log.say(
        f"later than {RECOVER_S} s after it: {served} of {sent} were served"
    )
    if not sent or served_before < LEAST_SHARE * sent_before:
        raise hosts_lib.CaseError("too few requests were served before")
    return served >= LEAST_SHARE * sent
