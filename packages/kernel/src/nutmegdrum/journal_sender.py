"""Threads that send the journal writer's messages to the holders.

One thread per holder sends the messages of all streams in one call, every few ms.
"""

import threading
from collections.abc import Sequence
from typing import Any

from nutmegdrum_coord.ids import VmId
from nutmegdrum_coord.verdict import Refusal

from nutmegdrum import metrics
from nutmegdrum.holders import HolderChoice
from nutmegdrum.journal_messages import StreamHead
from nutmegdrum.journal_writer import HolderBatch, JournalledStream, JournalWriter
from nutmegdrum.rpc import PeerUnreachable, RpcClient
from nutmegdrum.settings import PeerSettings, StreamSettings

_PROBE_MS = 1_000
"""Interval of probes to a holder that is down, in ms."""

_MS_PER_S = 1_000


class JournalSender:
    """Thread-safe wrapper of `JournalWriter` with one sending thread per holder.

    Parameters
    ----------
    peers : sequence of PeerSettings
        Other entry VMs, which can hold copies.
    """

    def __init__(
        self,
        vm: VmId,
        cfg: StreamSettings,
        rpc: RpcClient,
        peers: Sequence[PeerSettings],
        choice: HolderChoice,
    ):
        self._cfg = cfg
        self._rpc = rpc
        self._lock = threading.Lock()
        self._events = {peer.vm: threading.Event() for peer in peers}
        self._addresses = {peer.vm: peer.address for peer in peers}
        self._writer = JournalWriter(vm, choice, cfg.journal_copies, self._wake)
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start one thread for each peer."""
        for vm in self._events:
            threading.Thread(
                target=self._run, args=(vm,), name=f"journal-{vm}", daemon=True
            ).start()

    def stop(self) -> None:
        """Signal the threads to end."""
        self._stopped.set()
        for event in self._events.values():
            event.set()

    def down(self) -> set[VmId]:
        """Return the VMs that did not answer their last call."""
        with self._lock:
            return set(self._writer.down)

    def begin(self, stream: JournalledStream, holders: Sequence[VmId]) -> None:
        """Start replicating a stream to `holders`."""
        with self._lock:
            self._writer.start(stream, holders)

    def end(self, stream: JournalledStream) -> None:
        """Stop replicating a stream; its copies remain until they expire."""
        with self._lock:
            self._writer.stop(stream)

    def submit(self, stream: JournalledStream, finish_reason: str = "") -> int:
        """Submit the stream's new tokens and return the submission's number."""
        with self._lock:
            self._writer.submit(stream, finish_reason)
            return stream.number

    def replace_head(self, stream: JournalledStream, head: StreamHead) -> None:
        """Replace a stream's head at its holders."""
        with self._lock:
            self._writer.replace_head(stream, head)

    def _wake(self, vm: VmId) -> None:
        event = self._events[vm]
        if not event.is_set():
            event.set()

    def _run(self, vm: VmId) -> None:
        event = self._events[vm]
        while not self._stopped.is_set():
            event.wait(_PROBE_MS / _MS_PER_S)
            self._stopped.wait(self._cfg.journal_batch / _MS_PER_S)
            event.clear()
            with self._lock:
                down = vm in self._writer.down
                batch = self._writer.next_batch(vm)
            if down:
                self._probe(vm)
            elif batch:
                self._send(vm, batch)

    def _probe(self, vm: VmId) -> None:
        """Probe a VM that is down and use it again once it answers."""
        try:
            self._call(vm, "append_streams", [])
        except (PeerUnreachable, Refusal):
            self._stopped.wait(_PROBE_MS / _MS_PER_S)
            return
        with self._lock:
            self._writer.on_holder_back(vm)

    def _send(self, vm: VmId, batch: HolderBatch) -> None:
        try:
            self._send_opens(vm, batch)
            self._send_appends(vm, batch)
        except (PeerUnreachable, Refusal):
            metrics.HOLDERS_LOST.inc()
            with self._lock:
                self._writer.on_holder_lost(vm)

    def _send_opens(self, vm: VmId, batch: HolderBatch) -> None:
        for opened, position in zip(batch.opens, batch.opened, strict=True):
            copy = self._call(vm, "open_stream", opened)
            with self._lock:
                self._writer.on_opened(vm, position, copy)

    def _send_appends(self, vm: VmId, batch: HolderBatch) -> None:
        if not batch.appends:
            return
        results = self._call(vm, "append_streams", batch.appends)
        metrics.JOURNAL_APPENDS.inc(len(results))
        with self._lock:
            self._writer.on_appended(vm, batch.appended, results)

    def _call(self, vm: VmId, method: str, argument: Any) -> Any:
        timeout_ms = int(self._cfg.journal_timeout)
        return self._rpc.call(self._addresses[vm], method, argument, timeout_ms=timeout_ms)
