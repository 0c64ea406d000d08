"""Replicas leave while one of six machines is cut off from the store."""

import dataclasses
import pathlib
import sys
import threading
import time

from standins import clients
from standins import harness
from standins import proxy
from standins import replicas

from platform_tests.standin import store as store_lib

FOLDER = pathlib.Path(__file__).resolve().parent
TIMEOUT_MS = 2000
PATIENCE_MS = 2500
DRAIN_S = harness.BOUNDS["drain_ms"] / 1000
HOSTS = 6
CLIENTS_OF_A_HOST = 4
REQUEST_INTERVAL_S = 0.05
CYCLES = 12
CYCLE_S = 6.0
CUT_S = 3.5
# A replica serves so long after its report was accepted.
SERVES_S = 4.0
REPLICAS = 4
ROUTES = [
    harness.Route("/charge/", "unsafe", "kiosk", TIMEOUT_MS, 200, 1),
]
SERVICES = [harness.Service("kiosk")]
ZONES = ("caerdydd", "abertawe", "bangor")


@dataclasses.dataclass(frozen=True)
class Leaving:
    """A replica that has reported that it leaves.

    Attributes:
        replica: The replica.
        acked_at_s: When the store had accepted the report.
    """

    replica: replicas.ReplicaProcess
    acked_at_s: float


class Pool:
    """The replicas of the service, which are replaced one after the other."""

    def __init__(self, store: store_lib.Store, record: harness.Record) -> None:
        """Creates a pool without replicas."""
        self._store = store
        self._record = record
        self._started = 0
        self._lock = threading.Lock()
        self._closed = False
        self.replicas: list[replicas.ReplicaProcess] = []

    def add(self) -> None:
        """Starts a replica and registers it, unless the pool is closed."""
        with self._lock:
            if self._closed:
                return
            self._started += 1
            row = replicas.ReplicaProcess(
                f"kiosk-{self._started}", self._record
            )
            self.replicas.append(row)
        self._write(row, "ready")

    def _write(self, row: replicas.ReplicaProcess, state: str) -> None:
        zone = ZONES[int(row.replica_id[6:]) % len(ZONES)]
        entry = harness.replica_entry(row.address, "kiosk", zone, state)
        self._store.put("servers", row.replica_id, entry)

    def leave(self) -> Leaving:
        """Lets the oldest replica report that it leaves."""
        row = self.replicas[self._started - REPLICAS]
        self._write(row, "draining")
        leaving = Leaving(row, time.monotonic())
        self._record.write(f"{row.replica_id} is draining: acked by the store")
        timer = threading.Timer(SERVES_S, self._end, (row,))
        timer.daemon = True
        timer.start()
        return leaving

    def close(self) -> None:
        """Ends all replicas."""
        with self._lock:
            self._closed = True
            for row in self.replicas:
                row.close()

    def _end(self, row: replicas.ReplicaProcess) -> None:
        self._store.delete("servers", row.replica_id)
        row.close()


def _run(case: harness.Case) -> int:
    """Runs the case; returns the exit status of the script."""
    record = case.record
    hosts: list[harness.Host] = []
    store = harness.new_store()
    store.put("config", "main", harness.config(1, ROUTES, SERVICES))
    pool = Pool(store, record)
    case.started.append(pool)
    for _ in range(REPLICAS):
        pool.add()
    path_to_store = proxy.Proxy(store.address)
    for number in range(1, HOSTS + 1):
        zone = ZONES[number % len(ZONES)]
        address = path_to_store.address if number == 1 else store.address
        hosts.append(
            harness.Host(f"front-{number}", zone, case.folder, address)
        )
    case.started.extend(hosts)
    harness.start_hosts(hosts)
    leaving: list[Leaving] = []
    threads = _client_threads(record, hosts[1:])
    trouble = threading.Thread(
        target=_play, args=(record, pool, path_to_store, leaving)
    )
    clients.run_threads([*threads, trouble])
    time.sleep(0.5)
    return _judge(record, leaving)


def _play(
    record: harness.Record,
    pool: Pool,
    path_to_store: proxy.Proxy,
    leaving: list[Leaving],
) -> None:
    """Replaces a replica in each cycle, just after the cut has begun."""
    for _ in range(CYCLES):
        started_s = time.monotonic()
        pool.add()
        if harness.has_trouble():
            path_to_store.cut()
            record.write("front-1 is cut off from the store")
        leaving.append(pool.leave())
        time.sleep(CUT_S)
        path_to_store.heal()
        time.sleep(max(0.0, started_s + CYCLE_S - time.monotonic()))


def _client_threads(
    record: harness.Record, hosts: list[harness.Host]
) -> list[threading.Thread]:
    """Returns clients of the machines that are not disrupted."""
    until_s = time.monotonic() + CYCLES * CYCLE_S

    def use(client: clients.KeptConnection) -> None:
        while time.monotonic() < until_s:
            client.send("POST", "/charge/x")
            time.sleep(REQUEST_INTERVAL_S)

    return [
        threading.Thread(
            target=use,
            args=(clients.KeptConnection(host, record, PATIENCE_MS),),
        )
        for host in hosts
        for _ in range(CLIENTS_OF_A_HOST)
    ]


def _judge(record: harness.Record, leaving: list[Leaving]) -> int:
    """Applies the rule to the runs of the replicas that have left."""
    late = 0
    for row in leaving:
        after_s = [at - row.acked_at_s for at in row.replica.runs_at_s]
        late_s = [at for at in after_s if at > DRAIN_S]
        late += len(late_s)
        record.write(
            f"{row.replica.replica_id}: last request "
            f"{max(after_s, default=0.0):.3f} s after the ack; {len(late_s)} "
            f"later than {DRAIN_S} s"
        )
    record.write(f"DRAIN broken: {late} requests" if late else "DRAIN held")
    return harness.BROKEN if late else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, _run))
