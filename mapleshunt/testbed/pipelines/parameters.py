"""What a run plays."""

from __future__ import annotations

from dataclasses import dataclass

from ...policy import Plan, RequestClass, Settings

READ_CLASS, WRITE_CLASS, PLAN_NAME = "read", "write", "wide"
DEADLINE_MS = 4500.0


@dataclass(slots=True, frozen=True)
class PipelineParameters:
    """The size of a run.

    Attributes:
        memory_mb: The gateway's memory limit, MB.
        descriptors: The gateway's limit of file descriptors.
        clients: Clients that send pipelines, each on one connection at a time.
        commands_at_once: Commands in a pipeline.
        pipelines: Pipelines that each client sends, one after the answers of the other.
        body_bytes: Length of the body of each command; 0 for none.
        value_bytes: Length of each value that a backend returns.
        work_ms: Mean work of a request at a backend.
        is_work_constant: Whether each request takes that long; otherwise the work is drawn.
        sound_rate: Short requests per second beside the pipelines, each on a connection of its own.
        seed: Of all random draws.
    """

    memory_mb: int = 96
    descriptors: int = 512
    clients: int = 4
    commands_at_once: int = 32
    pipelines: int = 3
    body_bytes: int = 0
    value_bytes: int = 64000
    work_ms: float = 100.0
    is_work_constant: bool = False
    sound_rate: float = 50.0
    seed: int = 1


def gateway_settings() -> Settings:
    """Return settings whose quotas admit every request, so that nothing but memory limits the gateway."""
    read = RequestClass(READ_CLASS, latency_objective=1000.0, deadline=DEADLINE_MS)
    write = RequestClass(WRITE_CLASS, latency_objective=1000.0, deadline=DEADLINE_MS, effect="unsafe")
    plan = Plan(PLAN_NAME, rate=1e5, burst=1e5)
    return Settings(
        gateway_index=0,
        gateway_count=1,
        classes={READ_CLASS: read, WRITE_CLASS: write},
        plans={PLAN_NAME: plan},
        can_cancel=True,
    )
