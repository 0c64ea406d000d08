"""Child process of a deployment."""

import os
import pathlib
import signal
import subprocess
import sys

KILL_TIMEOUT_S = 5.0
LOG_TAIL_BYTES = 2000


class ManagedProcess:
    """Child process that is signalled by its process id.

    Args:
        name: Name within the deployment.
        arguments: Arguments of the Python interpreter.
        log_path: File to which its output is appended.
    """

    def __init__(
        self, name: str, arguments: list[str], log_path: pathlib.Path
    ) -> None:
        self.name = name
        self._arguments = arguments
        self._log_path = log_path
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id; 0 before the first start."""
        return 0 if self._process is None else self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process exists, including while it is paused."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Starts the process in a session of its own.

        Keyboard interrupts thus reach only the launcher, which stops its child
        processes.
        """
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
                start_new_session=True,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is running."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its exit."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait(KILL_TIMEOUT_S)

    def wait_or_kill(self, timeout_s: float) -> None:
        """Waits for the process to exit and kills it after a timeout."""
        if self._process is None:
            return
        try:
            self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()

    def log_tail(self) -> str:
        """Returns the last `LOG_TAIL_BYTES` of the output."""
        if not self._log_path.exists():
            return ""
        data = self._log_path.read_bytes()[-LOG_TAIL_BYTES:]
        return data.decode(errors="replace")
