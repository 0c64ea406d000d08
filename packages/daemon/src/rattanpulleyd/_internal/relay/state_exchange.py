"""Shares configuration and target changes among the hosts of a deployment.

A host requests them from another one over HTTP on an internal port. Each
response contains its age, so that cached state never counts as more recent than
the store read that it is based on.
"""

import dataclasses
import hashlib
import json
from typing import Any

import bottle
import urllib3

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import bounded_http
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib

CONFIG_PATH = "/beliefs/config"
TARGETS_PATH = "/beliefs/targets"
# Hosts of one failure domain respond within a few milliseconds.
REQUEST_TIMEOUT_S = 0.25
# Several times the changes that a host keeps for others.
MAX_RESPONSE_BYTES = 1024 * 1024
HTTP_OK = 200
HTTP_NOT_FOUND = 404


class PeerReportError(Exception):
    """A host did not respond, or has no report for the request."""


class StateEndpoints:
    """HTTP endpoints for other hosts."""

    def __init__(self, context: context_lib.RelayContext) -> None:
        """Creates the endpoints.

        Args:
            context: State of the process.
        """
        self._context = context
        self._digest = ConfigDigest()

    def app(self) -> bottle.Bottle:
        """Returns the application that serves the endpoints."""
        app = bottle.Bottle()
        app.route(CONFIG_PATH, callback=self._config)
        app.route(TARGETS_PATH, callback=self._targets)
        return app

    def _config(self) -> Any:
        cached_config = self._context.cached_config
        if cached_config.config is None:
            raise bottle.HTTPError(HTTP_NOT_FOUND)
        return {
            "version": cached_config.config.version,
            "digest": self._digest.compute(cached_config.config),
            "age_s": cached_config.age_s(clock.suspend_aware_now_s()),
        }

    def _targets(self) -> Any:
        """Returns the target changes after the requested position."""
        try:
            position = int(bottle.request.query.position)
        except ValueError:
            raise bottle.HTTPError(400) from None
        shared = self._context.shared_targets
        age_s = clock.suspend_aware_now_s() - shared.confirmed_at_s
        known = shared.log.position
        if known is not None and known < position:
            return {"behind": True, "age_s": age_s}
        changes = shared.log.since(position)
        if changes is None:
            raise bottle.HTTPError(HTTP_NOT_FOUND)
        return {
            "position": changes.position,
            "changed": [dataclasses.astuple(row) for row in changes.changed],
            "removed": changes.removed_ids,
            "age_s": age_s,
        }


class PeerClient:
    """Requests state from other hosts."""

    def __init__(self) -> None:
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def fetch_config(self, entry: serving.HostEntry) -> serving.ConfigReport:
        """Returns version, digest and age of another host's configuration.

        Raises:
            PeerReportError: The host did not respond or has no configuration.
        """
        document = self._get(entry, CONFIG_PATH)
        try:
            return serving.ConfigReport(
                int(document["version"]),
                str(document["digest"]),
                float(document["age_s"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise PeerReportError(repr(error)) from error

    def fetch_targets(
        self, entry: serving.HostEntry, position: int
    ) -> serving.TargetsReport:
        """Returns the target changes after a position from another host.

        Raises:
            PeerReportError: The host did not respond or does not have all
                changes.
        """
        document = self._get(entry, f"{TARGETS_PATH}?position={position}")
        try:
            age_s = float(document["age_s"])
            if document.get("behind"):
                return serving.TargetsReport(None, age_s)
            changes = serving.TargetChanges(
                tuple(serving.TargetEntry(*row) for row in document["changed"]),
                tuple(map(str, document["removed"])),
                int(document["position"]),
            )
            return serving.TargetsReport(changes, age_s)
        except (KeyError, TypeError, ValueError) as error:
            raise PeerReportError(repr(error)) from error

    def _get(self, entry: serving.HostEntry, path: str) -> dict[str, Any]:
        pool = self._pools.get(entry.address)
        if pool is None:
            host, _, port = entry.address.rpartition(":")
            pool = urllib3.HTTPConnectionPool(
                host, int(port), maxsize=2, retries=False
            )
            self._pools[entry.address] = pool
        try:
            response = pool.request(
                "GET", path, timeout=REQUEST_TIMEOUT_S, preload_content=False
            )
            body = bounded_http.read_body(
                response,
                MAX_RESPONSE_BYTES,
                clock.now_s() + REQUEST_TIMEOUT_S,
            )
            if response.status != HTTP_OK:
                raise PeerReportError(f"status {response.status}")
            document = json.loads(body)
        except (
            bounded_http.ResponseBoundsError,
            urllib3.exceptions.HTTPError,
            OSError,
            ValueError,
        ) as error:
            raise PeerReportError(str(error)) from error
        if not isinstance(document, dict):
            raise PeerReportError("the response is not a JSON object")
        return document


class ConfigDigest:
    """Caches the digest of the latest configuration."""

    def __init__(self) -> None:
        self._config: serving.ServingConfig | None = None
        self._digest = ""

    def compute(self, config: serving.ServingConfig) -> str:
        """Returns the SHA-256 hex digest, cached for the same object."""
        if config is not self._config:
            self._config = config
            content = repr(config).encode()
            self._digest = hashlib.sha256(content).hexdigest()
        return self._digest
