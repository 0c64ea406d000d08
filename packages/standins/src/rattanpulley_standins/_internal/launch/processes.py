"""One child process of a deployment."""

import os
import pathlib
import signal
import subprocess
import sys

KILL_TIMEOUT_S = 5.0
LOG_TAIL_BYTES = 2000


class ManagedProcess:
    """A child process that is ended by its own id.

    Args:
        name: Name within the deployment.
        arguments: Arguments of the Python interpreter.
        log_path: File that receives its output.
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
        """Whether the process exists, paused or not."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Starts the process in a group of its own.

        Keyboard interrupts reach the launcher only, which ends the children.
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
        """Sends a signal when the process is running."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once and waits for its end."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait(KILL_TIMEOUT_S)

    def wait_or_kill(self, timeout_s: float) -> None:
        """Waits for the end of the process and forces it after a time."""
        if self._process is None:
            return
        try:
            self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()

    def log_tail(self) -> str:
        """Returns the end of the output."""
        if not self._log_path.exists():
            return ""
        data = self._log_path.read_bytes()[-LOG_TAIL_BYTES:]
        return data.decode(errors="replace")
