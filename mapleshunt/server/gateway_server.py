"""The server of one gateway: its parts, startup, signals and shutdown.

Modules of parts that the configuration leaves off (admin endpoint, hot restart, extensions) are not imported.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING

from ..invariants import Guard, violations_of_start
from ..lifecycle.lifecycle import DrainRequester, Lifecycle
from ..net import log
from ..net.client.connections import ClientConnections
from ..net.client.listener import bind_socket
from ..net.config import Config, ConfigError, format_address
from ..net.counters import Counters
from ..net.memory import (
    ASSUMED_AT_REST_BYTES,
    UNLIMITED_BYTES,
    MemoryBudget,
    fits_processes,
    plan_memory,
    private_bytes,
)
from ..net.periodic import PeriodicTask
from ..net.policy_driver import PolicyDriver
from ..net.reasons import ClientCloseReason
from ..net.startup import StartupSteps
from ..net.upstream.endpoint_group import EndpointGroup
from .client_admission import ClientAdmission
from .config_reload import ConfigReloader
from .descriptor_budget import RESERVED_DESCRIPTORS, DescriptorBudget
from .endpoint_watch import EndpointWatch
from .gossip_port import GossipPort
from .lifecycle_controller import LifecycleController
from .monitoring import Monitoring

if TYPE_CHECKING:
    from ..extensions import Extensions
    from ..net.admin.endpoint import AdminEndpoint
    from ..net.hot_restart.takeover import Takeover

PROCESS_STARTED_AT = time.monotonic()  # s: when this module was imported
# Time for which the event loop runs, with everything ready, before the gateway listens. Requests that arrive
# while startup keeps the processor busy stay unread in the kernel's queue, and their remaining time would be
# counted only from when they are read.
LISTEN_DELAY_S = 0.002
SHUTDOWN_MARGIN_S = 0.5  # after the longest deadline and the time of a kill, for writing pending responses
SHUTDOWN_POLL_INTERVAL_S = 0.01
UPSTREAM_SWEEP_INTERVAL_S = 1.0
CLIENT_SWEEP_INTERVAL_S = 0.1
COUNTERS_LOG_INTERVAL_S = 10.0  # a process that is killed logs no counters at its end


class GatewayServer:
    """Creates the parts of one gateway and runs them from startup to exit."""

    def __init__(self, config: Config) -> None:
        """Create the parts that do no I/O before `prepare`. Needs a running event loop."""
        self.counters = Counters()
        self.stop_requested = asyncio.Event()
        self.memory = MemoryBudget()
        self.memory_at_rest_bytes = 0  # what this process uses before it serves clients; 0 until it is known
        self._usable_bytes = UNLIMITED_BYTES
        self.upstreams = EndpointGroup(
            self.counters, config.dial_timeout_ms, config.idle_timeout_ms / 3, 0, self.memory
        )
        budget = DescriptorBudget(config.max_descriptors, _reserved_descriptors(config), self.upstreams)
        self.driver = PolicyDriver(config.settings, config.seed, self.upstreams, self.counters)
        self.connections = ClientConnections(
            self.driver, self.counters, config.seed, config.max_open_requests, self.memory
        )
        self.connections.is_ready = self._is_ready
        self.lifecycle = Lifecycle()
        self.clients = ClientAdmission(self.connections, budget, self.lifecycle, self.counters)
        self.endpoint_watch = EndpointWatch(config, self.driver, self.upstreams, self.counters)
        self.reloader = ConfigReloader(config, self.counters, self._config_reloaded)
        self.controller = LifecycleController(self.lifecycle, self.connections, self.driver, self.counters)
        self.gossip = GossipPort(self.driver, self.counters, shared=config.accept_fd is not None)
        self._monitoring = Monitoring(
            self.counters,
            self.connections,
            self.upstreams,
            self.driver,
            self.memory,
            config.memory_bytes,
            self.endpoint_watch.since_answer_ms,
        )
        self.admin: AdminEndpoint | None = None
        self.takeover: Takeover | None = None
        self.extensions: Extensions | None = None

    def _is_ready(self) -> bool:
        return self.lifecycle.is_ready() and bool(self.upstreams.pools)

    # Startup

    async def run(self, early_reloads: Sequence[int] = ()) -> None:
        """Run the gateway from startup until it has shut down.

        Args:
            early_reloads: SIGHUPs since before the configuration was read. The list is checked once the event
                loop handles SIGHUP; if it has any, the configuration is reloaded, as it may have changed.

        Raises:
            ConfigError: the gateway cannot start.
        """
        await self.prepare()
        self._handle_signals(early_reloads)
        sweeps = [
            PeriodicTask(self.upstreams.close_stale_idle, UPSTREAM_SWEEP_INTERVAL_S, self.counters.add),
            PeriodicTask(
                self.clients.reap_overdue,
                CLIENT_SWEEP_INTERVAL_S,
                self.counters.add,
                self._monitoring.report_loop_delay,
            ),
            PeriodicTask(self.observe_memory, CLIENT_SWEEP_INTERVAL_S, self.counters.add),
            PeriodicTask(self._monitoring.log_counters, COUNTERS_LOG_INTERVAL_S, self.counters.add),
        ]
        for sweep in sweeps:
            sweep.start()
        if self.extensions is not None:
            self.extensions.start()
        self.endpoint_watch.follow(self.reloader.config)
        await asyncio.sleep(LISTEN_DELAY_S)
        if self.takeover is not None:
            await self.takeover.receive_warm_state()
            self.gossip.retry_open(self.reloader.config)
        self.start_serving()
        await self.stop_requested.wait()
        await self.shut_down()
        await self._close(sweeps)

    async def prepare(self) -> None:
        """Apply the persisted endpoint list and open the sockets.

        Raises:
            ConfigError: the gateway cannot start with this configuration.
        """
        config = self.reloader.config
        try:
            if config.initial_endpoints is not None:
                self.endpoint_watch.apply_persisted_list(config.initial_endpoints)
            steps = StartupSteps(self.counters)
            await self._open_sockets(steps, config)
            await steps.run("operators", self.load_extensions)
        except (ValueError, OSError) as error:
            raise ConfigError(f"cannot start: {error}") from None

    async def _open_sockets(self, steps: StartupSteps, config: Config) -> None:
        if config.accept_fd is not None:
            await steps.run("handover", self._join_hot_restart)
        else:
            await steps.run("peers", lambda: self.gossip.open(config))
        if config.admin_address is not None:
            await steps.run("door", self._open_admin_endpoint)
        listener = await steps.run("listener", lambda: _client_listener(config))
        self.clients.add_listener(listener)

    def _join_hot_restart(self) -> None:
        from tempfile import gettempdir  # imports shutil and its compressors, 0.3 MB

        from ..net.hot_restart.takeover import Takeover

        folder = Path(gettempdir())
        self.takeover = Takeover(folder, self.reloader.config.name, self.driver, self.counters)
        self.controller.hot_restart_tick = self._hot_restart_tick

    def _hot_restart_tick(self) -> None:
        assert self.takeover is not None
        self.takeover.tick(self.lifecycle.is_serving())
        self.gossip.retry_open(self.reloader.config)
        processes = 1 + self.takeover.has_other_process
        if processes != self.clients.budget.processes:
            self.divide_memory(processes)

    def _open_admin_endpoint(self) -> None:
        from ..net.admin.endpoint import AdminEndpoint
        from .admin_calls import AdminCalls

        address = self.reloader.config.admin_address
        assert address is not None
        calls = AdminCalls(
            lambda: self.reloader.config, self.controller, self.upstreams, self.driver, self.counters
        )
        self.admin = AdminEndpoint(address, calls.respond, self.counters)

    def load_extensions(self) -> None:
        """Load the extensions that the operators' file turns on; without a file none is imported.

        Raises:
            ConfigError: the file is invalid, or libraries are missing.
            OSError: another attempt may succeed.
        """
        if not os.environ.get("PROXY_OPERATORS"):
            return
        try:
            from ..extensions import Extensions
            from ..net.maintenance.controls import GatewayControls, Occupancy

            controls = GatewayControls(
                lambda: self.controller.drain(DrainRequester.MAINTENANCE),
                lambda: self.controller.resume(DrainRequester.MAINTENANCE),
                lambda: Occupancy(
                    len(self.driver.open_requests),
                    len(self.connections.connections),
                    not self.lifecycle.is_serving(),
                ),
                self._load,
            )
            self.extensions = Extensions(self.reloader.config, self.driver, self.counters, controls)
        except ModuleNotFoundError as error:
            raise ConfigError(f"the operators' settings need the extra 'tools' ({error})") from None

    def _load(self) -> float:
        """Return the fraction of this gateway's concurrency limit that attempts in flight use."""
        stats = self.driver.gateway.stats(self.driver.now())
        return stats["tries_out"] / max(1.0, stats["bound"] * stats["servers_ready"])

    def _handle_signals(self, early_reloads: Sequence[int]) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reloader.reload)
        if early_reloads:
            self.reloader.reload()
        loop.add_signal_handler(signal.SIGTERM, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGUSR1, self._monitoring.log_counters)
        loop.add_signal_handler(signal.SIGQUIT, self.counters.trace.log_all)

    def _config_reloaded(self, config: Config) -> None:
        self.endpoint_watch.follow(config)
        if self.extensions is not None:
            self.extensions.reload()

    def start_serving(self) -> None:
        """Start to accept client connections; a socket that is not inherited refuses them until now."""
        config = self.reloader.config
        self.divide_memory(1 if self.takeover is None else 1 + self.takeover.has_other_process)
        if config.accept_fd is None:
            self.clients.start_listening()
        start_ms = 1000 * (time.monotonic() - PROCESS_STARTED_AT)
        violations = violations_of_start(start_ms, bool(self.connections.connections))
        self.counters.trace.report_violations(Guard.START, violations, "process")
        self.clients.start_accepting()
        self.lifecycle.start_serving()
        self.counters.trace.add("process", "listening")
        if self.takeover is not None:
            self.takeover.announce_serving()
        self.controller.update_timer()
        if self.admin is not None:
            self.admin.open()
        log.log_event(
            "started",
            name=config.name,
            listen=format_address(config.listen_address),
            servers=len(self.upstreams.pools),
        )

    def divide_memory(self, processes: int) -> None:
        """Set what this process, one of `processes`, may hold and how many connections it may have.

        Memory once used stays with the process: where a second one may come, it is divided from the start.
        """
        if not self.memory_at_rest_bytes:
            self.memory_at_rest_bytes = private_bytes() or ASSUMED_AT_REST_BYTES
        budget, memory_bytes = self.clients.budget, self.reloader.config.memory_bytes
        shares = processes
        if self.takeover is not None and fits_processes(memory_bytes, self.memory_at_rest_bytes, 2):
            shares = 2
        plan = plan_memory(memory_bytes, self.memory_at_rest_bytes, budget.usable(processes), shares)
        self.memory.limit_bytes, self._usable_bytes = plan.budget_bytes, plan.usable_bytes
        self.memory.on_grown = self.observe_memory
        self.driver.gateway.customers.max_customers = plan.max_customers
        budget.divide(processes, plan.max_connections)

    def observe_memory(self) -> None:
        """Let the budget see how much more memory this process may use.

        Called periodically, and whenever what is held has grown.
        """
        used_bytes = private_bytes()
        if used_bytes is not None:  # else no descriptor is left, for example
            self.memory.observe(self._usable_bytes - used_bytes)
            self._monitoring.report_high_memory(used_bytes)

    # Shutdown

    async def shut_down(self) -> None:
        """Accept connections for a grace period, then finish the pending requests and close.

        Load balancers detect only after a delay that the gateway is stopping. Cancelling it leaves
        connections open.
        """
        has_successor = self.takeover is not None and self.takeover.has_successor()
        classes = self.reloader.config.settings.classes.values()
        longest_deadline_s = max((cls.deadline for cls in classes), default=0.0) / 1000
        self.lifecycle.stop(_now(), longest_deadline_s, has_successor)
        self.connections.final_deadline = self.lifecycle.last_response_at()
        self.counters.trace.add("process", "stopping")
        log.log_event("stopping", open=len(self.driver.open_requests), succeeded=has_successor)
        await _poll_until(lambda: not self.lifecycle.accepts_connections(_now()))
        self.controller.tick_contained()
        # A connection in the kernel's backlog may carry a request. Closing the listener would reset it, or
        # leave it to a process that starts late.
        # If another process accepts from the same socket, it takes the connections that are queued.
        if self.takeover is None or not self.takeover.has_other_process:
            await self.clients.accept_backlog()
        self.clients.close_listeners()
        self.controller.update_timer()
        # Connections that are ended late still wait for their clients to close.
        time_to_kill_s = self.lifecycle.kill_at - _now()
        await self._finish_requests(max(longest_deadline_s, time_to_kill_s) + SHUTDOWN_MARGIN_S)

    async def _finish_requests(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                # Both change on the hot path, where setting an event would be a cost to every request.
                await _poll_until(lambda: not (self.connections.connections or self.driver.open_requests))
        except TimeoutError:  # a client that does not read must not delay the restart
            open_connections = len(self.connections.connections)
            log.log_event(
                "stopped_late", open=len(self.driver.open_requests), client_connections=open_connections
            )
            for connection in list(self.connections.connections):
                connection.close(ClientCloseReason.PROCESS_STOPPED)

    async def _close(self, sweeps: list[PeriodicTask]) -> None:
        await self.endpoint_watch.close()
        for sweep in sweeps:
            sweep.stop()
        self.controller.stop_timer()
        self.upstreams.close()
        for part in (self.gossip, self.extensions, self.admin, self.takeover):
            if part is not None:
                part.close()
        self._monitoring.log_counters()


def _reserved_descriptors(config: Config) -> int:
    if config.admin_address is None:
        return RESERVED_DESCRIPTORS
    from ..net.admin.endpoint import MAX_DESCRIPTORS

    return RESERVED_DESCRIPTORS + MAX_DESCRIPTORS


def _client_listener(config: Config) -> socket.socket:
    """Return the socket for clients: a new one that does not listen yet, or the inherited one."""
    if config.accept_fd is None:
        return bind_socket(config.listen_address)
    listener = socket.socket(fileno=config.accept_fd)
    listener.setblocking(False)
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise ValueError(f"PROXY_ACCEPT_FD must be a listening socket, got descriptor {config.accept_fd}")
    return listener


async def _poll_until(condition: Callable[[], bool]) -> None:
    """Wait until `condition` holds, by polling: an event set on the hot path would cost every request."""
    while True:
        if condition():
            return
        await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)


def _now() -> float:
    return asyncio.get_running_loop().time()
