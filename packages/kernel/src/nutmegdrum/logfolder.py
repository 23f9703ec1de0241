"""Opening a replica's data folder, and setting aside one that cannot be trusted."""

import logging
import os
import secrets
from pathlib import Path

from nutmegdrum_coord.ids import IncarnationId
from nutmegdrum_coord.logeffects import Saved
from nutmegdrum_coord.logstore import CorruptStore, LogStore, sync_folder

log = logging.getLogger(__name__)

INCARNATION_BYTES = 8
_BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
_FOUNDER = "founder"
"""Marker file next to the log's folder on VMs that took part in the deployment's first start."""


def open_folder(
    folder: Path, may_found: bool = True, synced_data_survives: bool = False
) -> tuple[LogStore, IncarnationId, Saved]:
    """Open the log's files, or create them for a new incarnation if none can be trusted.

    Parameters
    ----------
    may_found : bool
        Whether an empty folder means that this is the deployment's first start. If false, a
        replica whose disk was lost never founds a second cluster but waits to be admitted.
    synced_data_survives : bool
        Durability of the disk, see `LogStore`.

    Returns
    -------
    store, incarnation, saved
        The open files, the incarnation that owns them, and their content.
    """
    boot = _BOOT_ID.read_text().strip()
    if may_found:
        _write_founder_marker(folder)
    store = LogStore(folder, boot, synced_data_survives)
    try:
        identity = store.identity()
        if identity is not None:
            return store, identity.incarnation, store.load(new=_may_found_cluster(folder))
        if store.holds_state():
            raise CorruptStore("identity: missing")
    except CorruptStore as exc:
        store.close()
        log.error("setting the damaged data folder aside and starting as a new member: %s", exc)
        retire_folder(folder)
    incarnation = IncarnationId(secrets.token_hex(INCARNATION_BYTES))
    store = LogStore(folder, boot, synced_data_survives)
    store.create(incarnation)
    return store, incarnation, store.load(new=_may_found_cluster(folder))


def retire_folder(folder: Path) -> None:
    """Rename a folder so that its data stays available for a manual recovery."""
    number = len(_retired_folders(folder)) + 1
    folder.rename(folder.with_name(f"{folder.name}.retired-{number}"))
    sync_folder(folder.parent)


def _write_founder_marker(folder: Path) -> None:
    folder.parent.mkdir(parents=True, exist_ok=True)
    marker = folder.with_name(_FOUNDER)
    if not marker.exists() and not folder.exists():
        with marker.open("wb") as file:
            file.write(_FOUNDER.encode())
            file.flush()
            os.fsync(file.fileno())
        sync_folder(folder.parent)


def _may_found_cluster(folder: Path) -> bool:
    return folder.with_name(_FOUNDER).exists() and not _retired_folders(folder)


def _retired_folders(folder: Path) -> list[Path]:
    return list(folder.parent.glob(f"{folder.name}.retired-*"))
