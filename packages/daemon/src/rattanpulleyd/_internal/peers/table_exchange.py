"""Exchange of the configuration tables between daemons."""

from collections.abc import Callable
import hashlib
import json
from typing import Any
import zlib

from rattanpulley_core import interfaces
from rattanpulley_core import peers
from rattanpulley_core import tables

# Time to wait for the object API watch to deliver a table that peers announced,
# before requesting it from a peer.
STORE_GRACE_PERIOD_S = 1.0
TABLE_SOURCE = "peer"
# Limit of the object API for one value, which also bounds a table.
MAX_TABLE_BYTES = 1_048_576

TableUpdate = Callable[[tables.TableKind, int, Any, str], None]

_KINDS_BY_NAME = {kind.value: kind for kind in tables.TableKind}


class MalformedTableError(ValueError):
    """The content that a peer sent is not a table."""


class TableExchange:
    """Announces the active tables and requests those that are missing."""

    def __init__(
        self,
        *,
        clock: interfaces.Clock,
        config: tables.ConfigState,
        update_table: TableUpdate,
        feed: Callable[[peers.Event], None],
    ) -> None:
        """Initializes the exchange.

        Args:
            clock: Source of time.
            config: The active tables.
            update_table: Called with each table that a peer sent.
            feed: Passes an event to the peer protocol.
        """
        self._clock = clock
        self._config = config
        self._update_table = update_table
        self._feed = feed
        self._missing_since_s: dict[tables.TableKind, float] = {}

    def announce(self, kind: tables.TableKind) -> None:
        """Announces the active table to the peers and serves it on request."""
        active = self._config.active_table(kind)
        if active is None:
            return
        self._missing_since_s.pop(kind, None)
        text = active.text.encode()
        version = active.version
        content = zlib.compress(text)
        digest = hashlib.blake2b(text, digest_size=16).digest()
        self._feed(peers.TableAvailable(kind.value, version, content))
        self._feed(
            peers.FactPublished(
                peers.FactKind.TABLE, kind.value, version, digest, None
            )
        )

    def on_version(self, fact: peers.Fact) -> None:
        """Notes the version of a table that a peer announced."""
        kind = _KINDS_BY_NAME.get(fact.key)
        if kind is not None and fact.version > self._config.version(kind):
            now_s = self._clock.monotonic_s()
            self._missing_since_s.setdefault(kind, now_s)

    def request_missing(self, now_s: float) -> None:
        """Requests tables that the object API watch did not deliver in time."""
        for kind, since_s in list(self._missing_since_s.items()):
            if now_s - since_s < STORE_GRACE_PERIOD_S:
                continue
            self._missing_since_s[kind] = now_s
            version = self._config.version(kind)
            self._feed(peers.TableWanted(kind.value, version))

    def on_table(self, action: peers.TableReceived) -> None:
        """Activates a table that a peer sent, if it is newer.

        Raises:
            MalformedTableError: The content is not a table.
        """
        kind = _KINDS_BY_NAME.get(action.table)
        if kind is None:
            return
        try:
            value = json.loads(_decompress(action.content))
        except (ValueError, zlib.error) as error:
            raise MalformedTableError(str(error)) from error
        self._update_table(kind, action.version, value, TABLE_SOURCE)


def _decompress(content: bytes) -> bytes:
    """Returns the decompressed JSON text of a table.

    Raises:
        ValueError: The text exceeds `MAX_TABLE_BYTES`.
        zlib.error: The content is not zlib data.
    """
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(content, MAX_TABLE_BYTES)
    if decompressor.unconsumed_tail:
        raise ValueError("the table is too large")
    return text
