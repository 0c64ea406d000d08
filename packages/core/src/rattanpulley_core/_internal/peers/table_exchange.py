"""Exchange of table contents, for daemons that cannot reach the platform.

State: the newest content of each table that this daemon has. Contents are
pulled, not pushed: at 1,400 changes per day, pushing a table of 600 targets to
every neighbour would by itself exceed the control budget of a node.
"""

import random

from rattanpulley_core._internal.peers import messages
from rattanpulley_core._internal.peers import streams


class TableExchange:
    """Serves table contents to peers and requests them from peers."""

    def __init__(
        self, stream_table: streams.StreamTable, rng: random.Random
    ) -> None:
        self._stream_table = stream_table
        self._rng = rng
        self._latest_by_table: dict[str, messages.TableAvailable] = {}

    def on_table_available(
        self, event: messages.TableAvailable, now_s: float
    ) -> list[messages.Action]:
        """Stores the content of a table if it is newer than the stored one."""
        stored = self._latest_by_table.get(event.table)
        if stored is None or stored.version < event.version:
            self._latest_by_table[event.table] = event
        return []

    def on_table_wanted(
        self, event: messages.TableWanted, now_s: float
    ) -> list[messages.Action]:
        """Requests a table from a random peer.

        A request is not retried here; the daemon repeats the event until the
        table arrives.
        """
        rows = self._stream_table.open_rows()
        if not rows:
            return []
        row = self._rng.choice(rows)
        request = messages.TableRequest(event.table, event.newer_than)
        return [messages.Send(row.stream_id, request)]

    def on_request(
        self,
        row: streams.StreamRow,
        request: messages.TableRequest,
        now_s: float,
    ) -> list[messages.Action]:
        """Replies with the stored content if it is newer than the peer's."""
        stored = self._latest_by_table.get(request.table)
        if stored is None or stored.version <= request.newer_than:
            return []
        content = messages.TableContent(
            stored.table, stored.version, stored.content
        )
        return [messages.Send(row.stream_id, content)]

    def on_content(
        self,
        row: streams.StreamRow,
        message: messages.TableContent,
        now_s: float,
    ) -> list[messages.Action]:
        """Returns the content; `ConfigState` checks its version."""
        return [
            messages.TableReceived(
                message.table, message.version, message.content
            )
        ]
