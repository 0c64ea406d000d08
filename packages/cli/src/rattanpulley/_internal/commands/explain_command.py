"""The `explain` command."""

import datetime
import json
import pathlib

from cleo.helpers import argument
from cleo.helpers import option

from rattanpulley import exceptions
from rattanpulley._internal.commands import base
from rattanpulley._internal.documents import decision_lines
from rattanpulley._internal.views import text


class ExplainCommand(base.OperatorCommand):
    """Shows the timeline of one request from log files."""

    name = "explain"
    description = "Shows what happened to a request, from log files."
    arguments = (argument("files", "Log files of the daemons.", multiple=True),)
    options = (
        option("request", None, "Id of the request.", flag=False),
        base.JSON_OPTION,
    )

    def run_command(self) -> text.Output:
        """Returns the log lines that explain the request, by time."""
        request_id = self.option("request")
        if not request_id:
            raise exceptions.UsageError(
                "--request is missing", "Give the id of the request"
            )
        paths = [pathlib.Path(name) for name in self.argument("files")]
        lines = decision_lines.lines_for_request(
            decision_lines.read(paths), request_id
        )
        if not lines:
            raise exceptions.NotFoundError(
                f"no log line has the request id {request_id}",
                "Give the log files of all hosts of that time",
            )
        data = {
            "request": request_id,
            "lines": [
                {
                    "time": line.time_s,
                    "host": line.host,
                    "event": line.event,
                    **line.fields,
                }
                for line in lines
            ],
        }
        return text.Output(data, [_timeline_grid(lines)])


def _timeline_grid(lines: list[decision_lines.DecisionLine]) -> text.Grid:
    """Returns the timeline, with seconds since the first line."""
    first_s = lines[0].time_s
    started_at = datetime.datetime.fromtimestamp(first_s, datetime.UTC)
    return text.Grid(
        (started_at.strftime("%Y-%m-%d %H:%M:%S"), "host", "event", "details"),
        [
            (
                f"{line.time_s - first_s:+.3f} s",
                text.printable(line.host),
                text.printable(line.event),
                _details(line),
            )
            for line in lines
        ],
    )


def _details(line: decision_lines.DecisionLine) -> str:
    """Returns the fields of a line that are not empty, as text."""
    parts = [
        f"{name}={value if isinstance(value, str) else json.dumps(value)}"
        for name, value in line.fields.items()
        if value not in (None, [], {})
    ]
    return text.printable(" ".join(parts))
