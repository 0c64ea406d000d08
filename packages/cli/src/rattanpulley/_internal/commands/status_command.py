"""The `status` command."""

from typing import Any

from cleo.helpers import option

from rattanpulley import exceptions
from rattanpulley._internal.commands import base
from rattanpulley._internal.daemons import status
from rattanpulley._internal.views import text


class StatusCommand(base.OperatorCommand):
    """Shows the status that each daemon reports."""

    name = "status"
    description = "Shows the active tables and moves of each daemon."
    options = (
        option(
            "daemon",
            "d",
            "Base URL of a daemon; repeatable.",
            flag=False,
            multiple=True,
        ),
        base.JSON_OPTION,
    )

    def run_command(self) -> text.Output:
        """Returns one row per daemon and one per move."""
        urls = self.option("daemon")
        if not urls:
            raise exceptions.UsageError(
                "no daemon is given", "Give --daemon URL, once per daemon"
            )
        statuses = status.fetch_all(urls, self.services.fetch_status)
        unresponsive = [
            daemon.url for daemon in statuses if daemon.is_unresponsive
        ]
        data = {
            "daemons": [
                {
                    "url": daemon.url,
                    "silent": daemon.is_unresponsive,
                    "problem": daemon.problem,
                    "status": daemon.status,
                }
                for daemon in statuses
            ],
            "silent": unresponsive,
        }
        blocks: list[str | text.Grid] = [_daemon_grid(statuses)]
        moves = _move_grid(statuses)
        if moves.rows:
            blocks.append(moves)
        if unresponsive:
            blocks.append(f"silent: {', '.join(unresponsive)}")
        code = exceptions.ExitCode.DAEMON_UNRESPONSIVE if unresponsive else 0
        return text.Output(data, blocks, code)


def _daemon_grid(statuses: list[status.DaemonStatus]) -> text.Grid:
    rows = []
    for daemon in statuses:
        report = daemon.status
        versions = _as_object(report.get("tables"))
        rows.append(
            (
                text.printable(daemon.url),
                text.cell(report.get("name")),
                text.cell(report.get("failure_domain")),
                _state_text(daemon),
                text.cell(_as_object(versions.get("routes")).get("version")),
                text.cell(_as_object(versions.get("pools")).get("version")),
                text.cell(daemon.problem),
            )
        )
    headers = (
        "daemon",
        "name",
        "domain",
        "state",
        "routes",
        "pools",
        "problem",
    )
    return text.Grid(headers, rows)


def _move_grid(statuses: list[status.DaemonStatus]) -> text.Grid:
    rows = []
    for daemon in statuses:
        moves = daemon.status.get("moves")
        for move in moves if isinstance(moves, list) else []:
            report = _as_object(move)
            rows.append(
                (
                    text.cell(daemon.status.get("name") or daemon.url),
                    text.cell(report.get("pool")),
                    text.cell(report.get("move_id")),
                    text.cell(report.get("state")),
                    text.cell(report.get("share")),
                    text.cell(report.get("reason")),
                )
            )
    headers = ("daemon", "pool", "move", "state", "share", "reason")
    return text.Grid(headers, rows)


def _state_text(daemon: status.DaemonStatus) -> str:
    if daemon.is_unresponsive:
        return "silent"
    if daemon.status.get("draining"):
        return "draining"
    return "ready" if daemon.status.get("ready") else "not ready"


def _as_object(value: Any) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}
