"""The platform's words for settings, states and outcomes, and what they mean to the decisions.

Every host of the decisions leans on this: the simulator's wire, the sockets, the model and the rig.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, cast

from .policy import interface as i

EFFECTS = {"idempotent": "safe", "deduplicated": "keyed", "at_most_once": "unsafe"}
STATES = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}
LISTS = {"Partial": "partial", "Complete": "complete", "Persisted": "persisted", "Error": "error"}
STATUSES = {
    "served": "ok",
    "server_error": "error",
    "turned_away": "full",
    "no_answer": "timeout",
    "no_connection": "unreachable",
    "connection_lost": "reset",
    "called_off": "cancelled",
    "not_sent": "unsent",
}


def settings_of(env: Mapping[str, Any]) -> i.Settings:
    """The settings of an `Init`; keys that are not known are ignored."""
    limits, rules, facts = env["PolicyLimits"], env["Invariants"], env["Specifics"]
    classes = {
        c["Name"]: i.RequestClass(
            name=c["Name"],
            aim=c["Slo"],
            deadline=c["Deadline"],
            effect=cast(i.Effect, EFFECTS[c["Effect"]]),
            group=c.get("Group") or "all",
            window=c.get("Window") or 0.0,
            late_worth=c.get("LateValue") or 0.0,
            stream=bool(c.get("Stream")),
            worth=c.get("Worth") or 1.0,
        )
        for c in env["RequestClasses"]
    }
    plans = {
        p["Name"]: i.Plan(
            name=p["Name"],
            rate=p.get("QuotaRate") or 0.0,
            burst=p.get("Burst") or 0.0,
            open_limit=p.get("AtOnce") or 0,
            ceiling_rate=p.get("HardRate") or 0.0,
            ceiling_burst=p.get("HardBurst") or 0.0,
        )
        for p in env["Packages"]
    }
    return i.Settings(
        me=env["Me"],
        instances=env["NInstances"],
        classes=classes,
        plans=plans,
        zone=env.get("Zone") or "",
        tick=env.get("Quantum") or 1.0,
        ask_discovery=env.get("Discovery") == "on_request",
        ask_within=rules.get("AskWithin") or 10000.0,
        max_attempts=limits["MaxAttempts"],
        max_retry_after=limits.get("MaxRetryAfter") or 0.0,
        retry_after=bool(limits.get("RetryAfter")),
        second_copies=bool(limits.get("SecondCopies")),
        can_cancel=bool(limits.get("MayCancel")),
        peers=bool(limits.get("PeerMessages")),
        mail_per_s=facts.get("MailPerS") or 60.0,
        settles=bool(facts.get("CostAfter")),
        largest=facts.get("Largest") or 1.0,
        cold_from=rules.get("ColdFrom") or 1.0,
        cold=rules.get("Cold") or 0.0,
        tip_after=rules.get("TipAfter") or 0.0,
        tip_over=rules.get("FallMultiple") or 2.5,
    )


def wire_of(settings: i.Settings, **limits: Any) -> dict[str, Any]:
    """The object that `settings_of` reads, for hosts that hand it out; `limits` go to `PolicyLimits`."""
    effects = {value: key for key, value in EFFECTS.items()}
    return {
        "Me": settings.me,
        "NInstances": settings.instances,
        "Zone": settings.zone,
        "Quantum": settings.tick,
        "Discovery": "on_request" if settings.ask_discovery else "pushed",
        "RequestClasses": [
            {
                "Name": c.name, "Slo": c.aim, "Deadline": c.deadline, "Effect": effects[c.effect],
                "Group": c.group, "Window": c.window, "LateValue": c.late_worth, "Stream": c.stream,
                "Worth": c.worth,
            }
            for c in settings.classes.values()
        ],
        "Packages": [
            {
                "Name": p.name, "QuotaRate": p.rate, "Burst": p.burst, "AtOnce": p.open_limit,
                "HardRate": p.ceiling_rate, "HardBurst": p.ceiling_burst,
            }
            for p in settings.plans.values()
        ],
        "PolicyLimits": {
            "MaxAttempts": settings.max_attempts, "MaxRetryAfter": settings.max_retry_after,
            "RetryAfter": settings.retry_after, "SecondCopies": settings.second_copies,
            "MayCancel": settings.can_cancel, "PeerMessages": settings.peers, **limits,
        },
        "Invariants": {
            "AskWithin": settings.ask_within, "ColdFrom": settings.cold_from, "Cold": settings.cold,
            "TipAfter": settings.tip_after, "FallMultiple": settings.tip_over,
        },
        "Specifics": {
            "MailPerS": settings.mail_per_s, "CostAfter": settings.settles, "Largest": settings.largest,
        },
    }  # fmt: skip
