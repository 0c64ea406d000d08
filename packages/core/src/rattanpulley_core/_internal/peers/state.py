"""State shared by the peer protocol modules, owned by one `PeerCore`."""

import dataclasses
import random

from rattanpulley_core._internal.peers import facts
from rattanpulley_core._internal.peers import members
from rattanpulley_core._internal.peers import messages
from rattanpulley_core._internal.peers import streams

Actions = list[messages.Action]


@dataclasses.dataclass(slots=True)
class Counters:
    """Event counts since the start of the process.

    Attributes:
        bad_proofs: Handshake proofs that match none of the peer keys.
        connect_failures: Connection attempts that failed before the handshake
            completed.
        facts_new: Received facts that were stored.
        facts_known: Received facts that were already stored, or whose kind
            keeps the first value of a key.
        facts_older: Received facts with a lower version than the stored one.
        facts_contradicts: Received facts with the stored version but another
            value.
        malformed_facts: Facts whose value cannot be decoded.
        malformed_tables: Table contents that cannot be decoded.
        own_name_refused: Hellos that carry the name of this daemon.
        own_pauses: Pauses of this process.
        refutations: Reports on this daemon that it refuted.
        silent_streams: Streams that were closed because of silence.
        unexpected_messages: Messages that the state of the stream does not
            allow.
    """

    bad_proofs: int = 0
    connect_failures: int = 0
    facts_new: int = 0
    facts_known: int = 0
    facts_older: int = 0
    facts_contradicts: int = 0
    malformed_facts: int = 0
    malformed_tables: int = 0
    own_name_refused: int = 0
    own_pauses: int = 0
    refutations: int = 0
    silent_streams: int = 0
    unexpected_messages: int = 0

    def count_fact(self, result: facts.MergeResult) -> None:
        """Counts a received fact by the result of its merge."""
        name = f"facts_{result.value}"
        setattr(self, name, getattr(self, name) + 1)


class PeerState:
    """Peer protocol state of one daemon.

    Attributes:
        own: This daemon with its current incarnation.
        rng: Source of randomness.
        peer_table: The other members, by name.
        fact_table: All stored facts, including the one about this daemon.
        stream_table: Streams in any handshake state.
        counters: Event counts.
    """

    def __init__(self, own: members.Member, rng: random.Random) -> None:
        self.own = own
        self.rng = rng
        self.peer_table = members.PeerTable()
        self.fact_table = facts.FactTable()
        self.stream_table = streams.StreamTable()
        self.counters = Counters()
        self.fact_table.merge(self.own_fact())

    def own_fact(self) -> facts.Fact:
        """Returns the member fact about this daemon."""
        return facts.Fact(
            facts.FactKind.MEMBER,
            self.own.name,
            self.own.version,
            self.own.encode(),
            None,
        )
