"""Checks of table files without the object API."""

from collections.abc import Sequence

from rattanpulley._internal.documents import table_file
from rattanpulley_core import tables


def check_files(
    files: Sequence[table_file.TableFile],
) -> tuple[list[table_file.LocatedFault], list[table_file.LocatedFault]]:
    """Returns the faults and the remarks of table files.

    Files of both kinds are also checked against each other.
    """
    found: list[table_file.LocatedFault] = []
    remarks: list[table_file.LocatedFault] = []
    for file in files:
        own = _faults(file)
        found.extend(file.located(own))
        if not own:
            remarks.extend(file.located(tables.unknown_fields(file.value)))
    if not found:
        found.extend(_check_together(files))
    return found, remarks


def _faults(file: table_file.TableFile) -> Sequence[tables.Diagnostic]:
    try:
        if file.kind is tables.TableKind.ROUTES:
            tables.parse_routes(file.value, 0)
        else:
            tables.parse_pools(file.value, 0)
    except tables.TableValidationError as error:
        return error.diagnostics
    return ()


def _check_together(
    files: Sequence[table_file.TableFile],
) -> list[table_file.LocatedFault]:
    files_by_kind = {file.kind: file for file in files}
    if len(files_by_kind) < 2:
        return []
    routes_file = files_by_kind[tables.TableKind.ROUTES]
    pools_file = files_by_kind[tables.TableKind.POOLS]
    return routes_file.located(
        tables.check_consistency(
            tables.parse_routes(routes_file.value, 0),
            tables.parse_pools(pools_file.value, 0),
        )
    )
