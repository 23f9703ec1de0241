"""Which incarnation a replica's data folder holds, and setting a folder aside."""

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
"""File beside the log's folder of a VM that took part in the deployment's first start."""


def open_folder(
    folder: Path, may_found: bool = True, synced_data_survives: bool = False
) -> tuple[LogStore, IncarnationId, Saved]:
    """Open the log's files, as a new incarnation if there are none that can be trusted.

    Parameters
    ----------
    may_found : bool
        Whether an empty folder is one of the deployment's first start. With false, a replica
        whose disk was lost never founds a second cluster; it waits to be admitted.
    synced_data_survives : bool
        What the disk promises, as `LogStore` says.

    Returns
    -------
    store, incarnation, saved
        The files, whose they are, and what they hold.
    """
    boot = _BOOT_ID.read_text().strip()
    if may_found:
        _mark_founder(folder)
    store = LogStore(folder, boot, synced_data_survives)
    try:
        identity = store.identity()
        if identity is not None:
            return store, identity.incarnation, store.load(new=_may_form(folder))
        if store.holds_state():
            raise CorruptStore("identity: missing")
    except CorruptStore as exc:
        store.close()
        log.error("data folder is set aside, this replica starts as a new member: %s", exc)
        retire_folder(folder)
    incarnation = IncarnationId(secrets.token_hex(INCARNATION_BYTES))
    store = LogStore(folder, boot, synced_data_survives)
    store.create(incarnation)
    return store, incarnation, store.load(new=_may_form(folder))


def retire_folder(folder: Path) -> None:
    """Set a folder aside under another name, so that nothing is lost that might be needed."""
    number = len(_retired(folder)) + 1
    folder.rename(folder.with_name(f"{folder.name}.retired-{number}"))
    sync_folder(folder.parent)


def _mark_founder(folder: Path) -> None:
    folder.parent.mkdir(parents=True, exist_ok=True)
    marker = folder.with_name(_FOUNDER)
    if not marker.exists() and not folder.exists():
        with marker.open("wb") as file:
            file.write(_FOUNDER.encode())
            file.flush()
            os.fsync(file.fileno())
        sync_folder(folder.parent)


def _may_form(folder: Path) -> bool:
    return folder.with_name(_FOUNDER).exists() and not _retired(folder)


def _retired(folder: Path) -> list[Path]:
    return list(folder.parent.glob(f"{folder.name}.retired-*"))
