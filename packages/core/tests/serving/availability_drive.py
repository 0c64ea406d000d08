"""A fleet of hosts and targets that ask for time or drain, without network."""

from collections import Counter
import dataclasses
import heapq
import itertools
import random

import serving_builders as builders

from rattanpulley_core import serving

DOMAINS = ("north", "south", "east", "west")
# The platform's bounds.
DRAIN_S = 2.0
LATE_AFTER_S = 0.5
DELAY_S = 0.001
SLOTS = 6
SERVICE_S = 0.25
# Share of all slots that the requests use.
USED_SHARE = 0.45
CLIENT_TIME_S = 6.0
OBJECTIVE_S = 1.0
MAX_ATTEMPTS = 2
WAIT_S, POLL_S = 0.12, 0.02
RETRY_AFTER_RANGE_S = (0.15, 0.45)
RETURN_SPREAD = 0.25
LENGTH_S = 12.0


@dataclasses.dataclass(frozen=True)
class Span:
    """A time in which a target asks for time, or from which on it drains."""

    target: int
    begin_s: float
    end_s: float
    announcement: serving.Announcement


class Target:
    """A target with a few slots and as many places in its queue."""

    def __init__(self, entry, spans):
        self.entry = entry
        self.spans = spans
        self.running = 0
        self.queue = []

    def announcement(self, now_s):
        for span in self.spans:
            if span.begin_s <= now_s < span.end_s:
                return span.announcement
        return serving.Announcement()


class Host:
    """A host with its own knowledge of all targets."""

    def __init__(self, number, entries, seed):
        registry = serving.TargetRegistry()
        for entry in entries:
            registry.upsert(entry)
        self.number = number
        self.availability = serving.TargetAvailability()
        self.loads = serving.LoadTable()
        self.placement = serving.Placement(
            registry,
            self.loads,
            DOMAINS[number % len(DOMAINS)],
            random.Random(seed),
            None,
            self.availability,
        )


@dataclasses.dataclass
class Request:
    """A request of a client, with its returns after refusals."""

    host: Host
    born_s: float
    until_s: float = 0.0
    tried: frozenset = frozenset()


class Drive:
    """Plays requests against targets.

    Attributes:
        outcomes: Numbers of requests by end: served, failed.
        in_time: Number of requests that were served within the objective.
        rejected: Numbers of arrivals that targets refused: asking or full.
        arrivals_by_span: Arrivals in each time that a host was asked for, by
            host, target and begin, from half a second after it on.
        late_to_draining: Arrivals at draining targets after the bound.
        served_at_s: When requests were served.
    """

    def __init__(self, seed, hosts, targets, spans, reads_announcements):
        self.rng = random.Random(seed)
        self.reads_announcements = reads_announcements
        self.events = []
        self.numbers = itertools.count()
        self.targets = [
            Target(
                builders.target(
                    f"t{index}",
                    DOMAINS[index % len(DOMAINS)],
                    host=f"10.0.0.{index}",
                    slots=SLOTS,
                ),
                [span for span in spans if span.target == index],
            )
            for index in range(targets)
        ]
        entries = [target.entry for target in self.targets]
        self.by_id = {row.entry.target_id: row for row in self.targets}
        self.hosts = [Host(n, entries, seed + n) for n in range(hosts)]
        for host in self.hosts:
            host.availability.set_host_count(hosts)
        self.outcomes = Counter()
        self.in_time = 0
        self.rejected = Counter()
        self.arrivals_by_span = Counter()
        self.late_to_draining = 0
        self.served_at_s = []
        self.asked = {}
        self.drained = {}

    def run(self):
        """Plays the whole drive and returns it."""
        arrivals = random.Random(len(self.hosts))
        rate = USED_SHARE * len(self.targets) * SLOTS / SERVICE_S
        now_s = 0.0
        while now_s < LENGTH_S:
            now_s += arrivals.expovariate(rate)
            request = Request(self.rng.choice(self.hosts), now_s)
            self.at(now_s, self.begin, request)
        while self.events:
            now_s, _, call, arguments = heapq.heappop(self.events)
            call(now_s, *arguments)
        return self

    def at(self, at_s, call, *arguments):
        event = (at_s, next(self.numbers), call, arguments)
        heapq.heappush(self.events, event)

    def begin(self, now_s, request):
        request.until_s = now_s + WAIT_S
        request.tried = frozenset()
        request.host = self.rng.choice(self.hosts)
        self.place(now_s, request)

    def place(self, now_s, request):
        query = serving.PlacementQuery("pool", request.tried)
        placement = request.host.placement
        entry = placement.choose(query, now_s)
        if entry is not None:
            request.host.loads.load_of(entry.target_id).in_flight += 1
            target = self.by_id[entry.target_id]
            self.at(now_s + DELAY_S, self.arrive, request, target)
            return
        left_s = request.until_s - now_s
        if left_s <= 0 or placement.shortage("pool", now_s).outlasts(left_s):
            self.refuse(now_s, request)
            return
        self.at(now_s + POLL_S, self.place, request)

    def refuse(self, now_s, request):
        """Tells the client to return, if it has the time."""
        back_in_s = request.host.placement.shortage("pool", now_s).back_in_s
        wait_s = (back_in_s or 0.0) * self.rng.uniform(1.0, 1.0 + RETURN_SPREAD)
        wait_s += self.rng.uniform(*RETRY_AFTER_RANGE_S)
        left_s = request.born_s + CLIENT_TIME_S - now_s
        wait_s = min(wait_s, left_s / 3)
        if left_s < 0.2:
            self.outcomes["failed"] += 1
            return
        self.at(now_s + wait_s, self.begin, request)

    def arrive(self, now_s, request, target):
        self.count_arrival(now_s, request.host, target)
        announcement = target.announcement(now_s)
        if announcement.retry_after_s:
            self.rejected["asking"] += 1
            self.at(
                now_s + DELAY_S, self.refused, request, target, announcement
            )
        elif target.running < SLOTS:
            self.start(now_s, request, target)
        elif len(target.queue) < SLOTS:
            target.queue.append(request)
        else:
            self.rejected["full"] += 1
            self.at(
                now_s + DELAY_S, self.refused, request, target, announcement
            )

    def start(self, now_s, request, target):
        target.running += 1
        took_s = self.rng.expovariate(1 / SERVICE_S)
        self.at(now_s + took_s, self.finish, request, target)

    def finish(self, now_s, request, target):
        target.running -= 1
        if target.queue:
            self.start(now_s, target.queue.pop(0), target)
        self.hear(now_s, request.host, target, target.announcement(now_s))
        self.outcomes["served"] += 1
        self.in_time += now_s <= request.born_s + OBJECTIVE_S
        self.served_at_s.append(now_s)

    def refused(self, now_s, request, target, announcement):
        self.hear(now_s, request.host, target, announcement)
        request.tried |= {target.entry.target_id}
        if len(request.tried) < MAX_ATTEMPTS:
            self.place(now_s, request)
        else:
            self.refuse(now_s, request)

    def hear(self, now_s, host, target, announcement):
        target_id = target.entry.target_id
        host.loads.load_of(target_id).in_flight -= 1
        load = target.running + len(target.queue)
        host.loads.record_report(target_id, load, now_s)
        key = (host.number, target_id)
        if announcement.retry_after_s:
            ends = self.asked.setdefault(key, [])
            ends.append((now_s, now_s + announcement.retry_after_s))
        if announcement.draining:
            self.drained.setdefault(key, now_s)
        if self.reads_announcements:
            host.availability.record(target.entry, announcement, now_s)

    def count_arrival(self, now_s, host, target):
        key = (host.number, target.entry.target_id)
        for begin_s, end_s in self.asked.get(key, ()):
            if begin_s + LATE_AFTER_S < now_s < end_s:
                self.arrivals_by_span[(*key, begin_s)] += 1
        if now_s > self.drained.get(key, float("inf")) + DRAIN_S:
            self.late_to_draining += 1

    @property
    def served_share(self):
        return self.outcomes["served"] / self.outcomes.total()

    @property
    def in_time_share(self):
        return self.in_time / self.outcomes.total()

    def spread(self, since_s):
        """Returns how much the seconds differ, relative to their mean."""
        counts = self.served_per_second()[int(since_s) :]
        return (max(counts) - min(counts)) * len(counts) / sum(counts)

    @property
    def most_in_a_span(self):
        return max(self.arrivals_by_span.values(), default=0)

    def served_per_second(self):
        """Returns the numbers of requests served in each second."""
        counts = Counter(int(at_s) for at_s in self.served_at_s)
        return [counts[second] for second in range(int(LENGTH_S))]
