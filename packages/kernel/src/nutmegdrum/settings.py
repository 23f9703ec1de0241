"""Typed settings of one daemon, checked completely before anything starts."""

from enum import Enum
from pathlib import Path
from typing import Any

import msgspec
from nutmegdrum_coord.ids import (
    BackendId,
    DataCentre,
    DeploymentId,
    ModelName,
    Region,
    ServiceName,
    VersionName,
    VmId,
    WorkspaceId,
)

from nutmegdrum.checked_json import decode_json, read_file
from nutmegdrum.errors import UserError
from nutmegdrum.units import Address, Duration, Size

_KIB = 1 << 10
_MIB = 1 << 20


class Role(Enum):
    """Role of a daemon."""

    ENTRY = "entry"
    STATE = "state"


class ServiceKind(Enum):
    """Kind of a service."""

    MODEL = "model"
    PLAIN = "plain"


class CallKind(Enum):
    """Whether a call to a plain service may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class CapacityPriority(Enum):
    """Use that gets spare capacity first when moves and recovery compete for it."""

    RESUME_LATENCY = "resume-latency"
    MOVES_IN_TIME = "moves-in-time"


class SettingsObject(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Base of all settings objects; immutable, rejects unknown keys."""


class VmSettings(SettingsObject):
    """Identity and location of the VM that a daemon runs on."""

    id: VmId
    data_centre: DataCentre
    region: Region
    data_folder: str | None = None


class ListenSettings(SettingsObject):
    """Addresses of the listeners, separate so that callers cannot starve operators and peers."""

    ops: Address
    peers: Address
    callers: Address | None = None
    operators: Address | None = None


class PeerSettings(SettingsObject):
    """Daemon on another VM, with the address of its peers' listener."""

    vm: VmId
    address: Address
    data_centre: DataCentre
    operators: Address | None = None


class WorkspaceSettings(SettingsObject):
    """Workspace with the SHA-256 of its key in hex, and its limits."""

    id: WorkspaceId
    key_sha256: str
    weight: int = 1
    max_streams: int = 64
    tokens_per_s: int = 20_000
    requests_per_s: int = 100


class BackendSettings(SettingsObject):
    """Backend server that is known from the start."""

    id: BackendId
    address: Address
    service: ServiceName
    data_centre: DataCentre
    checks_fencing: bool = True


class ServiceSettings(SettingsObject):
    """Service and its kind."""

    name: ServiceName
    kind: ServiceKind


class ModelSettings(SettingsObject):
    """Model that a service provides from the start, and its first settled version."""

    name: ModelName
    service: ServiceName
    version: VersionName


class RouteSettings(SettingsObject):
    """Path prefix of a plain service, and the kind of call for each HTTP method."""

    prefix: str
    service: ServiceName
    methods: dict[str, CallKind]


class PlatformSettings(SettingsObject):
    """Address of the platform's live list of VMs, and the poll interval."""

    live_list: Address | None = None
    poll: Duration = Duration(1_000)


class CallerSettings(SettingsObject):
    """Limits of the callers' listener."""

    max_streams: int = 320
    spare_threads: int = 16
    max_body: Size = Size(4 * _MIB)
    max_headers: Size = Size(32 * _KIB)
    idle_timeout: Duration = Duration(30_000)
    shutdown_notice: Duration = Duration(3_000)
    shutdown_timeout: Duration = Duration(600_000)


class StreamSettings(SettingsObject):
    """Loss detection, recovery and journal of streams."""

    connect_timeout: Duration = Duration(500)
    first_token_timeout: Duration = Duration(3_000)
    min_token_timeout: Duration = Duration(1_800)
    max_token_timeout: Duration = Duration(2_000)
    recovery_deadline: Duration = Duration(5_000)
    max_attempts: int = 6
    recoveries_per_s: int = 50
    journal_copies: int = 2
    journal_batch: Duration = Duration(4)
    journal_timeout: Duration = Duration(400)
    journal_retention: Duration = Duration(600_000)
    caller_grace: Duration = Duration(10_000)


class ClaimSettings(SettingsObject):
    """Retention and time-outs of non-idempotent requests."""

    retention: Duration = Duration(21_600_000)
    max_per_workspace: int = 20_000
    dispatch_deadline: Duration = Duration(2_000)
    call_timeout: Duration = Duration(10_000)
    join_wait: Duration = Duration(1_000)


class ControlSettings(SettingsObject):
    """Heartbeats, leases and elections."""

    heartbeat: Duration = Duration(500)
    freshness_lease: Duration = Duration(2_000)
    election_timeout: Duration = Duration(1_000)
    log_heartbeat: Duration = Duration(150)
    snapshot_every: int = 2_000
    synced_data_survives: bool = False
    may_found: bool = True


class MoveSettings(SettingsObject):
    """How new versions receive traffic and are judged."""

    weigh: CapacityPriority = CapacityPriority.RESUME_LATENCY
    grant_lease: Duration = Duration(1_500)
    step_time: Duration = Duration(20_000)
    bake_time: Duration = Duration(600_000)
    order_deadline: Duration = Duration(30_000)


class Settings(SettingsObject):
    """All settings of one daemon."""

    deployment: DeploymentId
    vm: VmSettings
    roles: list[Role]
    listen: ListenSettings
    state_replicas: list[PeerSettings]
    entry_vms: list[PeerSettings] = []
    workspaces: list[WorkspaceSettings] = []
    services: list[ServiceSettings] = []
    models: list[ModelSettings] = []
    routes: list[RouteSettings] = []
    backend_servers: list[BackendSettings] = []
    platform: PlatformSettings = PlatformSettings()
    callers: CallerSettings = CallerSettings()
    streams: StreamSettings = StreamSettings()
    claims: ClaimSettings = ClaimSettings()
    control: ControlSettings = ControlSettings()
    moves: MoveSettings = MoveSettings()
    plugins: list[str] = []
    plugin_settings: dict[str, dict[str, Any]] = {}


def load_settings(path: Path) -> Settings:
    """Read and check the settings file at `path`.

    Raises
    ------
    UserError
        If the file cannot be read, or a value is wrong; the message names the key's path
        and the expected value.
    """
    return read_file(path, parse_settings)


def parse_settings(data: bytes) -> Settings:
    """Decode and check settings.

    Raises
    ------
    UserError
        As for `load_settings`.
    """
    cfg = decode_json(data, Settings)
    _check_roles(cfg)
    _check_unique(cfg)
    _check_references(cfg)
    return cfg


def _raise_error(path: str, expected: str) -> None:
    raise UserError(f"{expected} - at `$.{path}`")


def _check_roles(cfg: Settings) -> None:
    if not cfg.roles:
        _raise_error("roles", "Expected at least one of `entry`, `state`")
    if Role.ENTRY in cfg.roles and cfg.listen.callers is None:
        _raise_error("listen.callers", "Expected an address for role `entry`")
    if Role.STATE not in cfg.roles:
        return
    if cfg.listen.operators is None:
        _raise_error("listen.operators", "Expected an address for role `state`")
    if cfg.vm.data_folder is None:
        _raise_error("vm.data_folder", "Expected a folder for role `state`")
    if cfg.vm.id not in [peer.vm for peer in cfg.state_replicas]:
        _raise_error("state_replicas", f"Expected this VM, `{cfg.vm.id}`, among the state replicas")


def _check_unique(cfg: Settings) -> None:
    listeners = [a for a in msgspec.structs.astuple(cfg.listen) if a is not None and a.port != 0]
    if len(set(listeners)) != len(listeners):
        _raise_error("listen", "Expected a different address for each listener")
    named: dict[str, list[str]] = {
        "state_replicas": [peer.vm for peer in cfg.state_replicas],
        "entry_vms": [peer.vm for peer in cfg.entry_vms],
        "workspaces": [workspace.id for workspace in cfg.workspaces],
        "services": [service.name for service in cfg.services],
        "models": [model.name for model in cfg.models],
        "routes": [route.prefix for route in cfg.routes],
        "backend_servers": [backend.id for backend in cfg.backend_servers],
    }
    for key, names in named.items():
        for index, name in enumerate(names):
            if name in names[:index]:
                _raise_error(f"{key}[{index}]", f"Expected a unique name; `{name}` is taken")


def _check_references(cfg: Settings) -> None:
    kinds = {service.name: service.kind for service in cfg.services}
    for index, backend in enumerate(cfg.backend_servers):
        if backend.service not in kinds:
            _raise_error(f"backend_servers[{index}].service", "Expected a name from `$.services`")
    for index, model in enumerate(cfg.models):
        if kinds.get(model.service) is not ServiceKind.MODEL:
            _raise_error(f"models[{index}].service", "Expected a service of kind `model`")
    for index, route in enumerate(cfg.routes):
        if kinds.get(route.service) is not ServiceKind.PLAIN:
            _raise_error(f"routes[{index}].service", "Expected a service of kind `plain`")
