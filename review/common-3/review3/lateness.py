"""Judges CONFIG: whether requests end soon after their route's timeout."""

from collections.abc import Callable
import time

from review3 import clients as clients_lib
from review3 import deployment as deployment_lib
from review3 import hosts as hosts_lib
from review3 import record as record_lib

TIMEOUT_MS = 500
CLIENTS = 40
CALM_S = 5.0
ROUNDS = 3
ROUND_S = 12.0
LATE_S = 0.5
# The rule names a share; so few may be a matter of chance.
FEW = 8


def play(
    deployment: deployment_lib.Deployment, disturb: Callable[[int], None] | None
) -> bool:
    """Lets clients send while the deployment is disturbed; judges CONFIG.

    Args:
        deployment: The deployment, which is not started yet.
        disturb: Called in each round with its number; None for no
            disruption.
    """
    deployment.start(unsafe=TIMEOUT_MS)
    balancer = clients_lib.Balancer(deployment.hosts)
    clients = clients_lib.Clients(balancer, deployment.log)
    clients.start("unsafe", CLIENTS, 0.5)
    time.sleep(CALM_S)
    for number in range(ROUNDS):
        if disturb is not None:
            disturb(number)
        time.sleep(ROUND_S)
    clients.stop()
    balancer.close()
    return judge(clients.attempts, deployment.log)


def judge(attempts: list[clients_lib.Attempt], log: record_lib.Record) -> bool:
    """Returns whether CONFIG held for the route's timeout.

    Raises:
        hosts_lib.CaseError: Nothing was sent.
    """
    timeout_s = TIMEOUT_MS / 1000
    took_s = [row.ended_s - row.sent_s for row in attempts]
    waiting = [seconds for seconds in took_s if seconds > timeout_s]
    late = [seconds for seconds in waiting if seconds > timeout_s + LATE_S]
    served, sent = clients_lib.served_share(attempts)
    log.say(f"{served} of {sent} requests were served")
    log.say(
        f"{len(waiting)} had no answer at the timeout of {timeout_s} s, "
        f"{len(late)} of them none {LATE_S} s later"
    )
    if not sent:
        raise hosts_lib.CaseError("nothing was sent")
    return 2 * len(late) <= len(waiting) or len(late) <= FEW
