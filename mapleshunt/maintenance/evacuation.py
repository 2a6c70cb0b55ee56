"""The evacuation records of one gateway, by which its replicas migrate to other gateways. Pure.

There is one record in each group. What maintenance sets in it has to be revoked, whichever gateway leads the
group by then and however often this gateway is restarted.
"""

from __future__ import annotations

from .records import GRANT_STATES, JobState, MachineJob

# Value of a record that maintenance set; records set by operators have another.
EVACUATED_FOR_MAINTENANCE = "work"
NOT_EVACUATED = ""
# States of a job in which its machine's replicas may be away.
STATES_WITH_REPLICAS_AWAY = (*GRANT_STATES, JobState.OUT, JobState.OVERDUE)


class EvacuationMarks:
    """The marks of a gateway: the value that its records should have, and where no read has confirmed it yet.

    Attributes:
        wanted: The value; None until it is known.
        unconfirmed: The groups whose record is still to be read.
    """

    def __init__(self, groups: int) -> None:
        """Initialize for so many groups, without a wanted value."""
        self._groups = groups
        self.wanted: str | None = None
        self.unconfirmed: set[int] = set()

    def evacuate(self) -> None:
        """Have the replicas migrate to other gateways."""
        self._want(EVACUATED_FOR_MAINTENANCE)

    def revoke(self) -> None:
        """Have replicas migrate back, where maintenance had them migrate away."""
        self._want(NOT_EVACUATED)

    def _want(self, value: str) -> None:
        if value != self.wanted:
            self.wanted = value
            self.unconfirmed = set(range(self._groups))

    def follow(self, job: MachineJob | None) -> None:
        """Revoke, also what an earlier process has set, if the job does not have its replicas away."""
        if job is None or job.state not in STATES_WITH_REPLICAS_AWAY:
            self.revoke()

    def record_read(self, group: int, wanted: str, value: str) -> str | None:
        """Return the value to be written instead of the one that was read, None if the record is to stay.

        A record that is to stay is confirmed; one that is written is read again.

        Args:
            group: the group.
            wanted: the value that was wanted when the read began.
            value: the value that was read.
        """
        if wanted != self.wanted:
            return None
        changed_from = NOT_EVACUATED if wanted == EVACUATED_FOR_MAINTENANCE else EVACUATED_FOR_MAINTENANCE
        if value == changed_from:
            return wanted
        self.unconfirmed.discard(group)
        return None
