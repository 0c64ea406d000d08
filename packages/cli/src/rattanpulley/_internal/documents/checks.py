"""Validation of table files without the object API."""

from collections.abc import Sequence

from rattanpulley._internal.documents import table_file
from rattanpulley_core import tables


def check_files(
    files: Sequence[table_file.TableFile],
) -> tuple[
    list[table_file.LocatedDiagnostic], list[table_file.LocatedDiagnostic]
]:
    """Returns the errors and the warnings of table files.

    Two files of different kinds are also checked for consistency.
    """
    errors: list[table_file.LocatedDiagnostic] = []
    warnings: list[table_file.LocatedDiagnostic] = []
    for file in files:
        file_errors = _validate(file)
        errors.extend(file.locate(file_errors))
        if not file_errors:
            warnings.extend(file.locate(tables.unknown_fields(file.value)))
    if not errors:
        errors.extend(_check_consistency(files))
    return errors, warnings


def _validate(file: table_file.TableFile) -> Sequence[tables.Diagnostic]:
    try:
        if file.kind is tables.TableKind.ROUTES:
            tables.parse_routes(file.value, 0)
        else:
            tables.parse_pools(file.value, 0)
    except tables.TableValidationError as error:
        return error.diagnostics
    return ()


def _check_consistency(
    files: Sequence[table_file.TableFile],
) -> list[table_file.LocatedDiagnostic]:
    files_by_kind = {file.kind: file for file in files}
    if len(files_by_kind) < 2:
        return []
    routes_file = files_by_kind[tables.TableKind.ROUTES]
    pools_file = files_by_kind[tables.TableKind.POOLS]
    return routes_file.locate(
        tables.check_consistency(
            tables.parse_routes(routes_file.value, 0),
            tables.parse_pools(pools_file.value, 0),
        )
    )
