"""Translation of the platform's names for settings, states and outcomes to those of the policy.

Every host of the policy uses it: the simulator's adapter, the server, the simulation and the testbed.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, cast

from .policy import Effect, Plan, RequestClass, Settings

# Values of the platform's fields, and the values of the policy's settings and events for them.
EFFECTS = {"idempotent": "safe", "deduplicated": "keyed", "at_most_once": "unsafe"}
ENDPOINT_STATES = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}
UPDATE_KINDS = {"Partial": "partial", "Complete": "complete", "Persisted": "persisted", "Error": "error"}
ATTEMPT_STATUSES = {
    "served": "ok",
    "server_error": "error",
    "turned_away": "full",
    "no_answer": "timeout",
    "no_connection": "unreachable",
    "connection_lost": "reset",
    "called_off": "cancelled",
    "not_sent": "unsent",
}


def settings_from_init(env: Mapping[str, Any]) -> Settings:  # Any: an object of JSON
    """Return the settings that an `Init` message carries; unknown keys are ignored."""
    limits, invariants, specifics = env["PolicyLimits"], env["Invariants"], env["Specifics"]
    classes = {
        class_row["Name"]: RequestClass(
            name=class_row["Name"],
            latency_objective=class_row["Slo"],
            deadline=class_row["Deadline"],
            effect=cast(Effect, EFFECTS[class_row["Effect"]]),
            retry_scope=class_row.get("Group") or "all",
            idempotency_window=class_row.get("Window") or 0.0,
            late_priority_weight=class_row.get("LateValue") or 0.0,
            streaming=bool(class_row.get("Stream")),
            priority_weight=class_row.get("Worth") or 1.0,
        )
        for class_row in env["RequestClasses"]
    }
    plans = {
        plan_row["Name"]: Plan(
            name=plan_row["Name"],
            rate=plan_row.get("QuotaRate") or 0.0,
            burst=plan_row.get("Burst") or 0.0,
            max_open_requests=plan_row.get("AtOnce") or 0,
            ceiling_rate=plan_row.get("HardRate") or 0.0,
            ceiling_burst=plan_row.get("HardBurst") or 0.0,
        )
        for plan_row in env["Packages"]
    }
    return Settings(
        gateway_index=env["Me"],
        gateway_count=env["NInstances"],
        classes=classes,
        plans=plans,
        zone=env.get("Zone") or "",
        tick=env.get("Quantum") or 1.0,
        poll_discovery=env.get("Discovery") == "on_request",
        discovery_poll_within=invariants.get("AskWithin") or 10000.0,
        max_attempts=limits["MaxAttempts"],
        max_retry_after=limits.get("MaxRetryAfter") or 0.0,
        allow_retry_after=bool(limits.get("RetryAfter")),
        allow_hedging=bool(limits.get("SecondCopies")),
        can_cancel=bool(limits.get("MayCancel")),
        gossip_enabled=bool(limits.get("PeerMessages")),
        gossip_intake_per_s=specifics.get("MailPerS") or 60.0,
        cost_known_after=bool(specifics.get("CostAfter")),
        max_request_units=specifics.get("Largest") or 1.0,
        slow_start_min_capacity=invariants.get("ColdFrom") or 1.0,
        slow_start_duration=invariants.get("Cold") or 0.0,
        overload_crash_after=invariants.get("TipAfter") or 0.0,
        overload_crash_multiple=invariants.get("FallMultiple") or 2.5,
    )


def init_from_settings(settings: Settings, **limits: Any) -> dict[str, Any]:  # Any: values of JSON
    """Return the object that `settings_from_init` reads; `limits` are added to its `PolicyLimits`."""
    effects = {effect: name for name, effect in EFFECTS.items()}
    return {
        "Me": settings.gateway_index,
        "NInstances": settings.gateway_count,
        "Zone": settings.zone,
        "Quantum": settings.tick,
        "Discovery": "on_request" if settings.poll_discovery else "pushed",
        "RequestClasses": [
            {
                "Name": request_class.name,
                "Slo": request_class.latency_objective,
                "Deadline": request_class.deadline,
                "Effect": effects[request_class.effect],
                "Group": request_class.retry_scope,
                "Window": request_class.idempotency_window,
                "LateValue": request_class.late_priority_weight,
                "Stream": request_class.streaming,
                "Worth": request_class.priority_weight,
            }
            for request_class in settings.classes.values()
        ],
        "Packages": [
            {
                "Name": plan.name,
                "QuotaRate": plan.rate,
                "Burst": plan.burst,
                "AtOnce": plan.max_open_requests,
                "HardRate": plan.ceiling_rate,
                "HardBurst": plan.ceiling_burst,
            }
            for plan in settings.plans.values()
        ],
        "PolicyLimits": {
            "MaxAttempts": settings.max_attempts,
            "MaxRetryAfter": settings.max_retry_after,
            "RetryAfter": settings.allow_retry_after,
            "SecondCopies": settings.allow_hedging,
            "MayCancel": settings.can_cancel,
            "PeerMessages": settings.gossip_enabled,
            **limits,
        },
        "Invariants": {
            "AskWithin": settings.discovery_poll_within,
            "ColdFrom": settings.slow_start_min_capacity,
            "Cold": settings.slow_start_duration,
            "TipAfter": settings.overload_crash_after,
            "FallMultiple": settings.overload_crash_multiple,
        },
        "Specifics": {
            "MailPerS": settings.gossip_intake_per_s,
            "CostAfter": settings.cost_known_after,
            "Largest": settings.max_request_units,
        },
    }
