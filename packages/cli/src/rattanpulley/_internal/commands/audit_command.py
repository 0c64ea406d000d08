"""The `audit` command."""

from cleo.helpers import option

from rattanpulley import exceptions
from rattanpulley._internal.commands import base
from rattanpulley._internal.moves import times
from rattanpulley._internal.store import audit_pruner
from rattanpulley._internal.store import table_reader
from rattanpulley._internal.views import text
from rattanpulley_core import tables


class AuditCommand(base.OperatorCommand):
    """Lists the audit entries of the tables, or deletes expired ones."""

    name = "audit"
    description = "Lists who changed what and when."
    options = (
        option("table", None, "Only this table.", flag=False),
        option("by", None, "Only changes of this operator.", flag=False),
        option(
            "since",
            None,
            "Only changes since a date or duration (4h).",
            flag=False,
        ),
        option("prune", None, "Delete entries older than 400 days."),
        base.REASON_OPTION,
        base.WHO_OPTION,
        base.PLATFORM_OPTION,
        base.JSON_OPTION,
    )

    def run_command(self) -> text.Output:
        """Returns the entries, oldest first, or the deleted ranges."""
        name = self.option("table")
        kinds = [base.parse_kind(name)] if name else list(tables.TableKind)
        if self.option("prune"):
            return self._prune(kinds)
        store = self.store()
        all_rows = table_reader.read_audit(store, kinds)
        # Read after the entries: if a prune deletes some between the two
        # reads, its record is found and they do not count as missing.
        prunes = table_reader.read_prunes(store)
        missing = table_reader.missing_versions(all_rows, prunes)
        if not name:
            all_rows = sorted(
                [*all_rows, *prunes], key=lambda row: row.entry.wall_s
            )
        rows = [row for row in all_rows if self._matches_filters(row)]
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
        blocks: list[str | text.Grid] = [_audit_grid(rows)]
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
            self.store(), services.wall_s, services.new_id, services.sleep
        )
        result = pruner.prune(
            kinds, self.operator_name(), self.option("reason")
        )
        data = {
            "prune": result.number,
            "deleted": result.deleted_count,
            "tables": tables.ranges_to_json(result.ranges_by_table),
        }
        lines = [
            f"{table}: versions {pruned.first_version} to "
            f"{pruned.last_version}, {pruned.entry_count} entries deleted"
            for table, pruned in result.ranges_by_table.items()
        ]
        return text.Output(data, lines or ["no entries to delete"])

    def _matches_filters(self, row: table_reader.AuditRow) -> bool:
        who, since = self.option("by"), self.option("since")
        if who and row.entry.who != who:
            return False
        if not since:
            return True
        now_s = self.services.wall_s()
        return row.entry.wall_s >= times.parse_time(since, now_s, sign=-1)


def _audit_grid(rows: list[table_reader.AuditRow]) -> text.Grid:
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
