"""LOST: entries of another writer take all hosts over their memory limit."""

import sys
import time

from review3 import clients as clients_lib
from review3 import deployment as deployment_lib
from review3 import hosts as hosts_lib
from review3 import kept
from review3 import memory_limit

CALM_S = 8.0
ROUNDS = 5
ROUND_S = 6.0
ENTRIES = 20
# The pages' `value_bytes` is 1,048,576.
ENTRY_BYTES = 1_000_000
PORT = b'{"p":80},'
# The rule's own figure.
MOST_LOST = 3


def write_other_entries(
    deployment: deployment_lib.Deployment, number: int
) -> None:
    """Writes entries without the fields of a replica, as an agent does.

    It writes them anew in each round, as replicas do with theirs.
    """
    ports = PORT * (ENTRY_BYTES // len(PORT))
    spec = b'{"round":%d,"ports":[' % number + ports + b'{"p":81}]}'
    for row in range(ENTRIES):
        name = f"inventory-{row}"
        deployment.platform.put_raw("servers", name, spec)
        deployment.log.write(
            f"another writer's entry {name}, {len(spec)} bytes"
        )


def play(deployment: deployment_lib.Deployment, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule held."""
    for replica in deployment.replicas:
        replica.work_s = 0.14
    deployment.start()
    limit = memory_limit.MemoryLimit(deployment.hosts, deployment.log)
    try:
        balancer = clients_lib.Balancer(deployment.hosts)
        clients = kept.KeptClients(balancer, deployment.log)
        clients.start(24, 0.1)
        time.sleep(CALM_S)
        for number in range(ROUNDS):
            if has_trouble:
                write_other_entries(deployment, number)
            time.sleep(ROUND_S)
        clients.stop()
        balancer.close()
    finally:
        limit.close()
    deployment.log.say(f"killed for memory: {sorted(limit.kills)}")
    return judge(deployment, clients.attempts)


def judge(
    deployment: deployment_lib.Deployment,
    attempts: list[clients_lib.Attempt],
) -> bool:
    """Returns whether LOST held.

    Raises:
        hosts_lib.CaseError: Nothing was served.
    """
    run_ids = {name for row in deployment.replicas for name in row.runs}
    cut = [row for row in attempts if row.note == "cut"]
    lost = [row for row in cut if row.request_id in run_ids]
    served, sent = clients_lib.served_share(attempts)
    deployment.log.say(f"{served} of {sent} requests were served")
    deployment.log.say(
        f"{len(cut)} requests on kept connections had no answer when the "
        f"connection was closed, {len(lost)} of them had been passed on"
    )
    if not served:
        raise hosts_lib.CaseError("nothing was served")
    return len(lost) <= MOST_LOST


if __name__ == "__main__":
    sys.exit(deployment_lib.run(play))
