"""Command status."""

from typing import Any

from cleo.helpers import option

from rattanpulley import exceptions
from rattanpulley._internal.commands import base
from rattanpulley._internal.daemons import status
from rattanpulley._internal.views import text


class StatusCommand(base.OperatorCommand):
    """Shows what each daemon reports."""

    name = "status"
    description = "Shows the tables and moves in force on each daemon."
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

    def make_output(self) -> text.Output:
        """Returns one row per daemon and one per move."""
        urls = self.option("daemon")
        if not urls:
            raise exceptions.UsageError(
                "no daemon is given", "Give --daemon URL, once per daemon"
            )
        answers = status.ask_all(urls, self.services.fetch_status)
        silent = [answer.url for answer in answers if answer.is_silent]
        data = {
            "daemons": [
                {
                    "url": answer.url,
                    "silent": answer.is_silent,
                    "problem": answer.problem,
                    "status": answer.status,
                }
                for answer in answers
            ],
            "silent": silent,
        }
        blocks: list[str | text.Grid] = [_daemon_grid(answers)]
        moves = _move_grid(answers)
        if moves.rows:
            blocks.append(moves)
        if silent:
            blocks.append(f"silent: {', '.join(silent)}")
        code = exceptions.ExitCode.DAEMON_SILENT if silent else 0
        return text.Output(data, blocks, code)


def _daemon_grid(answers: list[status.DaemonStatus]) -> text.Grid:
    rows = []
    for answer in answers:
        report = answer.status
        versions = _object(report.get("tables"))
        rows.append(
            (
                text.printable(answer.url),
                text.cell(report.get("name")),
                text.cell(report.get("failure_domain")),
                _state(answer),
                text.cell(_object(versions.get("routes")).get("version")),
                text.cell(_object(versions.get("pools")).get("version")),
                text.cell(answer.problem),
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


def _move_grid(answers: list[status.DaemonStatus]) -> text.Grid:
    rows = []
    for answer in answers:
        moves = answer.status.get("moves")
        for move in moves if isinstance(moves, list) else []:
            report = _object(move)
            rows.append(
                (
                    text.cell(answer.status.get("name") or answer.url),
                    text.cell(report.get("pool")),
                    text.cell(report.get("move_id")),
                    text.cell(report.get("state")),
                    text.cell(report.get("share")),
                    text.cell(report.get("reason")),
                )
            )
    headers = ("daemon", "pool", "move", "state", "share", "reason")
    return text.Grid(headers, rows)


def _state(answer: status.DaemonStatus) -> str:
    if answer.is_silent:
        return "silent"
    if answer.status.get("draining"):
        return "draining"
    return "ready" if answer.status.get("ready") else "not ready"


def _object(value: Any) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}
