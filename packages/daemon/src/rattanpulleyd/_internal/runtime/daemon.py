"""Starts the components of the daemon, waits and stops them."""

import signal

import gevent
import gevent.event
import loguru

from rattanpulleyd import exceptions
from rattanpulleyd._internal.runtime import background_jobs
from rattanpulleyd._internal.runtime import components
from rattanpulleyd._internal.runtime import http_server
from rattanpulleyd._internal.runtime import process_setup
from rattanpulleyd._internal.settings import model
from rattanpulleyd._internal.telemetry import logs

DRAIN_POLL_S = 0.05
# Requests that are in transit when the listening socket closes still receive
# an error response during this time.
REFUSAL_LINGER_S = 0.25


class Daemon:
    """One daemon from its start to its end."""

    def __init__(self, settings: model.Settings) -> None:
        """Builds the components without starting them.

        Args:
            settings: Settings of the daemon.

        Raises:
            exceptions.SettingsError: The listening address is not available.
        """
        self._settings = settings
        self._stopping = gevent.event.Event()
        self._components = components.Components(settings)
        self._jobs = background_jobs.BackgroundJobs(
            settings.name, self._components.counts
        )
        try:
            self._server = http_server.HttpServer(
                settings.listen, self._components.caller_api.app
            )
        except OSError as error:
            raise exceptions.SettingsError(
                "$.listen", f"cannot listen: {error}", "use a free address"
            ) from error

    def start(self) -> None:
        """Starts the background jobs and accepts connections."""
        jobs = self._components.background_jobs()
        peer_runtime = self._components.peer_runtime
        if peer_runtime is not None:
            peer_runtime.start()
        self._jobs.start(jobs)
        self._server.start()
        loguru.logger.info(
            "{}: listening on {}:{}",
            self._settings.name,
            self._settings.listen.host,
            self._settings.listen.port,
        )

    def stop_gracefully(self) -> None:
        """Rejects new requests and lets `wait` return after those in flight."""
        self._components.runtime.set_draining()
        self._stopping.set()

    def wait(self) -> None:
        """Waits for the stop signal, drains requests and stops the server."""
        self._stopping.wait()
        loguru.logger.info("{}: draining", self._settings.name)
        self._wait_for_responses()
        self._server.stop_accepting()
        gevent.sleep(REFUSAL_LINGER_S)
        self._wait_for_responses()
        self._server.stop()
        self._jobs.stop()
        peer_runtime = self._components.peer_runtime
        if peer_runtime is not None:
            peer_runtime.stop()
        self._components.counts.flush()
        loguru.logger.info("{}: stopped", self._settings.name)

    def _wait_for_responses(self) -> None:
        while self._server.in_flight:
            gevent.sleep(DRAIN_POLL_S)


def serve(settings: model.Settings) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then drains its requests.

    Args:
        settings: Settings of the daemon.

    Raises:
        exceptions.SettingsError: The listening address is not available.
    """
    logs.configure(settings.log_level)
    process_setup.raise_file_limit()
    daemon = Daemon(settings)
    gevent.signal_handler(signal.SIGTERM, daemon.stop_gracefully)
    gevent.signal_handler(signal.SIGINT, daemon.stop_gracefully)
    process_setup.configure_garbage_collector()
    daemon.start()
    daemon.wait()
