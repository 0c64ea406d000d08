"""One endless answer of one replica, while other clients use the same host."""

import os
import pathlib
import sys
import threading
import time

from standins import clients
from standins import harness
from standins import replicas

FOLDER = pathlib.Path(__file__).resolve().parent
TIMEOUT_MS = 2000
ANSWER_SLACK_S = 0.5
PATIENCE_MS = 5000
CLIENTS = 12
REQUEST_INTERVAL_S = 0.25
TRAFFIC_S = 10.0
TROUBLE_AT_S = 2.0
MAX_TRIES = 20
ROUTES = [
    harness.Route("/charge/", "unsafe", "kiosk", TIMEOUT_MS, 200, 1),
    harness.Route("/advice/", "stream", "assistant", 25000, 4500, 5, True),
    harness.Route("/other/", "unsafe", "helper", 25000, 4500, 1),
]
SERVICES = [
    harness.Service("kiosk"),
    harness.Service("assistant", is_model=True),
    harness.Service("helper"),
]


def _run(case: harness.Case) -> int:
    """Runs the case; returns the exit status of the script."""
    record = case.record
    hosts: list[harness.Host] = []
    started: list[replicas.ReplicaProcess] = []
    place = os.environ.get("PLACE", "body")
    flood = place if harness.has_trouble() else ""
    path = "/advice/x" if place == "body" else "/other/x"
    faulty_service = "assistant" if place == "body" else "helper"
    store = harness.new_store()
    store.put("config", "main", harness.config(1, ROUTES, SERVICES))
    prefix = "engine" if place == "body" else "helper"
    for name, service, how in (
        (f"{prefix}-1", faulty_service, flood),
        (f"{prefix}-2", faulty_service, ""),
        (f"{prefix}-3", faulty_service, ""),
        ("kiosk-1", "kiosk", ""),
        ("kiosk-2", "kiosk", ""),
    ):
        row = replicas.ReplicaProcess(name, record, f"--flood={how}")
        started.append(row)
        case.started.append(row)
        entry = harness.replica_entry(row.address, service, "caerdydd")
        store.put("servers", name, entry)
    for number in (1, 2):
        hosts.append(
            harness.Host(
                f"front-{number}", "caerdydd", case.folder, store.address
            )
        )
    case.started.extend(hosts)
    harness.start_hosts(hosts)
    sent = _send_traffic(record, hosts[0], path)
    store.close()
    if not started[0].run_ids:
        raise harness.CaseError("no request has reached the faulty replica")
    return _judge(record, sent, {i for row in started for i in row.run_ids})


def _send_traffic(
    record: harness.Record, host: harness.Host, path: str
) -> list[clients.Sent]:
    """Sends requests of all clients and, beside them, the one to `path`."""
    until_s = time.monotonic() + TRAFFIC_S
    kept = [
        clients.KeptConnection(host, record, PATIENCE_MS)
        for _ in range(CLIENTS)
    ]

    def use(number: int) -> None:
        while time.monotonic() < until_s:
            kept[number].send("POST", f"/charge/{number}")
            time.sleep(REQUEST_INTERVAL_S)

    def trouble() -> None:
        time.sleep(TROUBLE_AT_S)
        other = clients.KeptConnection(host, record, 25000)
        # Until one of them reaches the replica whose answer has no end.
        for _ in range(MAX_TRIES):
            other.send("POST", path, b"prompt")

    threading.Thread(target=trouble, daemon=True).start()
    clients.run_threads(
        [threading.Thread(target=use, args=(n,)) for n in range(CLIENTS)]
    )
    return [row for client in kept for row in client.sent]


def _judge(
    record: harness.Record, sent: list[clients.Sent], run_ids: set[str]
) -> int:
    """Applies the rule to the requests of the other clients."""
    timeout_s = TIMEOUT_MS / 1000
    late = [row for row in sent if not row.answered_within(timeout_s)]
    silent = [
        row
        for row in late
        if not row.answered_within(timeout_s + ANSWER_SLACK_S)
    ]
    ran = [row for row in silent if row.request_id in run_ids]
    record.write(
        f"{len(sent)} requests of other clients; unanswered at their route's "
        f"timeout: {len(late)}; of these without an answer half a second "
        f"later: {len(silent)}, of which a sound replica has run {len(ran)}"
    )
    broken = len(silent) * 2 > len(late)
    record.write("CONFIG broken" if broken else "CONFIG held")
    return harness.BROKEN if broken else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, _run))
