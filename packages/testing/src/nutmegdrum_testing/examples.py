"""Generator of the settings files under examples/, one file per VM.

`python -m nutmegdrum_testing.examples FOLDER` rewrites both deployments.
"""

import sys
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from nutmegdrum_testing.deployment import key_digest

ENTRY_VMS = 7
STATE_REPLICAS = 3
MODEL_REPLICAS = 9
PLAIN_REPLICAS = 3
WORKSPACES = 10
LARGE_WORKSPACES = 3
_LARGE_LIMITS = {"max_streams": 256, "tokens_per_s": 100_000, "requests_per_s": 1_000}
PLUGINS = ["http_engine", "sequential_judge", "prefix_affinity", "fair_share"]

_OPS_PORT = 9100
_PEERS_PORT = 9200
_OPERATORS_PORT = 9300
_CALLERS_PORT = 8080
_BACKEND_PORT = 8000


class Shape(NamedTuple):
    """Parameters in which the deployments differ.

    Attributes
    ----------
    network : str
        First two octets of the VMs' addresses.
    weigh : str
        Use of spare capacity during moves, as in the setting `moves.weigh`.
    """

    deployment: str
    network: str
    region: str
    data_centres: list[str]
    model_service: str
    model: str
    plain_service: str
    prefix: str
    weigh: str
    checks_fencing: bool


SHAPES = [
    Shape(
        deployment="parveliin",
        network="10.20",
        region="ee-pohi",
        data_centres=["pohi-a", "pohi-b", "pohi-c"],
        model_service="mesila-llm",
        model="mesila",
        plain_service="parve-jaam",
        prefix="/collectors",
        weigh="resume-latency",
        checks_fencing=True,
    ),
    Shape(
        deployment="booking-desk",
        network="10.30",
        region="kochi",
        data_centres=["ernakulam", "thrissur", "kottayam"],
        model_service="drafting-desk",
        model="drafting",
        plain_service="booking-desk",
        prefix="/tankers",
        weigh="moves-in-time",
        checks_fencing=False,
    ),
]


def settings_of(shape: Shape) -> dict[str, dict[str, Any]]:
    """Return the settings of all VMs of a deployment, by VM id."""
    return {_vm(index): _vm_settings(shape, index) for index in range(ENTRY_VMS)}


def _vm(index: int) -> str:
    return f"entry-{index + 1}"


def _data_centre(shape: Shape, index: int) -> str:
    return shape.data_centres[index % len(shape.data_centres)]


def _address(shape: Shape, index: int, port: int) -> str:
    return f"{shape.network}.{index % len(shape.data_centres) + 1}.{11 + index}:{port}"


def _vm_settings(shape: Shape, index: int) -> dict[str, Any]:
    holds_state = index < STATE_REPLICAS
    vm = {"id": _vm(index), "data_centre": _data_centre(shape, index), "region": shape.region}
    listen = {
        "ops": _address(shape, index, _OPS_PORT),
        "peers": _address(shape, index, _PEERS_PORT),
        "callers": _address(shape, index, _CALLERS_PORT),
    }
    if holds_state:
        vm["data_folder"] = "/var/lib/nutmegdrum"
        listen["operators"] = _address(shape, index, _OPERATORS_PORT)
    return {
        "deployment": shape.deployment,
        "vm": vm,
        "roles": ["entry", "state"] if holds_state else ["entry"],
        "listen": listen,
        "state_replicas": [_peer(shape, i) for i in range(STATE_REPLICAS)],
        "entry_vms": [_peer(shape, i) for i in range(ENTRY_VMS)],
        "workspaces": [_workspace(i) for i in range(WORKSPACES)],
        "services": [
            {"name": shape.model_service, "kind": "model"},
            {"name": shape.plain_service, "kind": "plain"},
        ],
        "models": [{"name": shape.model, "service": shape.model_service, "version": "1"}],
        "routes": [_route(shape)],
        "backend_servers": _backends(shape),
        "platform": {"live_list": f"{shape.network}.0.2:8500", "poll": "1s"},
        "moves": {"weigh": shape.weigh},
        "plugins": PLUGINS,
    }


def _peer(shape: Shape, index: int) -> dict[str, str]:
    peer = {
        "vm": _vm(index),
        "address": _address(shape, index, _PEERS_PORT),
        "data_centre": _data_centre(shape, index),
    }
    if index < STATE_REPLICAS:
        peer["operators"] = _address(shape, index, _OPERATORS_PORT)
    return peer


def _workspace(index: int) -> dict[str, Any]:
    name = f"workspace-{index + 1}"
    if index < LARGE_WORKSPACES:
        return {"id": name, "key_sha256": key_digest(name), "weight": 4, **_LARGE_LIMITS}
    return {"id": name, "key_sha256": key_digest(name)}


def _route(shape: Shape) -> dict[str, Any]:
    methods = {"GET": "idempotent", "POST": "non-idempotent"}
    return {"prefix": shape.prefix, "service": shape.plain_service, "methods": methods}


def _backends(shape: Shape) -> list[dict[str, Any]]:
    services = [shape.model_service] * MODEL_REPLICAS + [shape.plain_service] * PLAIN_REPLICAS
    return [
        {
            "id": f"{service}-{index + 1}",
            "address": _address(shape, 100 + index, _BACKEND_PORT),
            "service": service,
            "data_centre": _data_centre(shape, index),
            "checks_fencing": shape.checks_fencing,
        }
        for index, service in enumerate(services)
    ]


def write_examples(folder: Path) -> None:
    """Write one settings file per VM, in one subfolder per deployment."""
    for shape in SHAPES:
        target = folder / shape.deployment
        target.mkdir(parents=True, exist_ok=True)
        for vm, cfg in settings_of(shape).items():
            text = msgspec.json.format(msgspec.json.encode(cfg), indent=2)
            (target / f"{vm}.json").write_bytes(text + b"\n")


if __name__ == "__main__":
    write_examples(Path(sys.argv[1]))
