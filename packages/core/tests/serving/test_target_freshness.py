"""Tests of how recent the targets of a chain of hosts are.

A simulation: the first host reads the store, a leader queries it, and a member
queries the leader; in a small fleet there is no leader between. At some moment
the first host loses the store without noticing, and a target leaves.
"""

import dataclasses
import itertools
import random

import pytest

from rattanpulley_core import serving

NETWORK_S = 0.01
QUERY_TIMEOUT_S = 0.25
END_S = 30.0


@dataclasses.dataclass
class Host:
    """One host of the chain.

    Attributes:
        source: Host that it queries, or None for the store.
        pause_s: Time between two reads.
        confirmed_at_s: Time as of which its targets are right.
        skips_source_until_s: Until when it queries the store instead.
        worst_age_s: Greatest age of its targets while it reached the store.
        store_reads: Number of its reads of the store.
    """

    source: "Host | None"
    pause_s: float
    confirmed_at_s: float = 0.0
    skips_source_until_s: float = 0.0
    worst_age_s: float = 0.0
    store_reads: int = 0


class Simulation:
    """A chain of hosts, each of which reads on its own."""

    def __init__(self, leave_s: float, hosts: list[Host], seed: int) -> None:
        self.freshness = serving.TargetFreshness(leave_s)
        self.hosts = hosts
        self.rng = random.Random(seed)
        self.cut_s = (float("inf"), float("inf"))
        self.dark_s = (float("inf"), float("inf"))

    def run(self) -> None:
        """Lets all hosts read until the end."""
        due = [(self.rng.uniform(0.0, 0.3), host) for host in self.hosts]
        while due:
            due.sort(key=lambda row: row[0])
            now_s, host = due.pop(0)
            if now_s < END_S:
                due.append((self._read(host, now_s), host))

    def _read(self, host: Host, started_s: float) -> float:
        """Plays one read; returns when the next one starts."""
        now_s = started_s
        taken = None
        if host.source is not None and now_s >= host.skips_source_until_s:
            now_s, taken = self._query(host.source, now_s)
            if taken is None:
                host.skips_source_until_s = now_s + 3.0
        if taken is None:
            now_s, taken = self._watch(host, now_s)
        if host is not self.hosts[0] or started_s < self.cut_s[0]:
            age_s = now_s - host.confirmed_at_s
            host.worst_age_s = max(host.worst_age_s, age_s)
        host.confirmed_at_s = max(host.confirmed_at_s, taken)
        return now_s + self.freshness.next_read_in_s(
            host.pause_s, now_s - started_s, now_s - host.confirmed_at_s
        )

    def _query(self, source: Host, now_s: float) -> tuple[float, float | None]:
        """Returns when a query ends, and the time that it confirms."""
        if self.dark_s[0] <= now_s < self.dark_s[1]:
            return now_s + QUERY_TIMEOUT_S, None
        if now_s - source.confirmed_at_s > self.freshness.max_age_s:
            return now_s + NETWORK_S, None
        return now_s + NETWORK_S, source.confirmed_at_s

    def _watch(self, host: Host, now_s: float) -> tuple[float, float]:
        """Returns when a watch ends, and the time that it confirms.

        One that waits returns a change at once, so that the targets count as
        right while it does.
        """
        is_cut = self.cut_s[0] <= now_s < self.cut_s[1]
        if host is self.hosts[0] and is_cut:
            return now_s + self.freshness.shared_watch_s, host.confirmed_at_s
        host.store_reads += 1
        if host is self.hosts[0]:
            return now_s + self.freshness.shared_watch_s, now_s
        return now_s + NETWORK_S, now_s


def chain(leave_s: float, length: int) -> list[Host]:
    """Returns the hosts of a small fleet (2) or of a large one (3)."""
    freshness = serving.TargetFreshness(leave_s)
    hosts = [Host(None, freshness.shared_watch_s)]
    if length == 3:
        hosts.append(Host(hosts[-1], freshness.leader_pause_s))
    hosts.append(Host(hosts[-1], freshness.pause_s))
    return hosts


every_chain = pytest.mark.parametrize(
    ("leave_s", "length"), list(itertools.product((2.0, 3.0, 4.0), (2, 3)))
)


# Hosts that reached the store went on with the state of one that had lost it
# and sent requests to leaving targets until 3.3 s after the acknowledgement.
@every_chain
@pytest.mark.parametrize("is_dark", [False, True], ids=["cut", "dark"])
def test_no_state_is_used_longer_than_targets_may_leave(
    leave_s, length, is_dark
):
    for seed in range(200):
        simulation = Simulation(leave_s, chain(leave_s, length), seed)
        at_s = simulation.rng.uniform(5.0, 8.0)
        if is_dark:
            simulation.dark_s = (at_s, at_s + 4.0)
        else:
            simulation.cut_s = (at_s, at_s + 4.0)
        simulation.run()
        worst_s = max(host.worst_age_s for host in simulation.hosts[1:])
        assert worst_s <= leave_s - 0.2 + 0.001, seed


@every_chain
def test_calm_hosts_do_not_read_the_store(leave_s, length):
    # Guards against limits that are too strict for the ages of a calm chain, so
    # that every host reads the store.
    for seed in range(50):
        simulation = Simulation(leave_s, chain(leave_s, length), seed)
        simulation.run()
        assert all(host.store_reads <= 1 for host in simulation.hosts[1:])
