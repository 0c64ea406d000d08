"""Entry hosts that exchange crash reports, for drives of whole fleets."""

import dataclasses

# Ways of reports: passed on at once, and fetched with the target changes.
SEND_PERIOD_S = 0.2
LEADER_PERIOD_S = 0.5
MEMBER_PERIOD_S = 0.7
TRANSFER_ERROR_S = 0.05


def make_hosts(domains, hosts_per_domain, rng, make_known):
    """Returns hosts of which each queries the leader of its domain.

    Args:
        domains: Number of failure domains.
        hosts_per_domain: Hosts in each of them.
        rng: Random number generator.
        make_known: Creates the reports of a process from its log id.
    """
    hosts = []
    first = None
    for domain in range(domains):
        leader = Host(f"{domain}-0", first, LEADER_PERIOD_S, rng, make_known)
        first = first or leader
        hosts.append(leader)
        hosts += [
            Host(f"{domain}-{number}", leader, MEMBER_PERIOD_S, rng, make_known)
            for number in range(1, hosts_per_domain)
        ]
    return hosts


class Host:
    """One entry host and the host that it queries."""

    def __init__(self, name, queried, period_s, rng, make_known):
        self.name = name
        self.make_known = make_known
        self.queried = queried
        self.period_s = period_s
        # Clocks of hosts differ.
        self.offset_s = rng.uniform(0.0, 1e6)
        self.next_send_s = rng.uniform(0.0, SEND_PERIOD_S)
        self.next_fetch_s = rng.uniform(0.0, period_s)
        self.restart(0)

    def restart(self, incarnation):
        self.known = self.make_known(f"{self.name}-{incarnation}")
        self.seen = ("", 0)

    def record(self, store, now_s):
        """Writes newly refused requests to the store."""
        own_s = now_s + self.offset_s
        for fingerprint in self.known.pop_newly_refused(own_s):
            if self.known.is_own(fingerprint):
                found = self.known.log.active_reports(fingerprint, own_s)
                store[fingerprint] = (now_s, found)

    def read(self, store, now_s):
        """Reads the refused requests, as a host does at its start."""
        for recorded_s, found in store.values():
            aged = [
                dataclasses.replace(
                    row, crashed_ago_s=row.crashed_ago_s + now_s - recorded_s
                )
                for row in found
            ]
            self.known.merge(aged, now_s + self.offset_s, 0.0, False)

    def exchange(self, now_s):
        if self.queried is None:
            return
        own_s = now_s + self.offset_s
        their_s = now_s + self.queried.offset_s
        if now_s >= self.next_send_s:
            self.next_send_s = now_s + SEND_PERIOD_S
            batch = self.known.log.missing_upstream(own_s)
            self.queried.known.merge(
                batch.reports, their_s, TRANSFER_ERROR_S, False
            )
            self.known.log.mark_upstream(batch)
        if now_s >= self.next_fetch_s:
            self.next_fetch_s = now_s + self.period_s
            batch = self.queried.known.log.since(*self.seen, their_s)
            if batch.log_id != self.seen[0]:
                self.known.log.forget_upstream()
            self.seen = (batch.log_id, batch.position)
            self.known.merge(batch.reports, own_s, TRANSFER_ERROR_S, True)
