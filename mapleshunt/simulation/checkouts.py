"""Decisions of other checkouts, so that the model can play them beside this one's.

A checkout of this layout has the package `mapleshunt/policy`, whose types the engine speaks directly. Older
ones (up to commit 98386c1) have `mapleshunt/control.py` and `mapleshunt/interface.py`, with other names for
the same types: `LegacyGateway` translates settings, events and actions, so that the engine knows only today's
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

# Former names of types, by the names of now.
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
# Former names of fields, by type and by the names of now; the others kept theirs.
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
# Constants of the decisions by their former names, which `set:NAME=VALUE` goes on accepting for one version.
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
    """A folder holds no decisions that can be played."""


def is_checkout(folder: Path) -> bool:
    """Return whether the folder holds a checkout, of this layout or of a former one."""
    package = folder / "mapleshunt"
    return (package / "policy" / "gateway.py").is_file() or (package / "control.py").is_file()


def load_package(folder: Path, alias: str) -> ModuleType:
    """Import a package under a name of its own: its modules name each other relatively, so copies do not mix.

    Raises:
        CheckoutError: The folder cannot be loaded.
    """
    if alias in sys.modules:
        return sys.modules[alias]
    spec = importlib.util.spec_from_file_location(
        alias, folder / "__init__.py", submodule_search_locations=[str(folder)]
    )
    if spec is None or spec.loader is None:
        raise CheckoutError(f"{str(folder)!r} cannot be loaded")
    module = importlib.util.module_from_spec(spec)
    sys.modules[alias] = module
    try:
        spec.loader.exec_module(module)
    except BaseException:
        del sys.modules[alias]
        raise
    return module


def load_decisions(package: ModuleType) -> tuple[Callable[[Any, int, float], Any], ModuleType]:
    """Return the factory of a package's gateways, and the module that holds the types that they speak."""
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
    """A gateway of a former layout, which takes and returns the types of now."""

    def __init__(
        self, control: ModuleType, interface: ModuleType, settings: policy.Settings, seed: int, now: float
    ) -> None:
        self._interface = interface
        self._gateway = control.Gateway(self._settings(settings), seed, now)
        self._actions = {
            getattr(interface, TYPES.get(one.__name__, one.__name__)): self._reader(one) for one in ACTIONS
        }

    def start(self) -> list[policy.Action]:
        """Return the actions with which the gateway starts."""
        return [self._actions[type(action)](action) for action in self._gateway.start()]

    def handle(self, now: float, event: policy.Event) -> list[policy.Action]:
        """Hand the gateway an event and return its actions."""
        if isinstance(event, policy.EndpointUpdate):
            entries = tuple(self._translate(one) for one in event.endpoints)
            former = self._interface.Members(event.kind, entries)
        else:
            former = self._translate(event)
        return [self._actions[type(action)](action) for action in self._gateway.handle(now, former)]

    def _settings(self, settings: policy.Settings) -> object:
        values = self._values(settings)
        values["classes"] = {name: self._translate(one) for name, one in settings.classes.items()}
        values["plans"] = {name: self._translate(one) for name, one in settings.plans.items()}
        known = self._interface.Settings.__dataclass_fields__
        return self._interface.Settings(**{name: value for name, value in values.items() if name in known})

    def _translate(self, value: Any) -> Any:  # Any: a type of the other checkout
        name = type(value).__name__
        return getattr(self._interface, TYPES.get(name, name))(**self._values(value))

    @staticmethod
    def _values(value: Any) -> dict[str, Any]:  # Any: any of the dataclasses of `policy`
        names = FIELDS.get(type(value).__name__, {})
        return {names.get(one.name, one.name): getattr(value, one.name) for one in fields(value)}

    @staticmethod
    def _reader(kind: type[Any]) -> Callable[[Any], policy.Action]:
        """Return a function that makes an action of this type from one of the other checkout's."""
        names = FIELDS.get(kind.__name__, {})
        pairs = [(one.name, names.get(one.name, one.name)) for one in fields(kind)]

        def read(action: Any) -> policy.Action:
            values = {now: getattr(action, former) for now, former in pairs}
            if "reason" in values:
                values["reason"] = policy.RejectReason(values["reason"])
            made: policy.Action = kind(**values)
            return made

        return read


def modules_with(modules: Iterable[ModuleType], name: str) -> list[ModuleType]:
    """Return the modules that have a figure of this name, their own or imported."""
    return [one for one in modules if isinstance(vars(one).get(name), int | float)]


def decision_modules(package: ModuleType) -> list[ModuleType]:
    """Return all modules of a package's decisions."""
    folder = Path(package.__path__[0]) / "policy"
    names = sorted(one.stem for one in folder.glob("*.py") if one.stem != "__init__")
    return [importlib.import_module(f"{package.__name__}.policy.{name}") for name in names]


def current_name(key: str, say: Callable[[str], None]) -> str:
    """Return the name of now for a setting's or constant's former name, which is told through `say`."""
    former = {old: new for new, old in SETTINGS.items()} | dict(CONSTANTS)
    if key not in former:
        return key
    say(f"{key} is now called {former[key]}")
    return former[key]
