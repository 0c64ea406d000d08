"""Table contents from peers, for a daemon that cannot reach the platform.

State: the newest content of each table that this daemon holds. Contents are
asked for and not pushed: at 1,400 changes a day, pushing a table of 600 targets
to every neighbour would alone exceed the control budget of a node.
"""

import random

from rattanpulley_core._internal.peers import messages
from rattanpulley_core._internal.peers import streams


class TableExchange:
    """Serves table contents to peers and asks for them."""

    def __init__(
        self, stream_table: streams.StreamTable, rng: random.Random
    ) -> None:
        self._stream_table = stream_table
        self._rng = rng
        self._held_by_table: dict[str, messages.TableAvailable] = {}

    def on_held(
        self, event: messages.TableAvailable, now_s: float
    ) -> list[messages.Action]:
        """Keeps the newest content of a table."""
        held = self._held_by_table.get(event.table)
        if held is None or held.version < event.version:
            self._held_by_table[event.table] = event
        return []

    def on_wanted(
        self, event: messages.TableWanted, now_s: float
    ) -> list[messages.Action]:
        """Asks one peer at random; the daemon repeats what stays open."""
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
        """Answers with the content held, if it is newer than the peer's."""
        held = self._held_by_table.get(request.table)
        if held is None or held.version <= request.newer_than:
            return []
        content = messages.TableContent(held.table, held.version, held.content)
        return [messages.Send(row.stream_id, content)]

    def on_content(
        self,
        row: streams.StreamRow,
        message: messages.TableContent,
        now_s: float,
    ) -> list[messages.Action]:
        """Hands the content on; the version check is the tables part's."""
        return [
            messages.TableReceived(
                message.table, message.version, message.content
            )
        ]
