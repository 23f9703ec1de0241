"""Selection of the VMs that hold the copies of a stream."""

from collections.abc import Collection, Sequence

import xxhash
from nutmegdrum_coord.ids import DataCentre, IdempotencyKey, VmId, WorkspaceId

from nutmegdrum.settings import PeerSettings


class HolderChoice:
    """Selects the entry VMs that hold copies.

    The VMs that follow this one in a ring are preferred. Each VM thus writes to few others, which
    keeps batches large, and all VMs hold about the same number of copies.

    Parameters
    ----------
    vm : VmId
        This VM.
    data_centre : DataCentre
        Data centre of this VM; copies go to other data centres if possible.
    entry_vms : sequence of PeerSettings
        All entry VMs.
    """

    def __init__(self, vm: VmId, data_centre: DataCentre, entry_vms: Sequence[PeerSettings]):
        others = sorted((peer for peer in entry_vms if peer.vm != vm), key=lambda peer: peer.vm)
        after = [peer for peer in others if peer.vm > vm]
        before = [peer for peer in others if peer.vm < vm]
        self._ring = after + before
        self._data_centres = {peer.vm: peer.data_centre for peer in self._ring}
        self._vm = vm
        self._data_centre = data_centre

    @property
    def others(self) -> list[VmId]:
        """Return all other entry VMs in ring order."""
        return [peer.vm for peer in self._ring]

    def choose(
        self, count: int, down: Collection[VmId], holders_so_far: Sequence[VmId] = ()
    ) -> list[VmId]:
        """Return `holders_so_far` and further VMs that are not `down`, at most `count` in total."""
        holders = list(holders_so_far)
        while len(holders) < count:
            vm = self._next_holder(holders, down)
            if vm is None:
                break
            holders.append(vm)
        return holders

    def _next_holder(self, holders: Sequence[VmId], down: Collection[VmId]) -> VmId | None:
        free = [vm for vm in self.others if vm not in holders and vm not in down]
        used = {
            self._data_centre,
            *(self._data_centres[vm] for vm in holders if vm in self._data_centres),
        }
        return min(free, key=lambda vm: self._data_centres[vm] in used, default=None)

    def ranked_for_key(self, workspace: WorkspaceId, key: IdempotencyKey) -> list[VmId]:
        """Return all entry VMs, including this one, in an order that is the same at every VM."""
        return sorted(
            [self._vm, *self.others],
            key=lambda vm: xxhash.xxh64_intdigest(f"{workspace}/{key}/{vm}".encode()),
        )
