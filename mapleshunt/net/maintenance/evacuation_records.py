"""Reads and writes of this gateway's evacuation records, one in each group."""

from __future__ import annotations

import msgspec

from ...maintenance.evacuation import NOT_EVACUATED, EvacuationMarks
from ...replicated_state import commands
from ...replicated_state.state_machine import Record
from ...replication import wire
from ..replication.group_host import EVACUATED_PREFIX
from ..replication.requests import LocalRequests
from .proposal_session import ProposalSessions

CHECK_INTERVAL_S = 0.5  # between two reads of a record that is not confirmed


class EvacuationRecords:
    """Gives the records the value that `marks` wants. Groups may refuse, or have no leader, for any time."""

    def __init__(
        self, requests: LocalRequests, sessions: ProposalSessions, gateway: str, groups: int
    ) -> None:
        """Initialize; `tick` is called periodically."""
        self.marks = EvacuationMarks(groups)
        self._requests = requests
        self._sessions = sessions
        self._key = f"{EVACUATED_PREFIX}{gateway}"
        self._checked_at = float("-inf")  # s

    def tick(self, now: float) -> None:
        """Read the records that are not confirmed, and write those that have to change."""
        if self.marks.wanted is None or now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        for group in sorted(self.marks.unconfirmed):
            if not self._sessions.at(group).is_busy():
                self._read(group, self.marks.wanted)

    def _read(self, group: int, wanted: str) -> None:
        def record_received(response: wire.ClientResponse) -> None:
            if response.status != "done":
                self._requests.apply_redirect(group, response)
            elif not self._sessions.at(group).is_busy():
                self._record_read(group, wanted, msgspec.msgpack.decode(response.data, type=Record | None))

        leader = self._requests.leader_of(group)
        self._requests.send(group, b"", leader, record_received, f"record {self._key}")

    def _record_read(self, group: int, wanted: str, record: Record | None) -> None:
        value = record.value if record is not None else NOT_EVACUATED
        new_value = self.marks.record_read(group, wanted, value)
        if new_value is not None:
            version = record.version if record is not None else 0
            set_record = commands.SetRecord(self._key, new_value, version)
            self._sessions.at(group).propose(set_record, lambda _: None)
