"""The `watch` command."""

from cleo.helpers import option

from rattanpulley import exceptions
from rattanpulley._internal.commands import base
from rattanpulley._internal.moves import times
from rattanpulley._internal.views import text
from rattanpulley_core import interfaces
from rattanpulley_core import tables

WATCH_TIMEOUT_S = 25.0
RETRY_DELAY_S = 1.0


class WatchCommand(base.OperatorCommand):
    """Shows changes of the tables as they are made."""

    name = "watch"
    description = "Shows changes of the tables as they are made."
    options = (
        option("count", None, "End after this many changes.", flag=False),
        base.PLATFORM_OPTION,
        base.JSON_OPTION,
    )

    def run_command(self) -> text.Output:
        """Prints each change as it arrives; returns an empty output."""
        count = self.option("count")
        limit = base.parse_version(count) if count else None
        store = self.store()
        versions_by_key: dict[str, int] = {}
        stored, revision = store.list_objects("tables/")
        for item in stored:
            versions_by_key[item.key] = item.version
        shown = 0
        while limit is None or shown < limit:
            changed, revision = self._wait_for_changes(store, revision)
            for item in changed:
                # A watch may return a change more than once, so only newer
                # versions count.
                if item.version > versions_by_key.get(item.key, 0):
                    versions_by_key[item.key] = item.version
                    self._show_change(_change_output(item))
                    shown += 1
        return text.Output(None, [])

    def _show_change(self, output: text.Output) -> None:
        """Prints a change; `--json` prints one line per change."""
        if self.option("json"):
            self.write_json(output.data, indent=None)
        else:
            self.show(output)

    def _wait_for_changes(
        self, store: interfaces.ObjectStore, revision: int
    ) -> tuple[list[interfaces.StoredObject], int]:
        try:
            return store.watch("tables/", revision, WATCH_TIMEOUT_S)
        except interfaces.StoreUnavailableError as error:
            if not self.option("json"):
                message = exceptions.StoreUnavailableError(str(error))
                self.line_error(text.printable(str(message)))
            self.services.sleep(RETRY_DELAY_S)
        try:
            # The list includes the changes that the failed watch may have
            # missed.
            return store.list_objects("tables/")
        except interfaces.StoreUnavailableError:
            return [], revision


def _change_output(item: interfaces.StoredObject) -> text.Output:
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
