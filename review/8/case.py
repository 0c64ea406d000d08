"""The next version is ordered as soon as a bad one has been rolled back."""

import os
import pathlib
import time

from review_fleet import case
from review_fleet import clients
from review_fleet import exposure
from review_fleet import replica

HOSTS = 8
CLIENTS_PER_HOST = 1
# Each client sends ten requests a second.
INTERVAL_S = 0.1
REPLICAS = 4
# Its work takes eight times as long, which is the largest figure of the bench.
FAULT = replica.Fault(slowness=8.0)
DURATION_S = 10.0
# When the operator's release pipeline reads the status and orders the next.
REACTION_S = float(os.environ.get("REACTION_S", "0.1"))
# The replicas of a version that was rolled back drain some seconds later.
DRAIN_AFTER_S = 6.0
QUIET_S = 3.0


def play(deployment: case.Deployment) -> bool:
    """Plays the orders; returns whether EXPOSURE held."""
    site, record = deployment.platform, deployment.record
    site.add_replicas(REPLICAS, "v1")
    crowd = clients.Clients(
        deployment.hosts, record, CLIENTS_PER_HOST, INTERVAL_S
    )
    time.sleep(QUIET_S)
    crowd.start()
    time.sleep(QUIET_S)
    at_s = site.order("v2", DURATION_S)
    fault = FAULT if case.has_trouble() else replica.SOUND
    second = site.add_replicas(REPLICAS, "v2", fault)
    state = site.wait_for_state(
        "v2", ("rolled_back", "completed"), at_s + DURATION_S
    )
    if state == "rolled_back":
        site.drain_after(second, DRAIN_AFTER_S)
    elif state == "completed":
        site.stop_now(site.replicas[:REPLICAS])
    time.sleep(REACTION_S)
    site.order("v3", DURATION_S)
    site.add_replicas(REPLICAS, "v3")
    time.sleep(max(0.0, at_s + DURATION_S + 4.0 - record.now_s()))
    crowd.stop()
    deployment.record_decisions("version.standing", "rollout.recorded")
    record.write("answers", counts=[[*k, n] for k, n in crowd.counts.items()])
    if not case.has_trouble():
        # No version is bad, so that the rule allows any share.
        return state == "completed"
    return exposure.check(exposure.Order("v2", at_s, DURATION_S), site, record)


if __name__ == "__main__":
    record_path = pathlib.Path(__file__).with_name("record.txt")
    case.run(play, HOSTS, record_path)
