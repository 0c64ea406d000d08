"""What all commands share: services, options, output and errors."""

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
    """What the commands need from outside.

    Attributes:
        open_store: Returns a client of the object API at a base URL.
        fetch_status: Returns the status of the daemon at a base URL.
        wall_s: Returns Unix seconds.
        new_id: Returns a unique id.
        pause: Waits for a number of seconds.
        environment: Environment variables.
        user: Name of the user that runs the command.
    """

    open_store: Callable[[str], interfaces.ObjectStore]
    fetch_status: Callable[[str], dict[str, Any]]
    wall_s: Callable[[], float]
    new_id: Callable[[], str]
    pause: Callable[[float], None]
    environment: dict[str, str]
    user: str


JSON_OPTION = option("json", None, "Print one JSON value for programs.")
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
    """A command; subclasses return what is to be printed."""

    arguments: ClassVar[Sequence[cleo_argument.Argument]] = ()
    options: ClassVar[Sequence[cleo_option.Option]] = ()

    def __init__(self, services: Services) -> None:
        self.services = services
        super().__init__()

    @abc.abstractmethod
    def make_output(self) -> text.Output:
        """Carries the command out.

        Raises:
            CommandError: The command failed.
        """

    def handle(self) -> int:
        """Prints the output or the error; called by cleo."""
        try:
            output = self.make_output()
        except exceptions.CommandError as error:
            return self._show_error(error)
        except interfaces.StoreUnavailableError as error:
            return self._show_error(
                exceptions.StoreUnavailableError(str(error))
            )
        self.show(output)
        return int(output.exit_code)

    def show(self, output: text.Output) -> None:
        """Prints an output in the form that the user chose."""
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
        """Prints a JSON value; without indent on one line."""
        shown = json.dumps(data, indent=indent, sort_keys=True)
        self.line(formatter.Formatter.escape(shown))

    def store(self) -> interfaces.ObjectStore:
        """Returns the client of the object API.

        Raises:
            UsageError: Its address is not known or not valid.
        """
        url = self.option("platform")
        url = url or self.services.environment.get(PLATFORM_VARIABLE)
        if not url:
            raise exceptions.UsageError(
                "the address of the object API is not known",
                f"Give --platform URL or set {PLATFORM_VARIABLE}",
            )
        return self.services.open_store(url)

    def writer(self) -> table_writer.TableWriter:
        """Returns the writer of tables."""
        return table_writer.TableWriter(
            self.store(),
            self.services.wall_s,
            self.services.new_id,
            self.services.pause,
        )

    def who(self) -> str:
        """Returns the operator's name for the audit entry."""
        given = self.option("who")
        given = given or self.services.environment.get(WHO_VARIABLE)
        return str(given or self.services.user)

    def table_kind(self, name: str = "table") -> tables.TableKind:
        """Returns the table that an argument names.

        Raises:
            UsageError: There is no such table.
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
                safe = formatter.Formatter.escape(text.printable(line))
                self.line_error(safe)
        return int(error.exit_code)

    def _show_grid(self, grid: text.Grid) -> None:
        rows = [
            [formatter.Formatter.escape(cell) for cell in row]
            for row in grid.rows
        ]
        self.render_table(list(grid.headers), rows, "compact")


def parse_kind(name: str) -> tables.TableKind:
    """Returns the table of a name.

    Raises:
        UsageError: There is no such table.
    """
    try:
        return tables.TableKind(name)
    except ValueError as error:
        raise exceptions.UsageError(
            f"{name!r} is not a table", "Give 'routes' or 'pools'"
        ) from error


def parse_version(value: str) -> int:
    """Returns the version of an option.

    Raises:
        UsageError: It is not a whole number.
    """
    if not value.isdecimal():
        raise exceptions.UsageError(
            f"{value!r} is not a version", "Give a whole number"
        )
    return int(value)
