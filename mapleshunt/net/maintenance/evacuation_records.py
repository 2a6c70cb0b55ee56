"""This gateway's evacuation records, by which its replicas migrate to other gateways, one in each group."""

from __future__ import annotations

import msgspec

from ...replicated_state import commands
from ...replicated_state.state_machine import Record
from ...replication import wire
from ..replication.group_host import EVACUATED_PREFIX
from ..replication.requests import LocalRequests
from .proposal_session import ProposalSessions

CHECK_INTERVAL_S = 0.5  # between two reads of a record that is not confirmed
# Value of a record that maintenance set; records set by operators have another.
EVACUATED_FOR_MAINTENANCE = "work"
NOT_EVACUATED = ""


class EvacuationRecords:
    """Sets or revokes this gateway's records, in each group until a read confirms it.

    Groups may have no leader or another one meanwhile, and refuse. A value that operators set stays.
    """

    def __init__(
        self, requests: LocalRequests, sessions: ProposalSessions, gateway: str, groups: int
    ) -> None:
        """Initialize without a wanted value; `tick` is called periodically."""
        self._requests = requests
        self._sessions = sessions
        self._groups = groups
        self._key = f"{EVACUATED_PREFIX}{gateway}"
        self._wanted: str | None = None
        self._unconfirmed: set[int] = set()
        self._checked_at = float("-inf")  # s

    def set(self) -> None:
        """Have the replicas migrate to other gateways."""
        self._want(EVACUATED_FOR_MAINTENANCE)

    def revoke(self) -> None:
        """Have replicas migrate back, where maintenance had them migrate away."""
        self._want(NOT_EVACUATED)

    def _want(self, value: str) -> None:
        if value != self._wanted:
            self._wanted = value
            self._unconfirmed = set(range(self._groups))
            self._checked_at = float("-inf")

    def tick(self, now: float) -> None:
        """Read the records that are not confirmed, to change those that have the other value."""
        if self._wanted is None or now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        for group in sorted(self._unconfirmed):
            if not self._sessions.at(group).is_busy():
                self._check(group, self._wanted)

    def _check(self, group: int, wanted: str) -> None:
        def record_received(response: wire.ClientResponse) -> None:
            if response.status != "done":
                self._requests.apply_redirect(group, response)
            elif wanted == self._wanted:
                self._change(group, wanted, msgspec.msgpack.decode(response.data, type=Record | None))

        leader = self._requests.leader_of(group)
        self._requests.send(group, b"", leader, record_received, f"record {self._key}")

    def _change(self, group: int, wanted: str, record: Record | None) -> None:
        """Change a record to the wanted value, or confirm it if it has no value to be changed."""
        value = record.value if record is not None else NOT_EVACUATED
        changed_from = NOT_EVACUATED if wanted == EVACUATED_FOR_MAINTENANCE else EVACUATED_FOR_MAINTENANCE
        if value != changed_from:
            self._unconfirmed.discard(group)
        elif not self._sessions.at(group).is_busy():
            version = record.version if record is not None else 0
            self._sessions.at(group).propose(commands.SetRecord(self._key, wanted, version), lambda _: None)
