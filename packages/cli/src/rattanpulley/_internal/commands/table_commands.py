"""The commands `check`, `diff`, `apply` and `get`."""

import json
import pathlib

from cleo.helpers import argument
from cleo.helpers import option

from rattanpulley import exceptions
from rattanpulley._internal.commands import base
from rattanpulley._internal.documents import checks
from rattanpulley._internal.documents import table_file
from rattanpulley._internal.store import table_change
from rattanpulley._internal.store import table_reader
from rattanpulley._internal.views import table_views
from rattanpulley._internal.views import text
from rattanpulley_core import tables

TABLE_ARGUMENT = argument("table", "routes or pools.")
FILE_ARGUMENT = argument("file", "File with the table.")


class CheckCommand(base.OperatorCommand):
    """Validates table files without the object API."""

    name = "check"
    description = "Checks table files offline."
    options = (
        option("routes", None, "File with the routes table.", flag=False),
        option("pools", None, "File with the pools table.", flag=False),
        base.JSON_OPTION,
    )

    def run_command(self) -> text.Output:
        """Returns the files and their warnings.

        Raises:
            TableFaultsError: A file is invalid.
            UsageError: No file is given, or one cannot be read.
        """
        files = [
            table_file.load(kind, self.option(kind.value))
            for kind in tables.TableKind
            if self.option(kind.value)
        ]
        if not files:
            raise exceptions.UsageError(
                "no file is given", "Give --routes FILE, --pools FILE or both"
            )
        errors, warnings = checks.check_files(files)
        if errors:
            raise table_file.diagnostics_error(errors)
        data = {
            "files": [file.path for file in files],
            "remarks": [warning.to_json() for warning in warnings],
        }
        lines = [f"remark: {warning}" for warning in warnings]
        lines.extend(f"{file.path}: no faults" for file in files)
        return text.Output(data, lines)


class DiffCommand(base.OperatorCommand):
    """Compares a file with the stored table."""

    name = "diff"
    description = "Shows what a file would change."
    arguments = (TABLE_ARGUMENT, FILE_ARGUMENT)
    options = (base.PLATFORM_OPTION, base.JSON_OPTION)

    def run_command(self) -> text.Output:
        """Returns the changed fields and the version to pass to `apply`."""
        file = load_valid_file(self)
        stored = table_reader.read_table(self.store(), file.kind)
        changes = tables.diff_tables(stored.value, file.value)
        warnings = table_views.weight_warnings(stored, file)
        data = {
            "table": file.kind.value,
            "version": stored.version,
            "changes": [text.change_json(change) for change in changes],
            "remarks": [warning.to_json() for warning in warnings],
        }
        blocks: list[str | text.Grid] = [
            f"remark: {warning}" for warning in warnings
        ]
        if changes:
            blocks.append(text.change_grid(changes))
            blocks.append(
                f"To apply: rattanpulley apply {file.kind.value} {file.path}"
                f" --at-version {stored.version}"
            )
        else:
            blocks.append(f"no difference to version {stored.version}")
        return text.Output(data, blocks)


class ApplyCommand(base.OperatorCommand):
    """Writes a table if the stored version is the expected one."""

    name = "apply"
    description = "Applies a file if the table has not changed since diff."
    arguments = (TABLE_ARGUMENT, FILE_ARGUMENT)
    options = (
        option(
            "at-version",
            None,
            "Version that diff showed; 0 creates.",
            flag=False,
        ),
        base.REASON_OPTION,
        base.WHO_OPTION,
        base.PLATFORM_OPTION,
        base.JSON_OPTION,
    )

    def run_command(self) -> text.Output:
        """Writes the table; returns the changed fields and the new version."""
        file = load_valid_file(self)
        at_version = self.option("at-version")
        if at_version is None:
            raise exceptions.UsageError(
                "the expected version is not given",
                f"Run 'rattanpulley diff {file.kind.value} {file.path}' and"
                " give the version it shows with --at-version",
            )
        change = table_change.Change(
            kind=file.kind,
            value=file.value,
            expected_version=base.parse_version(at_version),
            who=self.operator_name(),
            what=f"apply {file.kind.value}",
            reason=self.option("reason"),
        )
        try:
            applied = self.writer().apply(change)
        except tables.TableValidationError as error:
            raise table_views.validation_error(error, file) from error
        return table_views.change_output(file.kind, applied)


class GetCommand(base.OperatorCommand):
    """Shows a stored table or writes it to a file."""

    name = "get"
    description = "Shows a table or writes it to a file for editing."
    arguments = (TABLE_ARGUMENT,)
    options = (
        option("output", "o", "File to write the table to.", flag=False),
        base.PLATFORM_OPTION,
        base.JSON_OPTION,
    )

    def run_command(self) -> text.Output:
        """Returns the rows and the version of the table."""
        kind = self.table_kind()
        stored = table_reader.read_table(self.store(), kind)
        if stored.version == 0:
            raise exceptions.NotFoundError(
                f"the {kind.value} table does not exist yet",
                f"Create it with 'rattanpulley apply {kind.value} FILE"
                " --at-version 0'",
            )
        output = table_views.table_output(stored)
        path = self.option("output")
        if path:
            write_table(path, stored)
            return text.Output(
                {"file": path, **output.data},
                [f"wrote version {stored.version} to {path}"],
            )
        return output


def load_valid_file(command: base.OperatorCommand) -> table_file.TableFile:
    """Returns the valid table file given to a command.

    Raises:
        TableFaultsError: The file is invalid.
        UsageError: The file cannot be read.
    """
    file = table_file.load(command.table_kind(), command.argument("file"))
    errors, _ = checks.check_files([file])
    if errors:
        raise table_file.diagnostics_error(errors)
    return file


def write_table(path: str, stored: table_reader.StoredTable) -> None:
    """Writes a stored table to a file, without its audit entry.

    Raises:
        UsageError: The file cannot be written.
    """
    encoded = json.dumps(tables.without_change_entry(stored.value), indent=2)
    try:
        pathlib.Path(path).write_text(encoded + "\n", encoding="utf-8")
    except OSError as error:
        raise exceptions.UsageError(
            f"cannot write {path}: {error}", "Give another file"
        ) from error
