"""Stateful test of generation cores with failing engines and callers."""

import generation_world
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from rattanpulley_core import targets

ENGINE = st.sampled_from(["e0", "e1", "e2", "e3"])
DAEMON = st.integers(0, 1)


class CoreMachine(stateful.RuleBasedStateMachine):
    """Checks the simulation's invariants under any order of failures.

    Tokens are neither lost, repeated nor mixed, every answer ends, and a
    request that a target accepted is never reported as `not_run` (G1, G2, G4,
    G5).
    """

    def __init__(self) -> None:
        super().__init__()
        self.world = generation_world.World()
        self.names = iter("0123456789abcdef")

    def pick(self, number: int, items: list):
        return items[number % len(items)] if items else None

    @stateful.initialize(count=st.integers(1, 3))
    def begin(self, count):
        for _ in range(count):
            self.world.submit_request(next(self.names), 0)

    @stateful.rule(steps=st.integers(1, 2), elapsed_s=st.floats(0.01, 0.1))
    def work(self, steps, elapsed_s):
        for _ in range(steps):
            self.world.step(elapsed_s)

    @stateful.rule(name=ENGINE, steps=st.integers(1, 2))
    def work_with_crash(self, name, steps):
        self.world.engines[name].kill()
        self.work(steps, 0.05)

    @stateful.rule(number=st.integers(0, 7), daemon=DAEMON)
    def reconnect(self, number, daemon):
        self.disconnect(number)
        self.come_back(number, daemon)

    @stateful.rule(daemon=DAEMON, number=st.integers(0, 7))
    def arrive(self, daemon, number):
        # The number of an earlier request adds a second reader to it, possibly
        # through the other daemon.
        earlier = self.pick(number, self.world.readers)
        if earlier is not None and number > 5:
            self.world.submit_request(earlier.request.generation_id[0], daemon)
        elif (name := next(self.names, None)) is not None:
            self.world.submit_request(name, daemon)

    @stateful.rule(position=st.integers(0, 30), repeat=st.booleans())
    def deliver(self, position, repeat):
        if self.world.network:
            self.world.deliver(position % len(self.world.network), repeat)

    @stateful.rule()
    def deliver_all(self):
        self.world.deliver_all()

    @stateful.rule(position=st.integers(0, 30))
    def lose(self, position):
        if self.world.network:
            del self.world.network[position % len(self.world.network)]

    @stateful.rule(name=ENGINE, tokens=st.integers(1, 3))
    def produce(self, name, tokens):
        for _ in range(tokens):
            self.world.engines[name].produce()

    @stateful.rule(elapsed_s=st.sampled_from([0.05, 0.4, 1.0, 3.0, 20.0]))
    def advance(self, elapsed_s):
        self.world.advance(elapsed_s)

    @stateful.rule(name=ENGINE)
    def kill(self, name):
        self.world.engines[name].kill()

    @stateful.rule(name=ENGINE)
    def pause(self, name):
        self.world.engines[name].paused = self.world.engines[name].alive

    @stateful.rule(name=ENGINE)
    def revive(self, name):
        self.world.engines[name].revive()

    @stateful.rule(name=ENGINE)
    def silence(self, name):
        for connection in self.world.engines[name].connections:
            connection.unresponsive = True

    @stateful.rule(
        name=ENGINE,
        fault=st.sampled_from(["ignores_cancel", "refuses", "deterministic"]),
    )
    def toggle(self, name, fault):
        engine = self.world.engines[name]
        setattr(engine, fault, not getattr(engine, fault))

    @stateful.rule(name=ENGINE, version=st.sampled_from(["v1", "v2"]))
    def upgrade(self, name, version):
        # The daemons' tables lag behind the engine's version.
        self.world.engines[name].kill()
        self.world.engines[name].version = version
        self.world.engines[name].revive()

    @stateful.rule(number=st.integers(0, 7))
    def disconnect(self, number):
        reader = self.pick(number, self.world.readers)
        if reader and reader.connected and not reader.ended:
            self.world.disconnect(reader)

    @stateful.rule(number=st.integers(0, 7), daemon=DAEMON)
    def come_back(self, number, daemon):
        reader = self.pick(number, self.world.readers)
        if reader and not reader.connected and not reader.ended:
            self.world.reconnect(reader, daemon)

    @stateful.rule(name=ENGINE, leaving=st.booleans())
    def change_host_list(self, name, leaving):
        state = targets.HostState.LEAVING if leaving else targets.HostState.LIVE
        engine = self.world.engines[name]
        entry = targets.HostEntry(
            name, "z0", "", "engine", engine.version, state
        )
        for table in self.world.target_tables:
            table.apply_hosts([entry], self.world.now_s)

    @stateful.rule(daemon=DAEMON)
    def restart_daemon(self, daemon):
        self.world.new_core(daemon)

    @stateful.invariant()
    def counts_agree(self):
        # Guards against leaked slots, which would starve a target.
        for table, core in zip(
            self.world.target_tables, self.world.cores, strict=True
        ):
            rows = table.targets_by_name.values()
            running = core._ctx.running_by_target
            for row in rows:
                assert row.in_flight == len(running.get(row.name, ()))
                assert row.resumes_awaiting_first_token >= 0
                assert row.awaiting_first_token <= row.in_flight
                assert 0 <= row.suspects_in_flight <= row.in_flight

    def teardown(self):
        self.world.run_to_completion()


TestCore = CoreMachine.TestCase
TestCore.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=50,
    suppress_health_check=list(HealthCheck),
)
