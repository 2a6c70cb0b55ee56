"""The operators' rules, checked from what crossed the wire. Times are in ms."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from ..fleet.backend import Backend, BackendRequest
from ..fleet.clients import ClientRequest, ClientResult
from ..fleet.discovery import EndpointEntry
from .day import CLASSES, ScenarioRun
from .records import ClientAttempt, UpstreamAttempt

# These names are keys of the score's JSON, which operators read.
RULE_NAMES = ("lost", "doubled", "two_out", "drain", "pushed_over", "ceiling")
NEVER_RAN = ("full", "unreachable", "unsent")  # statuses that prove an attempt never ran
MAX_DESCRIPTIONS = 20


class RuleChecker:
    """Observes each attempt, effect and result, and counts the violations of each rule."""

    def __init__(self, day: ScenarioRun, settings: Any) -> None:
        """Args: `settings` are a gateway's, of whatever checkout is played, hence untyped."""
        self.scenario_run = day
        self.settings = settings
        self.violations: Counter[str] = Counter({name: 0 for name in RULE_NAMES})
        self.client_attempts: list[ClientAttempt] = []
        self.descriptions: list[str] = []  # of the first violations
        # By gateway and server: the entry that the gateway was notified of, and when.
        self.notified_endpoints: dict[int, dict[int, tuple[float, EndpointEntry]]] = {}
        self.effects_seen: set[int] = set()  # ids of idempotency keys whose request took effect
        self.classes = [CLASSES[cls.name] for cls in day.parameters.classes]

    def _violation(self, rule: str, description: str) -> None:
        self.violations[rule] += 1
        if len(self.descriptions) < MAX_DESCRIPTIONS:
            self.descriptions.append(f"{rule}: {description}")

    # Discovery

    def endpoint_list_delivered(self, gateway: int, entries: Iterable[EndpointEntry], now: float) -> None:
        """Record that a gateway got a complete list in place of what it knew."""
        self.notified_endpoints[gateway] = {entry.endpoint: (now, entry) for entry in entries}

    def endpoint_notified(self, gateway: int, entry: EndpointEntry, now: float) -> None:
        """Record that a gateway got a change; a repeated one does not move the time of the first."""
        known = self.notified_endpoints.setdefault(gateway, {})
        before = known.get(entry.endpoint)
        if before is None or before[1].state != entry.state or before[1].started_at != entry.started_at:
            known[entry.endpoint] = (now, entry)

    def knows_start(self, gateway: int, server: int, started_at: float) -> bool:
        """Return whether the gateway was notified of this start of the server."""
        known = self.notified_endpoints.get(gateway, {}).get(server)
        return known is not None and known[1].started_at == started_at

    # Requests

    def attempt_sent(self, one: ClientAttempt, attempt: UpstreamAttempt, gateway: int, at: float) -> None:
        """Check an attempt that leaves its gateway; `one.attempts` are those before it."""
        self._check_drain(one, attempt, gateway, at)
        if not self.settings.allow_hedging and any(a.status is None for a in one.attempts):
            self._violation("two_out", f"request {one.request_id}")
        cls = self.classes[one.request.class_index]
        effect = cls.get("effect", "safe")
        may_have_run = [a for a in one.attempts if a.status not in NEVER_RAN]
        if may_have_run and effect == "unsafe":
            self._violation(
                "doubled", f"request {one.request_id} of a class that is never repeated was sent again"
            )
        elif may_have_run and effect == "keyed":
            other_cell = any(a.cell != attempt.cell for a in may_have_run) and cls["retry_scope"] == "cell"
            if other_cell or at > may_have_run[0].sent_at + cls["idempotency_window"]:
                self._violation("doubled", f"request {one.request_id} sent again outside its cell or window")

    def _check_drain(self, one: ClientAttempt, attempt: UpstreamAttempt, gateway: int, at: float) -> None:
        """Check that the server was listed as ready, or drains for less than the grace period."""
        known = self.notified_endpoints.get(gateway, {}).get(attempt.endpoint)
        if known is None:
            state = "not listed"
        elif known[1].state != "ready" and at > known[0] + self.scenario_run.rules.drain_grace_ms:
            state = f"{known[1].state} since {known[0]:.0f}"
        else:
            return
        sender = f"request {one.request_id} sent at {at:.0f} by gateway {gateway}"
        self._violation("drain", f"{sender} to server {attempt.endpoint}: {state}")

    def sent_after_end(self, request_id: int) -> None:
        """Record an attempt for a request that has its final result."""
        self._violation("lost", f"request {request_id} sent after its final answer")

    def effect_ran(self, request: BackendRequest) -> None:
        """Record that an attempt took effect. Requests without an idempotency key have none to double."""
        key = request.idempotency_key
        if key is None:
            return
        if id(key) in self.effects_seen:
            assert isinstance(key, ClientRequest)
            self._violation("doubled", f"a sale of customer {key.customer} closed twice")
        self.effects_seen.add(id(key))

    def client_answered(self, one: ClientAttempt, result: ClientResult, at: float) -> None:
        """Check a final result as it leaves its gateway."""
        cls = self.classes[one.request.class_index]
        may_have_run = any(a.status not in NEVER_RAN for a in one.attempts)
        if result == "refused" and may_have_run and cls.get("effect", "safe") != "safe":
            self._violation("doubled", f"request {one.request_id} refused though it may have run")
        if at > one.sent_at + one.timeout_ms + self.scenario_run.rules.answer_slack_ms:
            late = at - one.sent_at - one.timeout_ms
            self._violation("lost", f"request {one.request_id} answered {late:.0f} ms late")

    def answered_again(self, request_id: int, result: ClientResult) -> None:
        """Record a second result; the wire drops it, only a second success would reach a client."""
        if result == "served":
            self._violation("lost", f"request {request_id} answered twice")

    def request_lost(self, one: ClientAttempt) -> None:
        """Record an attempt of a client that got no result."""
        self._violation("lost", f"request {one.request_id} got no answer")

    def ceiling_exceeded(self, one: ClientAttempt, units: float) -> None:
        """Record an attempt beyond its customer's ceiling by so many units."""
        self._violation(
            "ceiling", f"request {one.request_id} passed its customer's ceiling by {units:.1f} units"
        )

    def backend_collapsed(self, backend: Backend) -> None:
        """Record a backend that collapsed while it warmed up, if its senders could have known."""
        if backend.collapse_was_avoidable:
            self._violation("pushed_over", f"server {backend.number} fell over while cold")

    def finish(self) -> None:
        """Record what is still open at the end of the day as lost."""
        for one in self.client_attempts:
            if one.accepted and one.result is None and not one.client_notified:
                self.request_lost(one)
