"""Base class of the commands, with their common options and output."""

import abc
from collections.abc import Callable, Sequence
import dataclasses
import json
from typing import Any, ClassVar

from cleo.commands import command
from cleo.formatters import formatter
from cleo.helpers import option
from cleo.io.inputs import argument as cleo_argument
from cleo.io.inputs import option as cleo_option

from rattanpulley import exceptions
from rattanpulley._internal.store import table_writer
from rattanpulley._internal.views import text
from rattanpulley_core import interfaces
from rattanpulley_core import tables

PLATFORM_VARIABLE = "RATTANPULLEY_PLATFORM"
WHO_VARIABLE = "RATTANPULLEY_WHO"


@dataclasses.dataclass(frozen=True, slots=True)
class Services:
    """External dependencies of the commands.

    Attributes:
        open_store: Returns a client of the object API at a base URL.
        fetch_status: Returns the status of the daemon at a base URL.
        wall_s: Returns the wall time in Unix seconds.
        new_id: Returns a unique id.
        sleep: Sleeps for a number of seconds.
        environment: Environment variables.
        user: Name of the operating system user who runs the command.
    """

    open_store: Callable[[str], interfaces.ObjectStore]
    fetch_status: Callable[[str], dict[str, Any]]
    wall_s: Callable[[], float]
    new_id: Callable[[], str]
    sleep: Callable[[float], None]
    environment: dict[str, str]
    user: str


JSON_OPTION = option("json", None, "Print JSON instead of text.")
PLATFORM_OPTION = option(
    "platform",
    None,
    f"Base URL of the object API; default: ${PLATFORM_VARIABLE}.",
    flag=False,
)
WHO_OPTION = option(
    "who",
    None,
    f"Name in the audit entry; default: ${WHO_VARIABLE} or the user.",
    flag=False,
)
REASON_OPTION = option(
    "reason", None, "Text in the audit entry.", flag=False, default=""
)


class OperatorCommand(command.Command, abc.ABC):
    """A command; subclasses run it and return its output."""

    arguments: ClassVar[Sequence[cleo_argument.Argument]] = ()
    options: ClassVar[Sequence[cleo_option.Option]] = ()

    def __init__(self, services: Services) -> None:
        self.services = services
        super().__init__()

    @abc.abstractmethod
    def run_command(self) -> text.Output:
        """Runs the command and returns its output.

        Raises:
            CommandError: The command failed.
        """

    def handle(self) -> int:
        """Runs the command and prints its output or error; called by cleo."""
        try:
            output = self.run_command()
        except exceptions.CommandError as error:
            return self._show_error(error)
        except interfaces.StoreUnavailableError as error:
            return self._show_error(
                exceptions.StoreUnavailableError(str(error))
            )
        self.show(output)
        return int(output.exit_code)

    def show(self, output: text.Output) -> None:
        """Prints an output as text, or as JSON with `--json`."""
        if self.option("json"):
            if output.data is not None:
                self.write_json(output.data)
            return
        for block in output.blocks:
            if isinstance(block, text.Grid):
                self._show_grid(block)
            else:
                self.line(formatter.Formatter.escape(block))

    def write_json(self, data: Any, indent: int | None = 2) -> None:
        """Prints a JSON value; `indent=None` prints it on one line."""
        encoded = json.dumps(data, indent=indent, sort_keys=True)
        self.line(formatter.Formatter.escape(encoded))

    def store(self) -> interfaces.ObjectStore:
        """Returns a client of the object API.

        Raises:
            UsageError: The base URL is not set or not valid.
        """
        url = self.option("platform")
        url = url or self.services.environment.get(PLATFORM_VARIABLE)
        if not url:
            raise exceptions.UsageError(
                "the base URL of the object API is not set",
                f"Give --platform URL or set {PLATFORM_VARIABLE}",
            )
        return self.services.open_store(url)

    def writer(self) -> table_writer.TableWriter:
        """Returns a writer of tables in the object API."""
        return table_writer.TableWriter(
            self.store(),
            self.services.wall_s,
            self.services.new_id,
            self.services.sleep,
        )

    def operator_name(self) -> str:
        """Returns the name of the operator for the audit entry."""
        name = self.option("who")
        name = name or self.services.environment.get(WHO_VARIABLE)
        return str(name or self.services.user)

    def table_kind(self, name: str = "table") -> tables.TableKind:
        """Returns the kind of table given as an argument.

        Raises:
            UsageError: The argument is not a kind of table.
        """
        return parse_kind(self.argument(name))

    def _show_error(self, error: exceptions.CommandError) -> int:
        if self.option("json"):
            self.write_json(
                {
                    "error": {
                        "kind": type(error).__name__,
                        "message": str(error),
                        "hint": error.hint,
                        "details": error.details,
                        "exit_code": int(error.exit_code),
                    }
                }
            )
        else:
            for line in (*str(error).splitlines(), f"{error.hint}."):
                escaped = formatter.Formatter.escape(text.printable(line))
                self.line_error(escaped)
        return int(error.exit_code)

    def _show_grid(self, grid: text.Grid) -> None:
        rows = [
            [formatter.Formatter.escape(cell) for cell in row]
            for row in grid.rows
        ]
        self.render_table(list(grid.headers), rows, "compact")


def parse_kind(name: str) -> tables.TableKind:
    """Returns the kind of table with a name.

    Raises:
        UsageError: The name is not a kind of table.
    """
    try:
        return tables.TableKind(name)
    except ValueError as error:
        raise exceptions.UsageError(
            f"{name!r} is not a table", "Give 'routes' or 'pools'"
        ) from error


def parse_version(value: str) -> int:
    """Returns an option value as a version number.

    Raises:
        UsageError: The value is not a decimal number.
    """
    if not value.isdecimal():
        raise exceptions.UsageError(
            f"{value!r} is not a version", "Give a whole number"
        )
    return int(value)
