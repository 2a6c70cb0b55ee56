"""The calls of the admin endpoint: readiness, drain and resume, statistics.

Imported only where the configuration names an address for the endpoint.
"""

from __future__ import annotations

from collections.abc import Callable

from ..lifecycle import statistics
from ..lifecycle.lifecycle import DrainRequester, State
from ..net.admin.connection import AdminResponse
from ..net.config import Config
from ..net.counters import Counters
from ..net.policy_driver import PolicyDriver
from ..net.upstream.endpoint_group import EndpointGroup
from .lifecycle_controller import LifecycleController


class AdminCalls:
    """Responds to the operators' calls. Paths and bodies are part of the operators' interface."""

    def __init__(
        self,
        current_config: Callable[[], Config],
        controller: LifecycleController,
        upstreams: EndpointGroup,
        driver: PolicyDriver,
        counters: Counters,
    ) -> None:
        """Store the parts that calls use; `current_config` returns the configuration in force."""
        self._current_config = current_config
        self._controller = controller
        self._upstreams = upstreams
        self._driver = driver
        self._counters = counters

    def respond(self, method: str, path: str) -> AdminResponse:
        """Carry out a call and return its response."""
        lifecycle = self._controller.lifecycle
        match method, path:
            case "GET", "/_ready":
                return _confirm("yes\n", lifecycle.is_serving())
            case "POST", "/_lameduck/on":
                self._controller.drain(DrainRequester.OPERATORS)
                return _confirm("drained\n", lifecycle.state is State.DRAINING)
            case "POST", "/_lameduck/off":
                self._controller.resume(DrainRequester.OPERATORS)
                return _confirm("working\n", lifecycle.is_serving())
            case "GET", "/_vars":
                return AdminResponse(200, self._statistics())
        return AdminResponse(404, "no such call\n")

    def _statistics(self) -> str:
        now = self._driver.now()
        endpoints = self._driver.gateway.endpoints.by_number
        unavailable = sum(
            pool.endpoint.state != "ready" or (number in endpoints and endpoints[number].ejected_until > now)
            for number, pool in self._upstreams.pools.items()
        )
        gauges = {
            "pending": len(self._driver.open_requests),
            "members": len(self._upstreams.pools),
            "members_unavailable": unavailable,
        }
        classes = self._current_config().settings.classes
        return statistics.render(classes, self._counters.by_class, gauges)


def _confirm(text: str, confirmed: bool) -> AdminResponse:
    return AdminResponse(200, text) if confirmed else AdminResponse(503, "no\n")
