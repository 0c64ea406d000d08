"""Command watch."""

from cleo.helpers import option

from rattanpulley import exceptions
from rattanpulley._internal.commands import base
from rattanpulley._internal.moves import times
from rattanpulley._internal.views import text
from rattanpulley_core import interfaces
from rattanpulley_core import tables

POLL_S = 25.0
RETRY_S = 1.0


class WatchCommand(base.OperatorCommand):
    """Shows changes of the tables as they are made."""

    name = "watch"
    description = "Shows changes of the tables as they are made."
    options = (
        option("count", None, "End after this many changes.", flag=False),
        base.PLATFORM_OPTION,
        base.JSON_OPTION,
    )

    def make_output(self) -> text.Output:
        """Shows each change; returns the number of changes at the end."""
        wanted = self.option("count")
        limit = base.parse_version(wanted) if wanted else None
        store = self.store()
        versions_by_key: dict[str, int] = {}
        present, revision = store.list_objects("tables/")
        for item in present:
            versions_by_key[item.key] = item.version
        shown = 0
        while limit is None or shown < limit:
            changed, revision = self._wait(store, revision)
            for item in changed:
                # A watch may repeat, so the versions tell what is new.
                if item.version > versions_by_key.get(item.key, 0):
                    versions_by_key[item.key] = item.version
                    self._show_change(_describe(item))
                    shown += 1
        return text.Output(None, [])

    def _show_change(self, output: text.Output) -> None:
        """Shows a change; with --json on one line, for programs that follow."""
        if self.option("json"):
            self.write_json(output.data, indent=None)
        else:
            self.show(output)

    def _wait(
        self, store: interfaces.ObjectStore, revision: int
    ) -> tuple[list[interfaces.StoredObject], int]:
        try:
            return store.watch("tables/", revision, POLL_S)
        except interfaces.StoreUnavailableError as error:
            if not self.option("json"):
                message = exceptions.StoreUnavailableError(str(error))
                self.line_error(text.printable(str(message)))
            self.services.pause(RETRY_S)
        try:
            # After an error the list tells what the watch may have missed.
            return store.list_objects("tables/")
        except interfaces.StoreUnavailableError:
            return [], revision


def _describe(item: interfaces.StoredObject) -> text.Output:
    entry = tables.parse_change_entry(item.value)
    data = {
        "key": item.key,
        "version": item.version,
        "change": entry.to_json() if entry else None,
    }
    if entry is None:
        return text.Output(data, [f"{item.key} version {item.version}"])
    line = (
        f"{times.format_time(entry.wall_s)} {item.key} version {item.version}"
        f" by {entry.who}: {entry.what} {entry.reason}".rstrip()
    )
    return text.Output(
        data, [text.printable(line), text.change_grid(entry.row_changes())]
    )
