"""Shares configuration, target changes and crash reports among all hosts.

A host requests them from another one over HTTP on an internal port. Each
response contains its age, so that cached state never counts as more recent than
the store read that it is based on.
"""

from collections.abc import Mapping
import dataclasses
import functools
import hashlib
import json
from typing import Any
from urllib import parse

import bottle
import urllib3

from rattanpulley_core import serving
from rattanpulley_core import suspects
from rattanpulleyd._internal.relay import bounded_http
from rattanpulleyd._internal.relay import byte_budget
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.sockets import kept_connections

CONFIG_PATH = "/beliefs/config"
TARGETS_PATH = "/beliefs/targets"
CRASHES_PATH = "/beliefs/crashes"
PART_CRASHES_PATH = "/beliefs/part_crashes"
# Hosts of one failure domain respond within a few milliseconds.
REQUEST_TIMEOUT_S = 0.25
# Several times the changes that a host keeps for others.
MAX_RESPONSE_BYTES = 1024 * 1024
MAX_REQUEST_BYTES = 1024 * 1024
# A crash report is known by its key; one that is received twice counts once.
REPEATABLE_METHODS = ("GET", "POST")
# Queries of configuration and target changes are concurrent.
MAX_KEPT_CONNECTIONS = 2
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_TOO_LARGE = 413
HTTP_UNAVAILABLE = 503


# Time that reports need to another host. A slower transfer makes a crash look
# later, so that the next one may count as simultaneous.
TRANSFER_ERROR_S = 0.05
MAX_PORT = 65_535
# Errors of a document that lacks fields, has other types or numbers, or is
# nested too deeply.
_UNREADABLE = (
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
    OverflowError,
    RecursionError,
)
_TARGET_FIELDS = dataclasses.fields(serving.TargetEntry)


@dataclasses.dataclass(frozen=True, slots=True)
class _ReportChannel:
    """Names under which hosts exchange crash reports of one kind.

    Attributes:
        path: Where reports are sent to.
        field: Field of the reports in a response with target changes.
        log_parameter: Parameter of such a query that names the log read last.
        position_parameter: Parameter with the position in that log.
    """

    path: str
    field: str
    log_parameter: str
    position_parameter: str


_CHANNEL_BY_KIND = {
    suspects.SuspectKind.REQUEST: _ReportChannel(
        CRASHES_PATH, "crashes", "crash_log", "crash_position"
    ),
    suspects.SuspectKind.PART: _ReportChannel(
        PART_CRASHES_PATH, "part_crashes", "part_log", "part_position"
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class LogPosition:
    """How far the log of another host was read.

    Attributes:
        log_id: Id of the log; empty before the first one.
        position: Position of the newest report that was read.
    """

    log_id: str = ""
    position: int = 0


class PeerReportError(Exception):
    """A host did not respond, or has no report for the request."""


class ReportNotFoundError(PeerReportError):
    """The host has no such report, or no such path in an earlier version."""


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
        for kind, channel in _CHANNEL_BY_KIND.items():
            app.route(
                channel.path,
                method="POST",
                callback=functools.partial(self._add_crashes, kind),
            )
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
        crashes = self._crashes()
        known = shared.log.position
        if known is not None and known < position:
            return {"behind": True, "age_s": age_s, **crashes}
        changes = shared.log.since(position)
        if changes is None:
            raise bottle.HTTPError(HTTP_NOT_FOUND)
        return {
            "position": changes.position,
            "changed": [dataclasses.astuple(row) for row in changes.changed],
            "removed": changes.removed_ids,
            "age_s": age_s,
            **crashes,
        }

    def _crashes(self) -> dict[str, Any]:
        """Returns the crash reports that the requesting host lacks."""
        query = bottle.request.query
        now_s = clock.suspend_aware_now_s()
        found: dict[str, Any] = {}
        for kind, channel in _CHANNEL_BY_KIND.items():
            try:
                position = int(query.get(channel.position_parameter) or 0)
            except ValueError:
                raise bottle.HTTPError(400) from None
            log_id = query.get(channel.log_parameter) or ""
            log = context_lib.known_crashes(self._context, kind).log
            batch = log.since(log_id, position, now_s)
            found[channel.field] = _encode_batch(batch)
        return found

    def _add_crashes(self, kind: suspects.SuspectKind) -> Any:
        """Adds the crash reports of another host."""
        try:
            length = _max_body_length()
            with self._context.byte_budget.reserved(length):
                body = _read_request_body(length)
                batch = _decode_batch(json.loads(body), kind)
        except byte_budget.NoMemoryError:
            raise bottle.HTTPError(HTTP_UNAVAILABLE) from None
        except (OSError, *_UNREADABLE):
            # An OSError means that the body is not complete, or not in time.
            raise bottle.HTTPError(400) from None
        known = context_lib.known_crashes(self._context, kind)
        known.merge(
            batch.reports,
            clock.suspend_aware_now_s(),
            error_s=TRANSFER_ERROR_S,
            is_upstream=False,
        )
        return {"log": known.log.log_id}


def _max_body_length() -> int:
    """Returns how much to read at most of the body of the current request."""
    length: int = bottle.request.content_length
    if length > MAX_REQUEST_BYTES:
        raise bottle.HTTPError(HTTP_TOO_LARGE)
    return length if length >= 0 else MAX_REQUEST_BYTES + 1


def _read_request_body(length: int) -> bytes:
    """Returns the body of the current request.

    bottle would store a body without a length first, however long it is.
    """
    body: bytes = bottle.request.environ["wsgi.input"].read(length)
    if len(body) > MAX_REQUEST_BYTES:
        raise bottle.HTTPError(HTTP_TOO_LARGE)
    return body


class PeerClient:
    """Requests state from other hosts."""

    def __init__(self) -> None:
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def fetch_config(self, entry: serving.HostEntry) -> serving.ConfigReport:
        """Returns version, digest and age of another host's configuration.

        Raises:
            PeerReportError: The host did not respond or has no configuration.
        """
        document = self._call(entry, "GET", CONFIG_PATH)
        try:
            return serving.ConfigReport(
                int(document["version"]),
                str(document["digest"]),
                _decode_age_s(document),
            )
        except _UNREADABLE as error:
            raise PeerReportError(repr(error)) from error

    def fetch_targets(
        self,
        entry: serving.HostEntry,
        position: int,
        read_by_kind: Mapping[suspects.SuspectKind, LogPosition],
    ) -> serving.TargetsReport:
        """Returns the target changes after a position from another host.

        Args:
            entry: The other host.
            position: Store position of the last change that is known.
            read_by_kind: How far that host's crash reports were read.

        Raises:
            PeerReportError: The host did not respond or does not have all
                changes.
        """
        parameters: dict[str, Any] = {"position": position}
        for kind, read in read_by_kind.items():
            channel = _CHANNEL_BY_KIND[kind]
            parameters[channel.log_parameter] = read.log_id
            parameters[channel.position_parameter] = read.position
        query = parse.urlencode(parameters)
        document = self._call(entry, "GET", f"{TARGETS_PATH}?{query}")
        try:
            age_s = _decode_age_s(document)
            # Hosts of earlier versions send fewer kinds of reports.
            crashes = tuple(
                _decode_batch(document[channel.field], kind)
                for kind, channel in _CHANNEL_BY_KIND.items()
                if channel.field in document
            )
            if document.get("behind"):
                return serving.TargetsReport(None, age_s, crashes)
            changes = serving.TargetChanges(
                tuple(map(_decode_target, document["changed"])),
                tuple(map(str, document["removed"])),
                int(document["position"]),
            )
            return serving.TargetsReport(changes, age_s, crashes)
        except _UNREADABLE as error:
            raise PeerReportError(repr(error)) from error

    def send_crashes(
        self, entry: serving.HostEntry, batch: suspects.ReportBatch
    ) -> str:
        """Sends crash reports to another host.

        Returns:
            Id of the log of that host.

        Raises:
            PeerReportError: The host did not respond.
        """
        path = _CHANNEL_BY_KIND[batch.kind].path
        document = self._call(entry, "POST", path, _encode_batch(batch))
        log_id = document.get("log")
        if not isinstance(log_id, str):
            raise PeerReportError("the response names no log")
        return log_id

    def _call(
        self,
        entry: serving.HostEntry,
        method: str,
        path: str,
        content: dict[str, Any] | None = None,
    ) -> dict[str, Any]:
        until_s = clock.now_s() + REQUEST_TIMEOUT_S
        try:
            response = self._pool(entry.address).request(
                method,
                path,
                body=None if content is None else json.dumps(content).encode(),
                timeout=REQUEST_TIMEOUT_S,
                preload_content=False,
            )
            body = bounded_http.read_body(response, MAX_RESPONSE_BYTES, until_s)
            if response.status == HTTP_NOT_FOUND:
                raise ReportNotFoundError(f"{path} is not found")
            if response.status != HTTP_OK:
                raise PeerReportError(f"status {response.status}")
            document = json.loads(body)
        except (
            bounded_http.ResponseBoundsError,
            urllib3.exceptions.HTTPError,
            OSError,
            *_UNREADABLE,
        ) as error:
            raise PeerReportError(str(error)) from error
        if not isinstance(document, dict):
            raise PeerReportError("the response is not a JSON object")
        return document

    def _pool(self, address: str) -> urllib3.HTTPConnectionPool:
        """Returns the connections to an address; raises ValueError."""
        pool = self._pools.get(address)
        if pool is None:
            host, _, port = address.rpartition(":")
            pool = kept_connections.KeptConnectionPool(
                host, int(port), REPEATABLE_METHODS, MAX_KEPT_CONNECTIONS
            )
            self._pools[address] = pool
        return pool


def _decode_age_s(document: dict[str, Any]) -> float:
    """Returns the age of a report; raises one of `_UNREADABLE`."""
    age_s = float(document["age_s"])
    if not age_s >= 0:
        # A time in the future would keep old state valid.
        raise ValueError(f"an age of {age_s} s")
    return age_s


def _decode_target(row: list[Any]) -> serving.TargetEntry:
    """Returns the target in a row; raises one of `_UNREADABLE`."""
    entry = serving.TargetEntry(*row)
    for field, value in zip(_TARGET_FIELDS, row, strict=True):
        is_whole = field.type is float and type(value) is int
        if type(value) is not field.type and not is_whole:
            raise TypeError(f"{field.name} has another type")
    if not 0 < entry.port <= MAX_PORT:
        raise ValueError("the port is out of range")
    return entry


def _encode_batch(batch: suspects.ReportBatch) -> dict[str, Any]:
    """Returns the JSON object of a batch of crash reports."""
    return {
        "log": batch.log_id,
        "position": batch.position,
        "reports": [row.row() for row in batch.reports],
    }


def _decode_batch(
    document: dict[str, Any], kind: suspects.SuspectKind
) -> suspects.ReportBatch:
    """Returns the batch in a JSON object; raises one of `_UNREADABLE`."""
    return suspects.ReportBatch(
        str(document["log"]),
        int(document["position"]),
        tuple(suspects.SharedReport.parse(row) for row in document["reports"]),
        kind,
    )


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
