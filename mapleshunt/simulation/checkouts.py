"""The policy code of other checkouts, loaded beside this one's so that the simulation can compare them.

A checkout of this layout has the package `mapleshunt/policy`, whose types the engine uses directly. Older
ones (up to commit 98386c1) have `mapleshunt/control.py` and `mapleshunt/interface.py`, with other names for
the same types: `LegacyGateway` translates settings, events and actions, so that the engine uses only current
names. The tables `SETTINGS` and `CONSTANTS` also hold the former names that `set:NAME=VALUE` still accepts.
"""

from __future__ import annotations

import importlib
import importlib.util
import sys
from collections.abc import Callable, Iterable, Mapping
from dataclasses import fields
from pathlib import Path
from types import ModuleType
from typing import Any

from .. import policy

# Former names of types, by current name.
TYPES: Mapping[str, str] = {
    "EndpointUpdate": "Members",
    "RequestReceived": "Request",
    "ResponseStarted": "Begun",
    "AttemptEnded": "Outcome",
    "ClientDisconnected": "ClientGone",
    "TimerFired": "Timer",
    "GossipReceived": "PeerMessage",
    "QuotaLeaseGranted": "Leased",
    "StartAttempt": "Send",
    "RejectRequest": "Refuse",
    "FailRequest": "Fail",
    "CancelAttempt": "Cancel",
    "SendGossip": "Tell",
    "WatchEndpoints": "Watch",
    "EndpointInfo": "ServerEntry",
}
# Former names of fields, by type and current name; fields that are not listed kept their names.
SETTINGS: Mapping[str, str] = {
    "gateway_index": "me",
    "gateway_count": "instances",
    "poll_discovery": "ask_discovery",
    "discovery_poll_within": "ask_within",
    "allow_retry_after": "retry_after",
    "allow_hedging": "second_copies",
    "gossip_enabled": "peers",
    "gossip_intake_per_s": "mail_per_s",
    "gossip_message_bytes": "message_bytes",
    "cost_known_after": "settles",
    "max_request_units": "largest",
    "slow_start_min_capacity": "cold_from",
    "slow_start_duration": "cold",
    "overload_crash_after": "tip_after",
    "overload_crash_multiple": "tip_over",
}
FIELDS: Mapping[str, Mapping[str, str]] = {
    "Settings": SETTINGS,
    "RequestClass": {
        "latency_objective": "aim",
        "retry_scope": "group",
        "idempotency_window": "window",
        "late_priority_weight": "late_worth",
        "streaming": "stream",
        "priority_weight": "worth",
    },
    "Plan": {"max_open_requests": "open_limit"},
    "EndpointInfo": {"endpoint": "server"},
    "EndpointUpdate": {"endpoints": "entries"},
    "RequestReceived": {
        "request_id": "ref",
        "request_class": "cls",
        "remaining_time": "patience",
        "gateway_set_size": "spread",
        "gateway_set_offset": "first",
        "is_retry": "retry",
    },
    "ResponseStarted": {"request_id": "ref", "endpoint": "server"},
    "AttemptEnded": {"request_id": "ref", "request_completed": "closed", "endpoint": "server"},
    "ClientDisconnected": {"request_id": "ref"},
    "QuotaLeaseGranted": {"lease_id": "lease", "expires_at": "until"},
    "StartAttempt": {"request_id": "ref", "endpoint": "server", "send_before": "before"},
    "RejectRequest": {"request_id": "ref", "retry_after": "wait", "reason": "why"},
    "FailRequest": {"request_id": "ref"},
    "CancelAttempt": {"request_id": "ref"},
}
# Current names of policy constants, by former name, which `set:NAME=VALUE` still accepts for one version.
CONSTANTS: Mapping[str, str] = {
    "ALPHA": "COST_SMOOTHING",
    "MARGIN": "DEADLINE_MARGIN_TICKS",
    "AMPLE": "INITIAL_CONCURRENCY_PER_ENDPOINT",
    "CHANCE": "GATEWAY_SHARE_EXPONENT",
    "FEW": "MIN_CONCURRENCY_PER_ENDPOINT",
    "TARGET": "TARGET_LATENCY_RATIO",
    "STRETCH": "MAX_STRETCH_OVER_BEST",
    "PATIENT": "MAX_QUEUE_WAIT_PART",
    "SHRINK": "SHRINK_FACTOR",
    "RETRY_LEFT": "RETRY_OBJECTIVE_PART",
    "MAIL_PART": "INTAKE_PART_USED",
    "WRITERS": "WRITERS_PER_PEER",
    "OVERDUE": "OVERDUE_REPLY_WAITS",
    "SILENCE": "SILENT_OWNER_MS",
    "STALE": "STALE_USE_FACTOR",
    "CROWD_MS": "DEMAND_RATIO_MAX_AGE_MS",
    "HOME_MAIL": "CUSTOMER_PART_OF_INTAKE",
    "STIR": "UNTOLD_USE_PART",
    "ALIKE": "SIMULTANEOUS_PART",
    "ALONE": "ADMIT_ALONE_CHANCE",
    "HOME_PART": "OWNER_PART_OF_CEILING",
    "CERTAIN": "MIN_SUSPICION",
    "SUSPECT": "MAX_SILENCE_LATENCIES",
    "REST": "SLOW_RATIO_OVER_BEST",
    "SMOOTH": "ESTIMATE_SMOOTHING",
    "DRAW": "CHOICES_PER_ENDPOINT_SHARE",
    "FAR": "OTHER_ZONE_LOAD_FACTOR",
}
ACTIONS = (
    policy.StartAttempt,
    policy.RejectRequest,
    policy.FailRequest,
    policy.CancelAttempt,
    policy.SetTimer,
    policy.SendGossip,
    policy.WatchEndpoints,
)


class CheckoutError(ValueError):
    """A folder contains no policy code that can be loaded."""


def is_checkout(folder: Path) -> bool:
    """Return whether the folder contains a checkout, of this layout or of the former one."""
    package = folder / "mapleshunt"
    return (package / "policy" / "gateway.py").is_file() or (package / "control.py").is_file()


def load_package(folder: Path, alias: str) -> ModuleType:
    """Import a package under an alias. Its modules import each other relatively, so packages do not mix.

    Raises:
        CheckoutError: The folder cannot be loaded.
    """
    if alias in sys.modules:
        return sys.modules[alias]
    spec = importlib.util.spec_from_file_location(
        alias, folder / "__init__.py", submodule_search_locations=[str(folder)]
    )
    if spec is None or spec.loader is None:
        raise CheckoutError(f"no Python package can be loaded from {str(folder)!r}")
    module = importlib.util.module_from_spec(spec)
    sys.modules[alias] = module
    try:
        spec.loader.exec_module(module)
    except BaseException:
        del sys.modules[alias]
        raise
    return module


def load_decisions(package: ModuleType) -> tuple[Callable[[Any, int, float], Any], ModuleType]:
    """Return the factory of a package's gateways, and the module with the types of their interface."""
    folder = Path(package.__path__[0])
    if (folder / "policy" / "events.py").is_file():
        module = importlib.import_module(f"{package.__name__}.policy")
        return module.Gateway, module
    if (folder / "policy" / "gateway.py").is_file():
        control = importlib.import_module(f"{package.__name__}.policy.gateway")
        interface = importlib.import_module(f"{package.__name__}.policy.interface")
    else:
        control = importlib.import_module(f"{package.__name__}.control")
        interface = importlib.import_module(f"{package.__name__}.interface")

    def factory(settings: policy.Settings, seed: int, now: float) -> LegacyGateway:
        return LegacyGateway(control, interface, settings, seed, now)

    return factory, policy


class LegacyGateway:
    """A gateway of the former layout, which takes and returns the current types."""

    def __init__(
        self, control: ModuleType, interface: ModuleType, settings: policy.Settings, seed: int, now: float
    ) -> None:
        self._interface = interface
        self._gateway = control.Gateway(self._settings(settings), seed, now)
        self._actions = {
            getattr(interface, TYPES.get(action.__name__, action.__name__)): self._converter(action)
            for action in ACTIONS
        }

    def start(self) -> list[policy.Action]:
        """Start the gateway and return its first actions."""
        return [self._actions[type(action)](action) for action in self._gateway.start()]

    def handle(self, now: float, event: policy.Event) -> list[policy.Action]:
        """Pass an event to the gateway and return its actions."""
        if isinstance(event, policy.EndpointUpdate):
            entries = tuple(self._translate(endpoint) for endpoint in event.endpoints)
            translated = self._interface.Members(event.kind, entries)
        else:
            translated = self._translate(event)
        return [self._actions[type(action)](action) for action in self._gateway.handle(now, translated)]

    def _settings(self, settings: policy.Settings) -> object:
        values = self._values(settings)
        values["classes"] = {
            name: self._translate(request_class) for name, request_class in settings.classes.items()
        }
        values["plans"] = {name: self._translate(plan) for name, plan in settings.plans.items()}
        known = self._interface.Settings.__dataclass_fields__
        return self._interface.Settings(**{name: value for name, value in values.items() if name in known})

    def _translate(self, value: Any) -> Any:  # Any: a type of the other checkout
        name = type(value).__name__
        return getattr(self._interface, TYPES.get(name, name))(**self._values(value))

    @staticmethod
    def _values(value: Any) -> dict[str, Any]:  # Any: any of the dataclasses of `policy`
        names = FIELDS.get(type(value).__name__, {})
        return {names.get(item.name, item.name): getattr(value, item.name) for item in fields(value)}

    @staticmethod
    def _converter(kind: type[Any]) -> Callable[[Any], policy.Action]:
        """Return a function that converts an action of the other checkout to this type."""
        names = FIELDS.get(kind.__name__, {})
        pairs = [(item.name, names.get(item.name, item.name)) for item in fields(kind)]

        def convert(action: Any) -> policy.Action:
            values = {current: getattr(action, former) for current, former in pairs}
            if "reason" in values:
                values["reason"] = policy.RejectReason(values["reason"])
            converted: policy.Action = kind(**values)
            return converted

        return convert


def modules_with(modules: Iterable[ModuleType], name: str) -> list[ModuleType]:
    """Return the modules with a numeric constant of this name, defined or imported there."""
    return [module for module in modules if isinstance(vars(module).get(name), int | float)]


def decision_modules(package: ModuleType) -> list[ModuleType]:
    """Return all modules of a package's policy."""
    folder = Path(package.__path__[0]) / "policy"
    names = sorted(file.stem for file in folder.glob("*.py") if file.stem != "__init__")
    return [importlib.import_module(f"{package.__name__}.policy.{name}") for name in names]


def current_name(key: str, report: Callable[[str], None]) -> str:
    """Return the current name of a setting or constant, and report a former name through `report`."""
    current = {old: new for new, old in SETTINGS.items()} | dict(CONSTANTS)
    if key not in current:
        return key
    report(f"{key} is now called {current[key]}")
    return current[key]
