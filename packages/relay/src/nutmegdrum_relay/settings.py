"""Settings of a relay daemon, which are validated as a whole before anything starts."""

from enum import Enum
from pathlib import Path
from typing import Any

import msgspec
from nutmegdrum.checked_json import decode_json, read_file
from nutmegdrum.errors import UserError
from nutmegdrum.settings import ControlSettings
from nutmegdrum.units import Address, Duration
from nutmegdrum_coord.ids import DataCentre, DeploymentId, Region
from nutmegdrum_scheduling.resends.fleet_budget import BudgetRule

MIN_RETRY_WINDOW = Duration(1_000)
"""Shortest window of the retry budget; reports of entry VMs are up to a second old."""


_MS_PER_S = 1_000
_BYTES_PER_MIB = 1 << 20


class RelayRole(Enum):
    """Role of a relay daemon."""

    ENTRY = "entry"
    STATE = "state"


class _Model(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all settings objects: immutable, and rejects unknown keys."""


class Place(_Model, frozen=True):
    """Location of the daemon."""

    name: str
    data_centre: DataCentre
    region: Region


class Listen(_Model, frozen=True):
    """Addresses of the daemon's listeners.

    Attributes
    ----------
    peers : Address
        For other daemons; the same port on all VMs. Entry VMs take requests there that other
        entry VMs pass on.
    metrics : Address
        For the metrics.
    callers, readiness : Address or None
        For callers, and for the balancer's readiness probe; role `entry` only.
    operators : Address or None
        For operators; role `state` only.
    """

    peers: Address
    metrics: Address
    callers: Address | None = None
    readiness: Address | None = None
    operators: Address | None = None


class VmLimits(_Model, frozen=True):
    """What the VM of a daemon has.

    Attributes
    ----------
    memory_mib : float or None
        Memory of the VM in MiB, from which the bytes that requests may hold are derived; 256 if
        it is None.
    descriptors : int or None
        Descriptors that the daemon may open; by default the limit of its process.
    """

    memory_mib: float | None = None
    descriptors: int | None = None

    @property
    def memory(self) -> int | None:
        """Return the memory of the VM in bytes; None if it is not known."""
        return None if self.memory_mib is None else int(self.memory_mib * _BYTES_PER_MIB)


class EntrySettings(VmLimits, frozen=True):
    """Limits of an entry VM.

    Attributes
    ----------
    max_requests : int
        Maximum number of concurrent requests; fewer if the VM's memory cannot hold as many.
    list_poll : Duration
        Interval at which the platform's list is polled.
    document_wait : Duration
        Long-poll time: how long a state replica may wait for a newer routing document.
    shutdown_notice : Duration
        Time between the end of readiness and the end of the listener.
    stop_within : Duration
        Time between the stop signal and the kill of the process.
    """

    max_requests: int = 256
    list_poll: Duration = Duration(1_000)
    document_wait: Duration = Duration(500)
    shutdown_notice: Duration = Duration(2_500)
    stop_within: Duration = Duration(10_000)


class RetryBudgetSettings(_Model, frozen=True):
    """Bound on the resends to one service in any window, summed over all entry VMs.

    Attributes
    ----------
    ratio : float or None
        Resends for each request of the window.
    window_s : float or None
        Length of a window in s; a platform's template may render a fraction.
    slack : float or None
        Further resends.
    """

    ratio: float | None = 0.8
    window_s: float | None = 10.0
    slack: float | None = 150.0

    @property
    def rule(self) -> BudgetRule | None:
        """Return the rule that the budget keeps; None if the platform states no bound."""
        if self.ratio is None or self.window_s is None or self.slack is None:
            return None
        return BudgetRule(self.ratio, Duration(int(self.window_s * _MS_PER_S)), int(self.slack))


class RelaySettings(_Model, frozen=True):
    """All settings of one relay daemon.

    Attributes
    ----------
    state_seeds : tuple of Address
        Operators' listeners of some state replicas; the others are discovered through them.
    tolerated_losses : int
        State replicas that may be lost at once; a silent replica is replaced only if at least
        2 * `tolerated_losses` + 1 others are left.
    backend_list : Address
        Address at which the platform serves its list of backend servers.
    plugins : tuple of str
        Plug-ins that a state replica loads.
    plugin_settings : dict
        Options of each plug-in.
    rollout_judge : str
        Name of the plug-in's judge that evaluates rollouts.
    retry_budget : RetryBudgetSettings or None
        Bound on resends, which the state leader keeps for all entry VMs; without it, each entry VM
        may resend a fixed share of its own requests, and the leader grants a few more. For both
        roles.
    """

    deployment: DeploymentId
    role: RelayRole
    place: Place
    listen: Listen
    state_seeds: tuple[Address, ...]
    tolerated_losses: int = 1
    backend_list: Address | None = None
    data_folder: str | None = None
    entry: EntrySettings = EntrySettings()
    state: VmLimits = VmLimits()
    control: ControlSettings = ControlSettings()
    plugins: tuple[str, ...] = ("sequential_judge",)
    plugin_settings: dict[str, dict[str, Any]] = {}
    rollout_judge: str = "sequential"
    retry_budget: RetryBudgetSettings | None = None

    def budget_rule(self) -> BudgetRule | None:
        """Return the rule of the fleet-wide retry budget; None if there is none."""
        return None if self.retry_budget is None else self.retry_budget.rule

    def seed_peers(self) -> list[Address]:
        """Return the peer addresses of the seeds; all VMs use the same ports."""
        return [Address(f"{seed.host}:{self.listen.peers.port}") for seed in self.state_seeds]


def load_relay_settings(path: Path) -> RelaySettings:
    """Read and check the settings file at `path`.

    Raises
    ------
    UserError
        If the file cannot be read, or a value is invalid; the message names the key's path.
    """
    return read_file(path, parse_relay_settings)


def parse_relay_settings(data: bytes) -> RelaySettings:
    """Decode and check settings.

    Raises
    ------
    UserError
        As for `load_relay_settings`.
    """
    cfg = decode_json(data, RelaySettings)
    if cfg.role is RelayRole.ENTRY:
        _require(cfg.listen.callers, "listen.callers")
        _require(cfg.listen.readiness, "listen.readiness")
        _require(cfg.backend_list, "backend_list")
    else:
        _require(cfg.listen.operators, "listen.operators")
        _require(cfg.data_folder, "data_folder")
    _check_retry_budget(cfg.budget_rule())
    if not cfg.state_seeds:
        raise UserError("Expected one state replica or more - at `$.state_seeds`")
    return cfg


def _check_retry_budget(rule: BudgetRule | None) -> None:
    if rule is None:
        return
    if rule.ratio < 0 or rule.slack < 0:
        raise UserError("Expected a ratio and a slack of 0 or more - at `$.retry_budget`")
    if rule.window < MIN_RETRY_WINDOW:
        raise UserError("Expected a second or more - at `$.retry_budget.window_s`")


def _require(value: object, path: str) -> None:
    if value is None:
        raise UserError(f"Expected a value for this role - at `$.{path}`")
