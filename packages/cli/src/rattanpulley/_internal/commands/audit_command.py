"""Command audit."""

from cleo.helpers import option

from rattanpulley import exceptions
from rattanpulley._internal.commands import base
from rattanpulley._internal.moves import times
from rattanpulley._internal.store import audit_pruner
from rattanpulley._internal.store import table_reader
from rattanpulley._internal.views import text
from rattanpulley_core import tables


class AuditCommand(base.OperatorCommand):
    """Lists the changes of the tables, or deletes old entries."""

    name = "audit"
    description = "Lists who changed what and when."
    options = (
        option("table", None, "Only this table.", flag=False),
        option("by", None, "Only changes of this operator.", flag=False),
        option(
            "since", None, "Only changes since a date or span (4h).", flag=False
        ),
        option("prune", None, "Delete entries older than 400 days."),
        base.REASON_OPTION,
        base.WHO_OPTION,
        base.PLATFORM_OPTION,
        base.JSON_OPTION,
    )

    def make_output(self) -> text.Output:
        """Returns the entries, oldest first, or what was deleted."""
        name = self.option("table")
        kinds = [base.parse_kind(name)] if name else list(tables.TableKind)
        if self.option("prune"):
            return self._prune(kinds)
        store = self.store()
        everything = table_reader.read_audit(store, kinds)
        # Read last: entries that are deleted in between are in a record.
        prunes = table_reader.read_prunes(store)
        missing = table_reader.missing_versions(everything, prunes)
        if not name:
            everything = sorted(
                [*everything, *prunes], key=lambda row: row.entry.wall_s
            )
        rows = [row for row in everything if self._is_wanted(row)]
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

    def _prune(self, kinds: list[tables.TableKind]) -> text.Output:
        if self.option("by") or self.option("since"):
            raise exceptions.UsageError(
                "--prune takes neither --by nor --since",
                "Give --prune with --table or alone",
            )
        services = self.services
        pruner = audit_pruner.AuditPruner(
            self.store(), services.wall_s, services.new_id, services.pause
        )
        pruned = pruner.prune(kinds, self.who(), self.option("reason"))
        data = {
            "prune": pruned.number,
            "deleted": pruned.deleted_count,
            "tables": tables.ranges_to_json(pruned.ranges_by_table),
        }
        lines = [
            f"{table}: versions {span.first_version} to {span.last_version}, "
            f"{span.entry_count} entries deleted"
            for table, span in pruned.ranges_by_table.items()
        ]
        return text.Output(data, lines or ["no entries to delete"])

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
