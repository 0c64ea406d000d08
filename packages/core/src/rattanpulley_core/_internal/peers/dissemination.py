"""Merging, refuting and forwarding of facts and of reports on members."""

import dataclasses

from rattanpulley_core._internal.peers import facts
from rattanpulley_core._internal.peers import members
from rattanpulley_core._internal.peers import messages
from rattanpulley_core._internal.peers import state as peer_state
from rattanpulley_core._internal.peers import streams

# Time in which a suspected member can refute the suspicion before it is
# reported dead.
SUSPICION_TIMEOUT_S = 5.0
# Longer than a partition between regions, which occasionally lasts an hour, so
# that a report from the other side does not revive a dead member.
TOMBSTONE_TTL_S = 6 * 3600.0
RECONCILE_INTERVAL_S = 10.0
# With more streams than this, bulky facts are sent only on the streams that
# this daemon opened. The rings and the links between failure domains still
# reach all daemons, with half the bytes.
MAX_FULL_FLOOD_STREAMS = 6

_DEPARTED_STATES = (members.MemberState.DEAD, members.MemberState.LEFT)
Actions = peer_state.Actions


class Disseminator:
    """Merges received facts, forwards new ones and reconciles lost ones."""

    def __init__(self, state: peer_state.PeerState) -> None:
        self._state = state
        self._reconcile_due_s = 0.0

    def expire_facts(self, now_s: float) -> Actions:
        """Removes expired facts and the members that they report on."""
        for fact in self._state.fact_table.expire(now_s):
            if fact.kind is facts.FactKind.MEMBER:
                self._state.peer_table.remove(fact.key)
        return []

    def expire_suspicions(self, now_s: float) -> Actions:
        """Reports suspects as dead if they did not refute in time."""
        actions: Actions = []
        for row in self._state.peer_table:
            suspect = row.member.state is members.MemberState.SUSPECT
            if suspect and now_s - row.since_s > SUSPICION_TIMEOUT_S:
                actions += self.report_state(
                    row.member, members.MemberState.DEAD, now_s
                )
        return actions

    def reconcile(self, now_s: float) -> Actions:
        """Compares facts with a random peer, to recover lost ones."""
        rows = self._state.stream_table.open_rows()
        if now_s < self._reconcile_due_s or not rows:
            return []
        self._reconcile_due_s = now_s + RECONCILE_INTERVAL_S
        row = self._state.rng.choice(rows)
        request = messages.FactsRequest(self._state.fact_table.digests())
        return [messages.Send(row.stream_id, request)]

    def on_facts(
        self, row: streams.StreamRow, message: messages.Facts, now_s: float
    ) -> Actions:
        """Merges facts and forwards the new ones on the other streams."""
        actions: Actions = []
        new_facts: list[facts.Fact] = []
        for received in message.facts:
            fact = facts.from_wire(received, now_s)
            accepted, follow_up = self._merge_fact(fact, now_s)
            actions += follow_up
            if accepted:
                new_facts.append(fact)
        return actions + self._broadcast(
            new_facts, now_s, except_to=row.stream_id
        )

    def _merge_fact(
        self, fact: facts.Fact, now_s: float
    ) -> tuple[bool, Actions]:
        """Returns whether the fact is new, and the actions that follow."""
        about_member = fact.kind is facts.FactKind.MEMBER
        if about_member and fact.key == self._state.own.name:
            return False, self._refute(fact, now_s)
        member = None
        if about_member:
            try:
                member = members.decode_member(
                    fact.key, fact.version, fact.value
                )
            except members.MemberFormatError:
                self._state.counters.malformed_facts += 1
                return False, []
        result = self._state.fact_table.merge(fact)
        self._state.counters.count_fact(result)
        if result is not facts.MergeResult.NEW:
            return False, []
        if member is None:
            return True, [messages.FactLearned(fact)]
        self._state.peer_table.update(member, now_s)
        return True, [messages.MemberChanged(member)]

    def _refute(self, fact: facts.Fact, now_s: float) -> Actions:
        """Refutes a report on this daemon by a larger incarnation.

        The report may also stem from an earlier run of this daemon.
        """
        if fact.version <= self._state.own.version:
            return []
        self._state.counters.refutations += 1
        incarnation = fact.version // members.RANKS_PER_INCARNATION + 1
        self._state.own = dataclasses.replace(
            self._state.own, incarnation=incarnation
        )
        own_fact = self._state.own_fact()
        self._state.fact_table.merge(own_fact)
        return self._broadcast([own_fact], now_s)

    def report_state(
        self,
        member: members.Member,
        state: members.MemberState,
        now_s: float,
    ) -> Actions:
        """Publishes a new state of a member, such as suspect or dead."""
        changed = dataclasses.replace(member, state=state)
        expires_s = (
            now_s + TOMBSTONE_TTL_S if state in _DEPARTED_STATES else None
        )
        fact = facts.Fact(
            facts.FactKind.MEMBER,
            member.name,
            changed.version,
            changed.encode(),
            expires_s,
        )
        accepted, actions = self._merge_fact(fact, now_s)
        return actions + self._broadcast([fact] if accepted else [], now_s)

    def on_leaving(self, event: messages.Leaving, now_s: float) -> Actions:
        """Reports to all peers that this daemon shuts down."""
        left = dataclasses.replace(
            self._state.own, state=members.MemberState.LEFT
        )
        # Without this change the daemon would refute its own report when a peer
        # forwards it.
        self._state.own = left
        fact = dataclasses.replace(
            self._state.own_fact(), expires_s=now_s + TOMBSTONE_TTL_S
        )
        self._state.fact_table.merge(fact)
        return self._broadcast([fact], now_s)

    def on_fact_published(
        self, event: messages.FactPublished, now_s: float
    ) -> Actions:
        """Stores a fact of this daemon and broadcasts it if it is new."""
        expires_s = (
            None
            if event.time_to_live_s is None
            else now_s + event.time_to_live_s
        )
        fact = facts.Fact(
            event.kind, event.key, event.version, event.value, expires_s
        )
        result = self._state.fact_table.merge(fact)
        is_new = result is facts.MergeResult.NEW
        return self._broadcast([fact] if is_new else [], now_s)

    def on_facts_request(
        self,
        row: streams.StreamRow,
        request: messages.FactsRequest,
        now_s: float,
    ) -> Actions:
        """Sends the facts of the buckets whose digests differ."""
        differing = self._state.fact_table.facts_in_differing_buckets(
            request.digests
        )
        return [
            messages.Send(row.stream_id, self._facts_message(chunk, now_s))
            for chunk in facts.split_for_messages(differing)
        ]

    def _broadcast(
        self,
        new_facts: list[facts.Fact],
        now_s: float,
        except_to: int | None = None,
    ) -> Actions:
        """Sends new facts to the peers, bulky ones on fewer streams.

        Args:
            new_facts: Facts to send.
            now_s: Monotonic time in seconds.
            except_to: Stream that the facts came from, or None.
        """
        rows = [
            row
            for row in self._state.stream_table.open_rows()
            if row.stream_id != except_to
        ]
        bulky_kinds = facts.BULKY_KINDS
        bulky = [fact for fact in new_facts if fact.kind in bulky_kinds]
        others = [fact for fact in new_facts if fact.kind not in bulky_kinds]
        actions = self._send_to_streams(others, rows, now_s)
        if len(rows) > MAX_FULL_FLOOD_STREAMS:
            rows = [row for row in rows if row.address is not None]
        return actions + self._send_to_streams(bulky, rows, now_s)

    def _send_to_streams(
        self,
        facts_to_send: list[facts.Fact],
        rows: list[streams.StreamRow],
        now_s: float,
    ) -> Actions:
        return [
            messages.Send(row.stream_id, self._facts_message(chunk, now_s))
            for chunk in facts.split_for_messages(facts_to_send)
            for row in rows
        ]

    def _facts_message(
        self, chunk: list[facts.Fact], now_s: float
    ) -> messages.Facts:
        return messages.Facts(
            tuple(facts.to_wire(fact, now_s) for fact in chunk)
        )

    def on_heartbeat(
        self,
        row: streams.StreamRow,
        heartbeat: messages.Heartbeat,
        now_s: float,
    ) -> Actions:
        """Sends the report on the peer if it is stored as not alive.

        The peer can then refute the report. Nothing is sent if the heartbeat
        carries a newer incarnation than the report.
        """
        stored = self._state.fact_table.get(
            facts.FactKind.MEMBER, row.peer_name
        )
        if stored is None:
            return []
        incarnation, rank = divmod(
            stored.version, members.RANKS_PER_INCARNATION
        )
        if rank == members.MemberState.ALIVE:
            return []
        if incarnation < heartbeat.incarnation:
            return []
        return [
            messages.Send(row.stream_id, self._facts_message([stored], now_s))
        ]
