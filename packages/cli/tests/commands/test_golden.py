"""Golden output of the commands, as text and with --json.

`UPDATE_GOLDEN=1` rewrites the files from the current output.
"""

import itertools
import json
import os
import pathlib

from cleo.testers import application_tester
import pytest

from rattanpulley._internal import application
from rattanpulley._internal.commands import base
from rattanpulley._internal.daemons import status
from rattanpulley_core import claims
from rattanpulley_core import interfaces

GOLDEN = pathlib.Path(__file__).parent / "golden"
TARGET = {"failure_domain": "north", "version": "v1"}
POOLS = {
    "schema": 1,
    "rows": {
        "p": {
            "kind": "engine",
            "versions": {"v1": {}},
            "targets": {
                "e1": {"url": "http://127.0.0.1:9001", **TARGET},
                "e2": {
                    **TARGET,
                    "url": "http://127.0.0.1:9002",
                    "version": "v2",
                },
            },
        }
    },
}
POOLS["rows"]["p"]["versions"]["v2"] = {"weight": 0}
ROUTES = {
    "schema": 1,
    "rows": {
        "chat": {"match": {"model": "m"}, "pool": "p", "kind": "engine"},
    },
}
STATUS = {
    "name": "entry-1",
    "failure_domain": "north",
    "ready": True,
    "draining": False,
    "tables": {"routes": {"version": 1}, "pools": {"version": 3}},
    "moves": [
        {
            "pool": "p",
            "move_id": "m1",
            "state": "moving",
            "share": 0.02,
            "reason": "on plan",
        }
    ],
}


class Terminal:
    """Runs commands in a directory and records a transcript."""

    def __init__(self, store, directory):
        self.store = store
        self.wall_s = 1.8e9
        self.transcript = []
        ids = (f"change-{number}" for number in itertools.count(1))
        services = base.Services(
            open_store=lambda url: store,
            fetch_status=self.fetch_status,
            wall_s=self.next_wall_s,
            new_id=lambda: next(ids),
            sleep=lambda _: None,
            environment={base.PLATFORM_VARIABLE: "http://127.0.0.1:1"},
            user="ana",
        )
        app = application.build(services)
        self.tester = application_tester.ApplicationTester(app)
        self.directory = directory

    def next_wall_s(self):
        self.wall_s += 60
        return self.wall_s

    @staticmethod
    def fetch_status(url):
        if url.endswith(":8001"):
            raise status.DaemonSilentError("ConnectTimeoutError")
        return STATUS

    def write(self, name, value):
        text = value if isinstance(value, str) else json.dumps(value, indent=1)
        (self.directory / name).write_text(text)

    def run(self, line):
        code = self.tester.execute(line)
        out = self.tester.io.fetch_output() + self.tester.io.fetch_error()
        lines = [text.rstrip() for text in out.splitlines()]
        self.transcript.append(f"$ rattanpulley {line}")
        self.transcript.extend(lines)
        self.transcript.append(f"exit {code}\n")
        return code

    def check(self, name):
        path = GOLDEN / f"{name}.txt"
        shown = "\n".join(self.transcript)
        if os.environ.get("UPDATE_GOLDEN"):
            path.write_text(shown)
        assert shown == path.read_text()


@pytest.fixture
def terminal(store_class, tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    terminal = Terminal(store_class(), tmp_path)
    terminal.write("pools.json", POOLS)
    terminal.write("routes.json", ROUTES)
    return terminal


def apply_both(terminal):
    terminal.run("apply pools pools.json --at-version 0 --reason first")
    terminal.run("apply routes routes.json --at-version 0")


def test_check(terminal):
    # Guards against an error that is printed without its file, path or line.
    terminal.run("check --routes routes.json --pools pools.json")
    broken = json.loads(json.dumps(ROUTES))
    broken["rows"]["chat"]["deadline_s"] = -1
    broken["rows"]["chat"]["pool"] = ""
    terminal.write("broken.json", broken)
    terminal.run("check --routes broken.json")
    terminal.write("twice.json", '{"schema": 1,\n"rows": {},\n"rows": {}}')
    terminal.run("check --pools twice.json")
    terminal.write("text.json", '{"schema": 1,\n"rows": }')
    terminal.run("check --pools text.json")
    other_pool = json.loads(json.dumps(ROUTES).replace('"p"', '"q"'))
    terminal.write("routes2.json", other_pool)
    terminal.run("check --routes routes2.json --pools pools.json --json")
    terminal.run("check")
    terminal.check("check")


def test_tables(terminal):
    # Guards against a lost change, and against a conflict that is reported
    # without the change that caused it.
    apply_both(terminal)
    terminal.run("get pools")
    terminal.run("get routes --json")
    changed = json.loads(json.dumps(ROUTES))
    changed["rows"]["chat"]["deadline_s"] = 30
    terminal.write("new.json", changed)
    terminal.run("diff routes new.json")
    terminal.run("apply routes new.json")
    terminal.run("apply routes new.json --at-version 1 --who bo")
    terminal.run("apply routes routes.json --at-version 1")
    terminal.run("apply routes routes.json --at-version 1 --json")
    terminal.run("apply routes new.json --at-version 2")
    terminal.run("diff routes new.json --json")
    terminal.run("audit")
    terminal.run("audit --table routes --by bo --since 1d --json")
    terminal.run("get routes --output out.json")
    terminal.store.call_outcomes = ["down"] * 9
    terminal.run("apply routes routes.json --at-version 2")
    terminal.check("tables")


def test_move(terminal):
    # Guards against a move command that overwrites another move.
    apply_both(terminal)
    start = "move start p --to v2 --finish-by +4h"
    terminal.run(start)
    terminal.run(f"{start} --id m2")
    terminal.run("move pause p --reason lunch")
    terminal.run("move pause p")
    terminal.run("move pause p --off")
    terminal.run("move take-back p --who bo")
    terminal.run("move pause p")
    terminal.run(f"{start} --id m2 --json")
    terminal.run("move start q --to v2 --finish-by +4h")
    terminal.run("move start p --to v3 --finish-by +4h --replace")
    terminal.run("move start p --to v2 --finish-by 2026-05-01T10:00:00")
    terminal.run("get pools")
    terminal.check("move")


def test_status_and_watch(terminal):
    # Guards against an unresponsive daemon that is left out of the output.
    urls = "--daemon http://127.0.0.1:8000 --daemon http://127.0.0.1:8001"
    terminal.run(f"status {urls}")
    terminal.run(f"status {urls} --json")
    terminal.run("status")
    apply_both(terminal)
    stored = terminal.store.list_objects("tables/")
    terminal.store.list_objects = lambda prefix: ([], 0)
    terminal.run("watch --count 2")
    terminal.run("watch --count 1 --json")
    assert stored[1] == terminal.store.revision
    terminal.check("status_and_watch")


def test_claims(terminal):
    # Guards against a settlement without a reason or with both outcomes.
    record = claims.ClaimRecord(
        token="t",
        fingerprint="f",
        state=claims.ClaimState.UNKNOWN,
        daemon="entry-1",
        wall_s=1.8e9 - 3600,
        max_call_s=10.0,
    )
    key = claims.claim_key("acme", "k1")
    terminal.store.put(key, claims.to_json(record), 0)
    terminal.run("unknown")
    terminal.run("unknown --json")
    terminal.run(f"settle {key} --ran")
    terminal.run(f"settle {key} --ran --not-run --reason x")
    terminal.run(f"settle {key} --not-run --reason 'no mail was sent'")
    terminal.run(f"settle {key} --not-run --reason again")
    terminal.run("unknown")
    terminal.check("claims")


def test_audit_prune(terminal):
    # Guards against the deletion of entries that are not expired, and against
    # an unrecorded prune.
    apply_both(terminal)
    changed = json.loads(json.dumps(ROUTES))
    for version in (1, 2, 3):
        changed["rows"]["chat"]["deadline_s"] = 30 + version
        terminal.write("new.json", changed)
        terminal.run(f"apply routes new.json --at-version {version}")
    terminal.run("audit --prune")
    terminal.wall_s += 399 * 86400
    terminal.run("apply routes routes.json --at-version 4")
    terminal.run("audit --prune")
    terminal.wall_s += 2 * 86400
    terminal.run("audit --prune --since 1d")
    terminal.run("audit --prune --table pools")
    # The responses to the write of the record and to the first delete are lost.
    terminal.store.call_outcomes = [
        "ok",
        "ok",
        "ok",
        "lost",
        "ok",
        "ok",
        "lost",
    ]
    terminal.run("audit --prune --who bo --reason 'the store is full'")
    terminal.run("audit")
    terminal.run("audit --prune --json")
    terminal.check("audit_prune")


def test_unrecorded_prune_deletes_nothing(terminal):
    # Guards against deleted entries without a record of who deleted them.
    apply_both(terminal)
    terminal.write("new.json", {**ROUTES, "note": 1})
    assert terminal.run("apply routes new.json --at-version 1") == 0
    terminal.wall_s += 401 * 86400
    kept = set(terminal.store.objects_by_key)
    terminal.store.call_outcomes = ["ok", "ok", "ok", *["down"] * 9]
    assert terminal.run("audit --prune") == 5
    assert set(terminal.store.objects_by_key) == kept
    terminal.store.call_outcomes = ["ok"] * 4 + ["down"] * 9
    assert terminal.run("audit --prune") == 5
    terminal.store.call_outcomes = []
    assert terminal.run("audit --prune") == 0
    assert "audit/routes/000000000001" not in terminal.store.objects_by_key
    assert "audit/prunes/000000000002" in terminal.store.objects_by_key


def test_one_of_two_concurrent_prunes_is_a_conflict(terminal):
    # Guards against a prune that deletes entries under the record of another.
    apply_both(terminal)
    terminal.write("new.json", {**ROUTES, "note": 1})
    terminal.run("apply routes new.json --at-version 1")
    terminal.wall_s += 401 * 86400
    other = {"change": {"change_id": "other", "wall_s": 1.0}}
    key = "audit/prunes/000000000001"

    def write_first():
        terminal.store.call_outcomes = []
        terminal.store.put(key, other, 0)

    terminal.store.call_outcomes = ["ok", "ok", "ok", write_first]
    assert terminal.run("audit --prune") == 3
    assert "audit/routes/000000000001" in terminal.store.objects_by_key


def test_stored_control_characters_are_not_printed(terminal):
    # Guards against terminal escape sequences in stored texts.
    apply_both(terminal)
    entry = terminal.store.objects_by_key["tables/pools"].value["change"]
    entry["who"] = "a\x1b[31mb <error>c</error>"
    terminal.run("audit")
    shown = "\n".join(terminal.transcript)
    assert "\x1b" not in shown
    assert "<error>c</error>" in shown


@pytest.mark.parametrize(
    "value",
    [None, [], {"rows": 3}, {"rows": {"p": {"move": {"finish_by_s": 1e99}}}}],
)
def test_malformed_stored_table_is_shown(terminal, value):
    # Guards against a traceback from the commands that are needed to inspect
    # and repair a malformed table.
    terminal.store.put("tables/pools", value, 0)
    terminal.store.put("tables/routes", value, 0)
    assert terminal.run("get pools") == 0
    assert terminal.run("get routes") == 0
    assert terminal.run("audit") == 0
    assert terminal.run("move pause p") == 2
    assert terminal.run("apply pools pools.json --at-version 1") == 0


def test_unavailable_store_has_its_own_exit_code(terminal):
    terminal.store.call_outcomes = ["down"]
    assert terminal.run("get pools") == 4
    terminal.store.call_outcomes = ["down"]
    assert terminal.run("unknown") == 4
    assert isinstance(interfaces.StoreUnavailableError("x"), Exception)
