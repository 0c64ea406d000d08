"""Fault schedule of the demo and the answers that run during it."""

from collections.abc import Callable
import random

import gevent
from gevent import pool

from rattanpulley_standins._internal.demo import display as display_lib
from rattanpulley_standins._internal.injection import costs as costs_lib
from rattanpulley_standins._internal.injection import injector as injector_lib
from rattanpulley_standins._internal.launch import deployment as deployment_lib
from rattanpulley_standins._internal.load import caller
from rattanpulley_standins._internal.load import record as record_lib

ANSWERS = 24
ANSWER_LENGTH = 1000  # About 30 s with 30 ms between tokens.
STAGGER_S = 3.0
POLL_S = 0.1
RESTART_AFTER_S = 3.0
PAUSE_S = 6.0
# An answer with two crashes within 300 tokens (9 s) is suspected of causing
# them, so engines of the same version are killed further apart than that.
FIRST_KILL_S = 6.0
PAUSE_AT_S = 10.0
SILENCE_AT_S = 14.0
SECOND_KILL_S = 18.0
DAEMON_KILL_S = 23.0
THIRD_KILL_S = 28.0

Kind = injector_lib.FaultKind


class Scenario:
    """Runs the answers and the faults on a running deployment.

    Args:
        deployment: The deployment, with at least one daemon.
        seed: Seed of the faults and the answers.

    Attributes:
        records: Records of the answers.
        injections: Faults injected so far.
        meter: Meter of the computation on the engines.
    """

    def __init__(
        self, deployment: deployment_lib.Deployment, seed: int
    ) -> None:
        self.records: list[record_lib.AnswerRecord] = []
        self.injections: list[injector_lib.Injection] = []
        self.meter = costs_lib.CostMeter(deployment)
        self._deployment = deployment
        self._seed = seed
        self._injector = injector_lib.Injector(deployment, seed)
        self._display = display_lib.Display(self.records)
        self._faults = pool.Group()

    def run(self) -> None:
        """Runs until all answers have ended."""
        callers = pool.Group()
        try:
            for number in range(ANSWERS):
                daemon_caller = self._new_caller(number)
                callers.spawn(self._run_caller, number, daemon_caller)
            self._schedule_faults()
            self._watch(callers)
        finally:
            # A pending fault would restart a process after the deployment has
            # stopped.
            self._faults.kill()
            callers.kill()
            self._display.clear_progress()

    def _watch(self, callers: pool.Group) -> None:
        while len(callers):
            self._display.print_progress()
            self.meter.sample()
            gevent.sleep(POLL_S)
        self._faults.join(raise_error=True)
        self.meter.sample()

    def _new_caller(self, number: int) -> caller.DaemonCaller:
        urls = [daemon.url for daemon in self._deployment.daemons]
        first = number % len(urls)
        request = caller.AnswerRequest(
            key=f"demo-{self._seed}-{number}", length=ANSWER_LENGTH
        )
        daemon_caller = caller.DaemonCaller(
            [*urls[first:], *urls[:first]], request
        )
        self.records.append(daemon_caller.record)
        return daemon_caller

    def _run_caller(
        self, number: int, daemon_caller: caller.DaemonCaller
    ) -> None:
        rng = random.Random(f"{self._seed}-{number}")
        gevent.sleep(rng.uniform(0, STAGGER_S))
        daemon_caller.run()

    def _schedule_faults(self) -> None:
        self._schedule(FIRST_KILL_S, lambda: self._kill("v1"))
        self._schedule(PAUSE_AT_S, lambda: self._pause("v2"))
        self._schedule(SILENCE_AT_S, lambda: self._stall_connections("v1"))
        self._schedule(SECOND_KILL_S, lambda: self._kill("v2"))
        self._schedule(DAEMON_KILL_S, self._kill_daemon)
        self._schedule(THIRD_KILL_S, lambda: self._kill("v1"))

    def _schedule(self, delay_s: float, fault: Callable[[], None]) -> None:
        greenlet = gevent.Greenlet(fault)
        self._faults.add(greenlet)
        greenlet.start_later(delay_s)

    def _kill(self, version: str) -> None:
        [name] = self._injector.choose(1, version)
        self.meter.sample()
        injection = self._injector.kill(Kind.RESET, [name])
        self._record_injection(injection, f"{name} ({version}) is killed")
        gevent.sleep(RESTART_AFTER_S)
        self._injector.repair(injection)
        self._display.print_event(f"{name} is started again")

    def _pause(self, version: str) -> None:
        [name] = self._injector.choose(1, version)
        injection = self._injector.pause(name)
        self._record_injection(injection, f"{name} ({version}) is paused")
        gevent.sleep(PAUSE_S)
        self._injector.repair(injection)
        self._display.print_event(f"{name} goes on")

    def _stall_connections(self, version: str) -> None:
        [name] = self._injector.choose(1, version)
        injection = self._injector.stall_connections(name)
        self._record_injection(
            injection, f"open connections of {name} go silent"
        )

    def _kill_daemon(self) -> None:
        name = self._deployment.daemons[-1].name
        injection = self._injector.kill_daemon(name, self.records)
        self._record_injection(injection, f"daemon {name} is killed")

    def _record_injection(
        self, injection: injector_lib.Injection, text: str
    ) -> None:
        self.injections.append(injection)
        count = len(injection.affected_records(self.records))
        self._display.print_event(f"{text}, with {count} answers in progress")
