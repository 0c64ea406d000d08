"""Starts, stops and injects faults into the processes of a deployment."""

import datetime
import json
import pathlib
import shutil
import signal
import tempfile
import time
from typing import Any

from rattanpulley_standins._internal import http_json
from rattanpulley_standins._internal.launch import plan as plan_lib
from rattanpulley_standins._internal.launch import processes

READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.05
READY_CALL_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 5.0
PLATFORM = "platform"


class DeploymentError(Exception):
    """A process did not become ready, or a process name is unknown."""


class Deployment:
    """Platform, engines, services and daemons as processes on loopback.

    A deployment is a context manager that starts and stops the processes. They
    are named `platform`, `engine-DOMAIN-N`, `service-DOMAIN-1` and `entry-N`.

    Args:
        options: Size and timing of the deployment.

    Attributes:
        plan: Names, ports, URLs and settings of the processes.
    """

    def __init__(self, options: plan_lib.Options | None = None) -> None:
        self.plan = plan_lib.make_plan(options or plan_lib.Options())
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix="rattanpulley-"))
        self._processes_by_name: dict[str, processes.ManagedProcess] = {}
        self._ready_urls_by_name: dict[str, str] = {}
        self._paused: set[str] = set()
        self._create_processes()

    def __enter__(self) -> "Deployment":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    @property
    def platform_url(self) -> str:
        """Base URL of the platform."""
        return self.plan.platform_url

    @property
    def engines(self) -> list[plan_lib.Target]:
        """All engines."""
        return [t for t in self.plan.targets if t.kind == "engine"]

    @property
    def services(self) -> list[plan_lib.Target]:
        """All services."""
        return [t for t in self.plan.targets if t.kind == "service"]

    @property
    def daemons(self) -> list[plan_lib.Daemon]:
        """All daemons."""
        return list(self.plan.daemons)

    def start(self) -> None:
        """Starts all processes and waits until they are ready.

        Raises:
            DeploymentError: A process did not become ready.
        """
        daemon_names = [daemon.name for daemon in self.plan.daemons]
        others = [n for n in self._processes_by_name if n not in daemon_names]
        self._start_all(others)
        self._write_tables()
        self._start_all(daemon_names)

    def stop(self) -> None:
        """Terminates all processes and removes the working directory.

        Processes that have not exited after `STOP_TIMEOUT_S`, such as a daemon
        with answers in progress, are killed.
        """
        running = list(self._processes_by_name.values())
        for process in running:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        end_s = time.monotonic() + STOP_TIMEOUT_S
        for process in running:
            process.wait_or_kill(max(end_s - time.monotonic(), 0))
        shutil.rmtree(self._directory, ignore_errors=True)

    def kill(self, name: str) -> None:
        """Kills a process and waits for its exit."""
        self._process(name).kill()
        self._paused.discard(name)

    def kill_all(self, names: list[str]) -> None:
        """Kills several processes simultaneously and waits for their exit."""
        for name in names:
            self._process(name).signal(signal.SIGKILL)
        for name in names:
            self.kill(name)

    def pause(self, name: str) -> None:
        """Pauses a process with SIGSTOP."""
        self._process(name).signal(signal.SIGSTOP)
        self._paused.add(name)

    def resume(self, name: str) -> None:
        """Resumes a paused process."""
        self._process(name).signal(signal.SIGCONT)
        self._paused.discard(name)

    def terminate(self, name: str) -> None:
        """Requests a graceful shutdown without waiting for it."""
        self._process(name).signal(signal.SIGTERM)

    def restart(self, name: str) -> None:
        """Kills a process if it is running, starts it and waits for it.

        Raises:
            DeploymentError: The process did not become ready.
        """
        self.kill(name)
        self._start_all([name])

    def is_running(self, name: str) -> bool:
        """Returns whether a process is running and not paused."""
        return self._process(name).is_running and name not in self._paused

    def pid(self, name: str) -> int:
        """Returns the process id."""
        return self._process(name).pid

    def url(self, name: str) -> str:
        """Returns the base URL of a process."""
        self._process(name)
        return self._ready_urls_by_name[name].rsplit("/", 1)[0]

    def log(self, name: str) -> str:
        """Returns the last part of a process's output."""
        return self._process(name).log_tail()

    def set_faults(self, name: str, faults: dict[str, Any]) -> None:
        """Sets faults of a stand-in.

        Raises:
            http_json.CallError: The stand-in rejected them or did not respond.
        """
        http_json.expect("POST", f"{self.url(name)}/faults", faults)

    def stats(self, name: str) -> Any:
        """Returns the counters of a stand-in.

        Raises:
            http_json.CallError: The stand-in did not respond.
        """
        return http_json.expect("GET", f"{self.url(name)}/stats")

    def describe(self) -> dict[str, Any]:
        """Returns the JSON object that `make up` prints (design section 8)."""
        routers = [
            {
                "name": daemon.name,
                "domain": daemon.domain,
                "url": daemon.url,
                "pid": self.pid(daemon.name),
            }
            for daemon in self.plan.daemons
        ]
        targets = [
            {
                "name": target.name,
                "domain": target.domain,
                "version": target.version,
                "url": target.url,
                "pid": self.pid(target.name),
                "kind": target.kind,
            }
            for target in self.plan.targets
        ]
        platform = {"url": self.platform_url, "pid": self.pid(PLATFORM)}
        return {"routers": routers, "targets": targets, "platform": platform}

    def _create_processes(self) -> None:
        plan = self.plan
        self._create_standin(PLATFORM, PLATFORM, plan.platform_settings())
        self._ready_urls_by_name[PLATFORM] = f"{plan.platform_url}/health"
        for target in plan.targets:
            settings = plan.target_settings(target)
            self._create_standin(target.name, target.kind, settings)
            self._ready_urls_by_name[target.name] = f"{target.url}/health"
        for daemon in plan.daemons:
            settings = plan.daemon_settings(daemon)
            self._create(
                daemon.name, ["-m", "rattanpulleyd", "serve"], settings
            )
            self._ready_urls_by_name[daemon.name] = f"{daemon.url}/ready"

    def _create_standin(
        self, name: str, kind: str, settings: dict[str, Any]
    ) -> None:
        arguments = ["-m", f"rattanpulley_standins.{kind}"]
        self._create(name, arguments, settings)

    def _create(
        self, name: str, arguments: list[str], settings: dict[str, Any]
    ) -> None:
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2), "utf-8")
        self._processes_by_name[name] = processes.ManagedProcess(
            name,
            [*arguments, "--settings", str(path)],
            self._directory / f"{name}.log",
        )

    def _process(self, name: str) -> processes.ManagedProcess:
        process = self._processes_by_name.get(name)
        if process is None:
            known = ", ".join(self._processes_by_name)
            raise DeploymentError(
                f"unknown process {name}; known processes: {known}"
            )
        return process

    def _start_all(self, names: list[str]) -> None:
        for name in names:
            self._process(name).start()
        end_s = time.monotonic() + READY_TIMEOUT_S
        for name in names:
            self._wait_until_ready(name, end_s)

    def _wait_until_ready(self, name: str, end_s: float) -> None:
        process = self._process(name)
        while not self._is_ready(name):
            if not process.is_running or time.monotonic() > end_s:
                raise DeploymentError(
                    f"{name} did not become ready:\n{process.log_tail()}"
                )
            time.sleep(READY_POLL_S)

    def _is_ready(self, name: str) -> bool:
        url = self._ready_urls_by_name[name]
        try:
            answer = http_json.call("GET", url, timeout_s=READY_CALL_TIMEOUT_S)
        except http_json.CallError:
            return False
        return answer.status == 200

    def _write_tables(self) -> None:
        now = datetime.datetime.now(datetime.UTC).isoformat()
        for key, value in self.plan.tables_by_key(now).items():
            http_json.expect(
                "PUT",
                f"{self.platform_url}/objects/{key}",
                {"value": value},
                {"If-None-Match": "*"},
            )
