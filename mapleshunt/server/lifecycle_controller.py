"""The application of the lifecycle state to the client connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..lifecycle.lifecycle import DrainRequester, Lifecycle
from ..net import log
from ..net.client.connections import ClientConnections
from ..net.counters import Counters
from ..net.periodic import PeriodicTask
from ..net.policy_driver import PolicyDriver

TICK_INTERVAL_S = 0.05


class LifecycleController:
    """Drains and resumes the gateway, and closes connections as its state requires."""

    def __init__(
        self, lifecycle: Lifecycle, connections: ClientConnections, driver: PolicyDriver, counters: Counters
    ) -> None:
        """Create it without a running timer; `update_timer` starts it when there is periodic work."""
        self.lifecycle = lifecycle
        # The work of a hot restart at each tick; None without an inherited listener.
        self.hot_restart_tick: Callable[[], None] | None = None
        self._connections = connections
        self._driver = driver
        self._counters = counters
        self._timer = PeriodicTask(self.tick, TICK_INTERVAL_S, counters.add)

    def drain(self, requester: DrainRequester) -> None:
        """Send clients to other gateways for `requester`."""
        self._apply_request("drained", self.lifecycle.drain(_now(), requester))

    def resume(self, requester: DrainRequester) -> None:
        """Serve clients again, unless another requester wants the gateway drained."""
        self._apply_request("back_to_work", self.lifecycle.resume(requester))

    def _apply_request(self, event: str, changed: bool) -> None:
        if changed:
            self._counters.trace.add("process", event)
            log.log_event(
                event,
                open=len(self._driver.open_requests),
                client_connections=len(self._connections.connections),
            )
        self.tick()
        self.update_timer()

    def update_timer(self) -> None:
        """Start the timer if there is periodic work, else stop it."""
        if self.hot_restart_tick is None and self.lifecycle.is_serving():
            self._timer.stop()
        elif not self._timer.is_running():
            self._timer.start()

    def stop_timer(self) -> None:
        """Stop the periodic ticks."""
        self._timer.stop()

    def tick(self) -> None:
        """Do the hot restart's work, and close the connections that the state requires to be closed."""
        now = _now()
        if self.hot_restart_tick is not None:
            self.hot_restart_tick()
        self._connections.apply_drain_stage(self.lifecycle.drain_stage(now))

    def tick_contained(self) -> None:
        """Tick and log any exception: a defect must not end the process while requests are pending."""
        try:
            self.tick()
        except Exception:
            self._counters.add("exceptions")
            log.log_exception("tend_exception")


def _now() -> float:
    return asyncio.get_running_loop().time()
