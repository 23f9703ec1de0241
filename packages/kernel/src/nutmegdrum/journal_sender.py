"""Threads that carry the journal writer's work to the holders.

One thread a holder sends what all streams have for it, in one call, every few ms.
"""

import threading
from collections.abc import Sequence
from typing import Any

from nutmegdrum_coord.ids import VmId
from nutmegdrum_coord.verdict import Refusal

from nutmegdrum import metrics
from nutmegdrum.holders import HolderChoice
from nutmegdrum.journal_messages import StreamHead
from nutmegdrum.journal_writer import JournalledStream, JournalWriter, Work
from nutmegdrum.rpc import PeerUnreachable, RpcClient
from nutmegdrum.settings import PeerSettings, StreamSettings

_PROBE_MS = 1_000
_MS_PER_S = 1_000


class JournalSender:
    """Thread-safe writer of all streams of a daemon.

    Parameters
    ----------
    peers : sequence of PeerSettings
        Entry VMs that can hold copies, without this one.
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
        """Let the threads end."""
        self._stopped.set()
        for event in self._events.values():
            event.set()

    def down(self) -> set[VmId]:
        """Return the VMs that did not answer last."""
        with self._lock:
            return set(self._writer.down)

    def begin(self, stream: JournalledStream, holders: Sequence[VmId]) -> None:
        """Start to copy a stream to `holders`."""
        with self._lock:
            self._writer.start(stream, holders)

    def end(self, stream: JournalledStream) -> None:
        """Stop to copy a stream; its copies stay until they expire."""
        with self._lock:
            self._writer.stop(stream)

    def submit(self, stream: JournalledStream, finish_reason: str = "") -> int:
        """Have the stream's new tokens copied and return the submission's number."""
        with self._lock:
            self._writer.submit(stream, finish_reason)
            return stream.number

    def replace_head(self, stream: JournalledStream, head: StreamHead) -> None:
        """Have a stream's new head copied."""
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
                work = self._writer.next_batch(vm)
            if down:
                self._probe(vm)
            elif work:
                self._send(vm, work)

    def _probe(self, vm: VmId) -> None:
        """Ask a VM that was lost whether it is back, at intervals."""
        try:
            self._call(vm, "append_streams", [])
        except (PeerUnreachable, Refusal):
            self._stopped.wait(_PROBE_MS / _MS_PER_S)
            return
        with self._lock:
            self._writer.on_holder_back(vm)

    def _send(self, vm: VmId, work: Work) -> None:
        try:
            self._send_opens(vm, work)
            self._send_appends(vm, work)
        except (PeerUnreachable, Refusal):
            metrics.HOLDERS_LOST.inc()
            with self._lock:
                self._writer.on_holder_lost(vm)

    def _send_opens(self, vm: VmId, work: Work) -> None:
        for opened, mark in zip(work.opens, work.opened, strict=True):
            copy = self._call(vm, "open_stream", opened)
            with self._lock:
                self._writer.on_opened(vm, mark, copy)

    def _send_appends(self, vm: VmId, work: Work) -> None:
        if not work.appends:
            return
        results = self._call(vm, "append_streams", work.appends)
        metrics.JOURNAL_APPENDS.inc(len(results))
        with self._lock:
            self._writer.on_appended(vm, work.appended, results)

    def _call(self, vm: VmId, method: str, argument: Any) -> Any:
        timeout_ms = int(self._cfg.journal_timeout)
        return self._rpc.call(self._addresses[vm], method, argument, timeout_ms=timeout_ms)
