"""Command audit."""

from cleo.helpers import option

from rattanpulley._internal.commands import base
from rattanpulley._internal.moves import times
from rattanpulley._internal.store import table_reader
from rattanpulley._internal.views import text
from rattanpulley_core import tables


class AuditCommand(base.OperatorCommand):
    """Lists the changes of the tables."""

    name = "audit"
    description = "Lists who changed what and when."
    options = (
        option("table", None, "Only this table.", flag=False),
        option("by", None, "Only changes of this operator.", flag=False),
        option(
            "since", None, "Only changes since a date or span (4h).", flag=False
        ),
        base.PLATFORM_OPTION,
        base.JSON_OPTION,
    )

    def make_output(self) -> text.Output:
        """Returns the entries, oldest first."""
        name = self.option("table")
        kinds = [base.parse_kind(name)] if name else list(tables.TableKind)
        everything = table_reader.read_audit(self.store(), kinds)
        rows = [row for row in everything if self._is_wanted(row)]
        missing = table_reader.missing_versions(everything)
        data = {
            "entries": [
                {
                    "table": row.table,
                    "version": row.version,
                    **row.entry.to_json(),
                }
                for row in rows
            ],
            "missing_versions": missing,
        }
        blocks: list[str | text.Grid] = [_grid(rows)]
        blocks.extend(
            f"{table}: no entry for versions {', '.join(map(str, versions))}"
            for table, versions in missing.items()
        )
        return text.Output(data, blocks)

    def _is_wanted(self, row: table_reader.AuditRow) -> bool:
        who, since = self.option("by"), self.option("since")
        if who and row.entry.who != who:
            return False
        if not since:
            return True
        now_s = self.services.wall_s()
        return row.entry.wall_s >= times.parse_time(since, now_s, sign=-1)


def _grid(rows: list[table_reader.AuditRow]) -> text.Grid:
    return text.Grid(
        ("when", "who", "table", "version", "what", "fields", "reason", "id"),
        [
            (
                times.format_time(row.entry.wall_s),
                text.cell(row.entry.who),
                row.table,
                str(row.version),
                text.cell(row.entry.what),
                text.cell(" ".join(c.path for c in row.entry.row_changes())),
                text.cell(row.entry.reason or None),
                text.cell(row.entry.change_id),
            )
            for row in rows
        ],
    )
