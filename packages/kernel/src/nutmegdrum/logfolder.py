"""Which incarnation a replica's data folder holds, and setting a folder aside."""

import logging
import secrets
from pathlib import Path

from nutmegdrum_coord.ids import IncarnationId
from nutmegdrum_coord.logeffects import Saved
from nutmegdrum_coord.logstore import Damaged, LogStore, sync_folder

log = logging.getLogger(__name__)

INCARNATION_BYTES = 8
_BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


def open_folder(folder: Path) -> tuple[LogStore, IncarnationId, Saved]:
    """Open the log's files, as a new incarnation if there are none that can be trusted.

    Returns
    -------
    store, incarnation, saved
        The files, whose they are, and what they hold.
    """
    boot = _BOOT_ID.read_text().strip()
    store = LogStore(folder, boot)
    try:
        identity = store.identity()
        if identity is not None:
            return store, identity.incarnation, store.load(new=not _has_retired(folder))
        if store.holds_state():
            raise Damaged("identity: missing")
    except Damaged as exc:
        store.close()
        log.error("data folder is set aside, this replica starts as a new member: %s", exc)
        retire_folder(folder)
    incarnation = IncarnationId(secrets.token_hex(INCARNATION_BYTES))
    store = LogStore(folder, boot)
    store.create(incarnation)
    return store, incarnation, store.load(new=not _has_retired(folder))


def retire_folder(folder: Path) -> None:
    """Set a folder aside under another name, so that nothing is lost that might be needed."""
    number = len(_retired(folder)) + 1
    folder.rename(folder.with_name(f"{folder.name}.retired-{number}"))
    sync_folder(folder.parent)


def _has_retired(folder: Path) -> bool:
    return bool(_retired(folder))


def _retired(folder: Path) -> list[Path]:
    return list(folder.parent.glob(f"{folder.name}.retired-*"))
