"""Stateful test of membership under kills, pauses, restarts and partitions."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from rattanpulley_core import peers
from rattanpulley_standins import peer_fleet

NAMES = tuple(f"d{index}" for index in range(6))
# Covers the silence timeout, three failed connections, the suspicion timeout
# and one rejoin attempt of at most 15 s for each lost member.
SETTLE_S = 150.0


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Checks that the peer tables converge to the running daemons."""

    @stateful.initialize()
    def start(self) -> None:
        self.fleet = peer_fleet.Fleet()
        self.incarnations_by_name = {}
        for name in NAMES:
            self._start(name, incarnation=1000)
        self.fleet.run(10)

    def _start(self, name: str, incarnation: int) -> None:
        domain = f"domain{int(name[1:]) % 2}"
        member = peer_fleet.make_member(name, domain, incarnation)
        self.incarnations_by_name[name] = incarnation
        self.fleet.add(member, seeds=("d0:1", "d1:1"))

    @stateful.rule(name=st.sampled_from(NAMES))
    def kill(self, name: str) -> None:
        if name in self.fleet.cores_by_name:
            self.fleet.paused.discard(name)
            self.fleet.kill(name)

    @stateful.rule(name=st.sampled_from(NAMES))
    def restart_empty(self, name: str) -> None:
        if name in self.fleet.cores_by_name:
            self.fleet.paused.discard(name)
            self.fleet.kill(name)
        # A restarted daemon derives its incarnation from the wall clock.
        later = 1000 + int(self.fleet.now_s * 1000)
        self._start(name, later)

    @stateful.rule(name=st.sampled_from(NAMES))
    def pause(self, name: str) -> None:
        if name in self.fleet.cores_by_name:
            self.fleet.paused.add(name)

    @stateful.rule(name=st.sampled_from(NAMES))
    def resume(self, name: str) -> None:
        self.fleet.paused.discard(name)

    @stateful.rule(split=st.integers(1, 5))
    def cut(self, split: int) -> None:
        self.fleet.cuts = {
            frozenset((one, other))
            for one in NAMES[:split]
            for other in NAMES[split:]
        }

    @stateful.rule()
    def heal(self) -> None:
        self.fleet.cuts.clear()

    @stateful.rule(seconds=st.sampled_from((0.5, 2.0, 8.0, 20.0)))
    def wait(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @stateful.invariant()
    def incarnations_never_go_back(self) -> None:
        if not hasattr(self, "fleet"):
            return
        for name, core in self.fleet.cores_by_name.items():
            assert core.own.incarnation >= self.incarnations_by_name[name]
            self.incarnations_by_name[name] = core.own.incarnation

    def teardown(self) -> None:
        if not hasattr(self, "fleet"):
            return
        self.fleet.cuts.clear()
        self.fleet.paused.clear()
        self.fleet.run(SETTLE_S)
        running = set(self.fleet.cores_by_name)
        for name in running:
            states = self.fleet.states_at(name)
            alive = {
                other
                for other, state in states.items()
                if state is peers.MemberState.ALIVE
            }
            # Guards against a running peer that is not reported as alive, and
            # against a stopped one that is.
            assert alive == running - {name}


TestMembership = MembershipMachine.TestCase
TestMembership.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=12, derandomize=True, deadline=None
)
