"""The operators' rules, checked against the traffic on the wire. Times are in ms."""

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

    def __init__(self, scenario_run: ScenarioRun, settings: Any) -> None:
        """Args: `settings` are a gateway's; they may be another checkout's and are untyped."""
        self.scenario_run = scenario_run
        self.settings = settings
        self.violations: Counter[str] = Counter({name: 0 for name in RULE_NAMES})
        self.client_attempts: list[ClientAttempt] = []
        self.descriptions: list[str] = []  # of the first violations
        # By gateway and endpoint: when the gateway was notified of its entry, and the entry.
        self.notified_endpoints: dict[int, dict[int, tuple[float, EndpointEntry]]] = {}
        self.effects_seen: set[int] = set()  # ids of the idempotency keys of requests that took effect
        self.classes = [CLASSES[request_class.name] for request_class in scenario_run.parameters.classes]

    def _violation(self, rule: str, description: str) -> None:
        self.violations[rule] += 1
        if len(self.descriptions) < MAX_DESCRIPTIONS:
            self.descriptions.append(f"{rule}: {description}")

    # Discovery

    def endpoint_list_delivered(self, gateway: int, entries: Iterable[EndpointEntry], now: float) -> None:
        """Record that a gateway got a complete list, which replaces its earlier one."""
        self.notified_endpoints[gateway] = {entry.endpoint: (now, entry) for entry in entries}

    def endpoint_notified(self, gateway: int, entry: EndpointEntry, now: float) -> None:
        """Record that a gateway got a change; a repeated one does not change the time of the first."""
        known = self.notified_endpoints.setdefault(gateway, {})
        previous = known.get(entry.endpoint)
        if previous is None or previous[1].state != entry.state or previous[1].started_at != entry.started_at:
            known[entry.endpoint] = (now, entry)

    def knows_start(self, gateway: int, endpoint: int, started_at: float) -> bool:
        """Return whether the gateway was notified of this start of the endpoint."""
        known = self.notified_endpoints.get(gateway, {}).get(endpoint)
        return known is not None and known[1].started_at == started_at

    # Requests

    def attempt_sent(
        self, client_attempt: ClientAttempt, attempt: UpstreamAttempt, gateway: int, at: float
    ) -> None:
        """Check an attempt that leaves its gateway; `client_attempt.attempts` are those before it."""
        self._check_drain(client_attempt, attempt, gateway, at)
        if not self.settings.allow_hedging and any(
            earlier.status is None for earlier in client_attempt.attempts
        ):
            self._violation("two_out", f"request {client_attempt.request_id}")
        request_class = self.classes[client_attempt.request.class_index]
        effect = request_class.get("effect", "safe")
        may_have_run = [earlier for earlier in client_attempt.attempts if earlier.status not in NEVER_RAN]
        if may_have_run and effect == "unsafe":
            self._violation(
                "doubled",
                f"request {client_attempt.request_id} of an unsafe class was retried after it may have run",
            )
        elif may_have_run and effect == "keyed":
            other_cell = (
                any(earlier.cell != attempt.cell for earlier in may_have_run)
                and request_class["retry_scope"] == "cell"
            )
            if other_cell or at > may_have_run[0].sent_at + request_class["idempotency_window"]:
                self._violation(
                    "doubled",
                    f"request {client_attempt.request_id} was retried outside its cell or idempotency window",
                )

    def _check_drain(
        self, client_attempt: ClientAttempt, attempt: UpstreamAttempt, gateway: int, at: float
    ) -> None:
        """Check that the endpoint is listed as ready, or left that state within the grace period."""
        known = self.notified_endpoints.get(gateway, {}).get(attempt.endpoint)
        if known is None:
            state = "not listed"
        elif known[1].state != "ready" and at > known[0] + self.scenario_run.rules.drain_grace_ms:
            state = f"{known[1].state} since {known[0]:.0f}"
        else:
            return
        sender = f"request {client_attempt.request_id} sent at {at:.0f} by gateway {gateway}"
        self._violation("drain", f"{sender} to endpoint {attempt.endpoint}: {state}")

    def sent_after_end(self, request_id: int) -> None:
        """Record an attempt for a request that already has its result."""
        self._violation("lost", f"an attempt for request {request_id} was sent after its result")

    def effect_ran(self, request: BackendRequest) -> None:
        """Record that an attempt took effect; check that none did before with its idempotency key."""
        key = request.idempotency_key
        if key is None:
            return
        if id(key) in self.effects_seen:
            assert isinstance(key, ClientRequest)
            attempts = [attempt for attempt in self.client_attempts if attempt.request is key]
            history = "; ".join(map(_history_of, attempts))
            self._violation("doubled", f"a request of customer {key.customer} took effect twice: {history}")
        self.effects_seen.add(id(key))

    def client_answered(self, client_attempt: ClientAttempt, result: ClientResult, at: float) -> None:
        """Check a result as it leaves its gateway."""
        request_class = self.classes[client_attempt.request.class_index]
        may_have_run = any(attempt.status not in NEVER_RAN for attempt in client_attempt.attempts)
        if result == "refused" and may_have_run and request_class.get("effect", "safe") != "safe":
            self._violation(
                "doubled", f"request {client_attempt.request_id} was rejected although it may have run"
            )
        if at > client_attempt.sent_at + client_attempt.timeout_ms + self.scenario_run.rules.answer_slack_ms:
            delay_ms = at - client_attempt.sent_at - client_attempt.timeout_ms
            self._violation(
                "lost",
                f"request {client_attempt.request_id} got its result {delay_ms:.0f} ms after its timeout",
            )

    def answered_again(self, request_id: int, result: ClientResult) -> None:
        """Record a second result. Only a second success counts: no other would reach a client."""
        if result == "served":
            self._violation("lost", f"request {request_id} got two results")

    def request_lost(self, client_attempt: ClientAttempt) -> None:
        """Record a client's attempt that got no result."""
        self._violation("lost", f"request {client_attempt.request_id} got no result")

    def ceiling_exceeded(self, client_attempt: ClientAttempt, units: float) -> None:
        """Record an attempt that exceeds its customer's ceiling by `units`."""
        self._violation(
            "ceiling",
            f"request {client_attempt.request_id} exceeded its customer's ceiling by {units:.1f} units",
        )

    def backend_collapsed(self, backend: Backend) -> None:
        """Record a backend that collapsed during warm-up, if gateways could have avoided it."""
        if backend.collapse_was_avoidable:
            self._violation("pushed_over", f"backend {backend.number} collapsed under load while warming up")

    def finish(self) -> None:
        """Record the requests without a result at the end of the run as lost."""
        for client_attempt in self.client_attempts:
            if (
                client_attempt.accepted
                and client_attempt.result is None
                and not client_attempt.client_notified
            ):
                self.request_lost(client_attempt)


def _history_of(client_attempt: ClientAttempt) -> str:
    """Return an attempt of a client, with those of its gateway, in one line."""
    upstream = ", ".join(
        f"endpoint {attempt.endpoint} (cell {attempt.cell}) at {attempt.sent_at:.0f} {attempt.status}"
        for attempt in client_attempt.attempts
    )
    return (
        f"attempt {client_attempt.number} (request {client_attempt.request_id}) sent at "
        f"{client_attempt.sent_at:.0f} to gateway {client_attempt.gateway}, {client_attempt.result}: "
        f"{upstream or 'not forwarded'}"
    )
