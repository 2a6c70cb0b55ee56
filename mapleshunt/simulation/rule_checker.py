"""The rules, checked from what crossed the wire."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from ..fleet.backend import Backend, BackendRequest
from ..fleet.discovery import EndpointEntry
from .day import CLASSES, Day
from .records import ClientAttempt, ClientResult, UpstreamAttempt

RULE_NAMES = ("lost", "doubled", "two_out", "drain", "pushed_over", "ceiling")
NEVER_RAN = ("full", "unreachable", "unsent")  # outcomes that prove an attempt never ran


class RuleChecker:
    """Sees each send, run and answer, and counts the breaks of each rule."""

    def __init__(self, day: Day, settings: Any) -> None:
        self.day, self.settings = day, settings
        self.violations: Counter[str] = Counter({name: 0 for name in RULE_NAMES})
        self.client_attempts: list[ClientAttempt] = []
        self.descriptions: list[str] = []  # the first breaks, in words
        self.notified_endpoints: dict[
            int, dict[int, tuple[float, EndpointEntry]]
        ] = {}  # what each gateway was told, and when
        self.effects_seen: set[int] = set()  # requests that had their effect
        self.classes = [CLASSES[shape.name] for shape in day.parameters.classes]

    def _break(self, rule: str, story: str) -> None:
        self.violations[rule] += 1
        if len(self.descriptions) < 20:
            self.descriptions.append(f"{rule}: {story}")

    # Discovery

    def endpoint_list_delivered(self, gateway: int, entries: Iterable[EndpointEntry], now: float) -> None:
        self.notified_endpoints[gateway] = {entry.server: (now, entry) for entry in entries}

    def endpoint_notified(self, gateway: int, entry: EndpointEntry, now: float) -> None:
        held = self.notified_endpoints.setdefault(gateway, {})
        before = held.get(entry.server)
        if before is None or before[1].state != entry.state or before[1].started_at != entry.started_at:
            held[entry.server] = (now, entry)

    def knows_start(self, gateway: int, server: int, started: float) -> bool:
        held = self.notified_endpoints.get(gateway, {}).get(server)
        return held is not None and held[1].started_at == started

    # Requests

    def attempt_sent(self, one: ClientAttempt, attempt: UpstreamAttempt, gateway: int, at: float) -> None:
        """An attempt leaves its gateway; `one.attempts` are those before it."""
        held = self.notified_endpoints.get(gateway, {}).get(attempt.server)
        grace = self.day.rules.drain_grace_ms
        if held is None or (held[1].state != "ready" and at > held[0] + grace):
            state = f"{held[1].state} since {held[0]:.0f}" if held is not None else "not listed"
            sender = f"request {one.request_id} sent at {at:.0f} by gateway {gateway}"
            self._break("drain", f"{sender} to server {attempt.server}: {state}")
        if not self.settings.allow_hedging and any(a.status is None for a in one.attempts):
            self._break("two_out", f"request {one.request_id}")
        cls = self.classes[one.request.class_index]
        effect = cls.get("effect", "safe")
        risky = [a for a in one.attempts if a.status not in NEVER_RAN]
        if risky and effect == "unsafe":
            self._break(
                "doubled", f"request {one.request_id} of a class that is never repeated was sent again"
            )
        elif risky and effect == "keyed":
            outside = any(a.cell != attempt.cell for a in risky) and cls["retry_scope"] == "cell"
            if outside or at > risky[0].sent_at + cls["idempotency_window"]:
                self._break("doubled", f"request {one.request_id} sent again outside its cell or window")

    def sent_after_end(self, ref: int) -> None:
        self._break("lost", f"request {ref} sent after its final answer")

    def effect_ran(self, work: BackendRequest) -> None:
        """An attempt had its effect. Requests that may be repeated have none to double."""
        if work.idempotency_key is None:
            return
        key = id(work.idempotency_key)
        if key in self.effects_seen:
            self._break("doubled", f"a sale of customer {work.key.customer} closed twice")  # type: ignore[attr-defined]
        self.effects_seen.add(key)

    def client_answered(self, one: ClientAttempt, final: ClientResult, at: float) -> None:
        cls = self.classes[one.request.class_index]
        risky = any(a.status not in NEVER_RAN for a in one.attempts)
        if final == "refused" and risky and cls.get("effect", "safe") != "safe":
            self._break("doubled", f"request {one.request_id} refused though it may have run")
        if at > one.sent_at + one.timeout_ms + self.day.rules.answer_slack_ms:
            self._break(
                "lost", f"request {one.request_id} answered {at - one.sent_at - one.timeout_ms:.0f} ms late"
            )

    def answered_again(self, ref: int, final: ClientResult) -> None:
        """A second answer is disregarded by the wire; only a second serving would reach a client."""
        if final == "served":
            self._break("lost", f"request {ref} answered twice")

    def request_lost(self, one: ClientAttempt) -> None:
        self._break("lost", f"request {one.request_id} got no answer")

    def ceiling_exceeded(self, one: ClientAttempt, below: float) -> None:
        self._break("ceiling", f"request {one.request_id} passed its customer's ceiling by {below:.1f} units")

    def backend_collapsed(self, till: Backend) -> None:
        if till.collapse_was_avoidable:
            self._break("pushed_over", f"server {till.number} fell over while cold")

    def finish(self, now: float) -> None:
        """The day is over: whatever is still open was lost."""
        for one in self.client_attempts:
            if one.accepted and one.result is None and not one.client_notified:
                self.request_lost(one)
