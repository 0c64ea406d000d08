"""HTTP servers for readiness checks, metrics and status."""

from collections.abc import Callable
import logging
from typing import Any

import bottle
from gevent import pywsgi

from rattanpulleyd._internal.relay import connection_limits
from rattanpulleyd._internal.relay import relay_metrics
from rattanpulleyd._internal.relay import settings
from rattanpulleyd._internal.sockets import fair_socket


def readiness_server(
    endpoint: settings.Endpoint,
    path: str,
    ready: Callable[[], bool],
    max_connections: int = connection_limits.MAX_PAGE_CONNECTIONS,
) -> pywsgi.WSGIServer:
    """Returns a server that responds with 200 while ready, otherwise 503.

    Args:
        endpoint: Where to listen.
        path: Path that the balancer requests.
        ready: Returns whether the host is ready.
        max_connections: Maximum number of connections.
    """
    app = bottle.Bottle()

    def respond() -> str:
        if ready():
            return "ready\n"
        bottle.response.status = 503
        return "not ready\n"

    app.route(path, callback=respond)
    return server(endpoint, app, max_connections)


def metrics_server(
    endpoint: settings.Endpoint,
    metrics: relay_metrics.RelayMetrics,
    status: Callable[[], dict[str, Any]],
    max_connections: int = connection_limits.MAX_PAGE_CONNECTIONS,
) -> pywsgi.WSGIServer:
    """Returns a server for the metrics and the status.

    Args:
        endpoint: Where to listen.
        metrics: Metrics, served in the Prometheus text format.
        status: Returns what `rattanpulley status` shows.
        max_connections: Maximum number of connections.
    """
    app = bottle.Bottle()

    def respond() -> bytes:
        bottle.response.content_type = "text/plain; version=0.0.4"
        return metrics.text()

    app.route("/metrics", callback=respond)
    app.route("/status", callback=status)
    return server(endpoint, app, max_connections)


def server(
    endpoint: settings.Endpoint,
    app: bottle.Bottle,
    max_connections: int = connection_limits.MAX_PAGE_CONNECTIONS,
) -> pywsgi.WSGIServer:
    """Returns an HTTP server for an application.

    Args:
        endpoint: Where to listen.
        app: The application.
        max_connections: Maximum number of connections; further ones wait.
    """
    return pywsgi.WSGIServer(
        (endpoint.host, endpoint.port),
        app,
        spawn=max_connections,
        log=None,
        error_log=logging.getLogger("rattanpulleyd.pages"),
        handler_class=fair_socket.FairHandler,
    )
