"""The platform's terms for settings, states and outcomes, translated to those of the decisions.

Every host of the decisions uses this: the simulator's wire, the sockets, the simulation and the testbed.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, cast

from .policy import Effect, Plan, RequestClass, Settings

# Values of the platform's fields, and of the settings and events of the decisions.
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
    """Return the settings of an `Init`; keys that are not known are ignored."""
    limits, rules, facts = env["PolicyLimits"], env["Invariants"], env["Specifics"]
    classes = {
        c["Name"]: RequestClass(
            name=c["Name"],
            latency_objective=c["Slo"],
            deadline=c["Deadline"],
            effect=cast(Effect, EFFECTS[c["Effect"]]),
            retry_scope=c.get("Group") or "all",
            idempotency_window=c.get("Window") or 0.0,
            late_priority_weight=c.get("LateValue") or 0.0,
            streaming=bool(c.get("Stream")),
            priority_weight=c.get("Worth") or 1.0,
        )
        for c in env["RequestClasses"]
    }
    plans = {
        p["Name"]: Plan(
            name=p["Name"],
            rate=p.get("QuotaRate") or 0.0,
            burst=p.get("Burst") or 0.0,
            max_open_requests=p.get("AtOnce") or 0,
            ceiling_rate=p.get("HardRate") or 0.0,
            ceiling_burst=p.get("HardBurst") or 0.0,
        )
        for p in env["Packages"]
    }
    return Settings(
        gateway_index=env["Me"],
        gateway_count=env["NInstances"],
        classes=classes,
        plans=plans,
        zone=env.get("Zone") or "",
        tick=env.get("Quantum") or 1.0,
        poll_discovery=env.get("Discovery") == "on_request",
        discovery_poll_within=rules.get("AskWithin") or 10000.0,
        max_attempts=limits["MaxAttempts"],
        max_retry_after=limits.get("MaxRetryAfter") or 0.0,
        allow_retry_after=bool(limits.get("RetryAfter")),
        allow_hedging=bool(limits.get("SecondCopies")),
        can_cancel=bool(limits.get("MayCancel")),
        gossip_enabled=bool(limits.get("PeerMessages")),
        gossip_intake_per_s=facts.get("MailPerS") or 60.0,
        cost_known_after=bool(facts.get("CostAfter")),
        max_request_units=facts.get("Largest") or 1.0,
        slow_start_min_capacity=rules.get("ColdFrom") or 1.0,
        slow_start_duration=rules.get("Cold") or 0.0,
        overload_crash_after=rules.get("TipAfter") or 0.0,
        overload_crash_multiple=rules.get("FallMultiple") or 2.5,
    )


def init_from_settings(settings: Settings, **limits: Any) -> dict[str, Any]:  # Any: values of JSON
    """Return the object that `settings_from_init` reads; `limits` go to `PolicyLimits`."""
    effects = {value: key for key, value in EFFECTS.items()}
    return {
        "Me": settings.gateway_index,
        "NInstances": settings.gateway_count,
        "Zone": settings.zone,
        "Quantum": settings.tick,
        "Discovery": "on_request" if settings.poll_discovery else "pushed",
        "RequestClasses": [
            {
                "Name": c.name,
                "Slo": c.latency_objective,
                "Deadline": c.deadline,
                "Effect": effects[c.effect],
                "Group": c.retry_scope,
                "Window": c.idempotency_window,
                "LateValue": c.late_priority_weight,
                "Stream": c.streaming,
                "Worth": c.priority_weight,
            }
            for c in settings.classes.values()
        ],
        "Packages": [
            {
                "Name": p.name,
                "QuotaRate": p.rate,
                "Burst": p.burst,
                "AtOnce": p.max_open_requests,
                "HardRate": p.ceiling_rate,
                "HardBurst": p.ceiling_burst,
            }
            for p in settings.plans.values()
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
