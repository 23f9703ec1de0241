"""Entry VMs in one thread: real journals, writers and readers on a simulated faulty network."""

import random
from concurrent.futures import Executor, Future

from nutmegdrum.holders import HolderChoice
from nutmegdrum.journal_messages import EpochStart, Position, StreamHead, epoch_at, next_epoch
from nutmegdrum.journal_reader import JournalReader
from nutmegdrum.journal_service import JournalService
from nutmegdrum.journal_writer import JournalWriter
from nutmegdrum.messages import Finish, FinishReason, GenerationRequest, Token
from nutmegdrum.rpc import PeerUnreachable
from nutmegdrum.session import Session
from nutmegdrum.settings import PeerSettings
from nutmegdrum.streams import Stream, StreamState
from nutmegdrum.units import Address
from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_coord.ids import (
    BackendId,
    DataCentre,
    Epoch,
    GenerationId,
    IdempotencyKey,
    ModelName,
    VersionName,
    VmId,
    WorkspaceId,
)

from nutmegdrum_testing.tokens import next_token

PROMPT = "p"
WORKSPACE = WorkspaceId("w")
COPIES = 2
REQ = GenerationRequest(
    workspace=WORKSPACE,
    model=ModelName("m"),
    prompt=PROMPT,
    max_tokens=10_000,
    seed=1,
    key=IdempotencyKey("k"),
)


class InlineExecutor(Executor):
    """Executor that runs each call immediately in the caller's thread."""

    def submit(self, fn, /, *args, **kwargs):
        """Run `fn` and return its result as a future."""
        future = Future()
        future.set_result(fn(*args, **kwargs))
        return future


class Node:
    """One entry VM."""

    def __init__(self, world, vm):
        self.vm = vm
        choice = HolderChoice(vm, world.place(vm), world.peers)
        others = [peer for peer in world.peers if peer.vm != vm]
        self.service = JournalService(world.clock, 1 << 40, lambda generation: None)
        self.writer = JournalWriter(vm, choice, COPIES, lambda holder: None)
        self.reader = JournalReader(
            vm,
            others,
            Calls(world, vm),
            self.service,
            choice,
            world.rng,
            100,
            InlineExecutor(),
        )
        self.choice = choice


class Calls:
    """The reader's calls to other VMs; `world.interrupt` runs before each call."""

    def __init__(self, world, source):
        self._world = world
        self._source = source

    def call(self, address, method, *args, timeout_ms):
        """Call a journal directly, or raise PeerUnreachable if the link is cut or a VM is down."""
        self._world.interrupt()
        target = self._world.vm_at(address)
        if not self._world.linked(self._source, target):
            raise PeerUnreachable(address, sent=True)
        service = self._world.nodes[target].service
        if method == "take_over_stream":
            return service.take_over_stream(self._source, *args)
        return getattr(service, method)(*args)


class Caller:
    """Tokens that one caller has received, and the position it reads from next."""

    def __init__(self):
        self.tokens = []
        self.position = Position(0)
        self.session = None
        self.finished = False

    def take(self, session):
        """Receive all items that the session has released."""
        assert session.covers(self.position)
        for item in session.batch(self.position.next_index):
            if isinstance(item, Finish):
                self.finished = True
                assert item.count == len(self.tokens)
            else:
                assert item.index == len(self.tokens)
                self.tokens.append(item.text)
                epoch = epoch_at(session.lineage, item.index)
                self.position = Position(item.index + 1, epoch)


class World:
    """All VMs, the links between them, and the sessions that any VM believes it owns."""

    def __init__(self, count, seed):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.vms = [VmId(f"n{i}") for i in range(count)]
        self.peers = [
            PeerSettings(
                vm=vm, address=Address(f"127.0.0.1:{1000 + i}"), data_centre=self.place(vm)
            )
            for i, vm in enumerate(self.vms)
        ]
        self.nodes = {vm: Node(self, vm) for vm in self.vms}
        self.cut = set()
        self.down = set()
        self.sessions = []
        self.late = []
        self.interrupt = lambda: None

    def place(self, vm):
        """Return a VM's data centre."""
        return DataCentre(f"dc{int(vm[1:]) % 3}")

    def vm_at(self, address):
        """Return the VM with the address."""
        return next(peer.vm for peer in self.peers if peer.address == address)

    def linked(self, source, target):
        """Return whether a call from `source` reaches `target`."""
        cut = frozenset((source, target)) in self.cut
        return not cut and source not in self.down and target not in self.down

    def claim(self, vm):
        """Claim the key at `vm` and start a stream if it was free.

        Return the generation that holds the key, and whether it is new.
        """
        node = self.nodes[vm]
        generation = GenerationId(f"{self.rng.getrandbits(128):032x}")
        epoch = next_epoch(Epoch(0), self.rng)
        head = StreamHead(request=REQ, lineage=[EpochStart(epoch, 0)])
        known = node.reader.claim_key(generation, REQ, head, epoch, COPIES + 1)
        if known is not None:
            return GenerationId(known.generation), False
        self.own(vm, Session(Stream(REQ, generation, epoch, 99), head, [], self.clock))
        return generation, True

    def start(self, vm):
        """Start a stream at `vm` without claiming the key."""
        generation = GenerationId(f"{self.rng.getrandbits(128):032x}")
        epoch = next_epoch(Epoch(0), self.rng)
        head = StreamHead(request=REQ, lineage=[EpochStart(epoch, 0)])
        return self.own(vm, Session(Stream(REQ, generation, epoch, 99), head, [], self.clock))

    def own(self, vm, session):
        """Make `vm` the owner of a session and replicate its stream to holders."""
        self.sessions.append((vm, session))
        holders = [holder for holder in session.holders if holder != vm]
        self.nodes[vm].writer.start(session.journalled, holders[:COPIES])
        return session

    def take_over(self, vm, generation, position):
        """Transfer ownership of a stream to `vm`; raises Refusal if that is not possible."""
        taken = self.nodes[vm].reader.take_over(generation, WORKSPACE, position)
        finish = Finish(FinishReason.STOP, len(taken.tokens)) if taken.finish_reason else None
        stream = Stream(
            taken.head.request,
            generation,
            taken.epoch,
            99,
            version=taken.head.version,
            tokens=taken.tokens,
            finish=finish,
        )
        session = Session(stream, taken.head, taken.holders, self.clock, len(taken.tokens))
        return session if finish else self.own(vm, session)

    def produce(self, vm, session, count, finish=False):
        """Add `count` tokens from the session's engine; an idle session starts an attempt first."""
        stream = session.stream
        if session.journalled.superseded or stream.state is StreamState.FINISHED:
            return
        if stream.state is StreamState.IDLE:
            stream.begin(BackendId("b"), VersionName("1"))
            stream.nonce = f"{self.rng.getrandbits(24):06x}"
        previous = stream.tokens[-1] if stream.tokens else PROMPT
        items = []
        for index in range(len(stream.tokens), len(stream.tokens) + count):
            previous = next_token(previous, stream.nonce, index)
            items.append(Token(index, previous))
        if finish:
            items.append(Finish(FinishReason.STOP, len(stream.tokens) + count))
        stream.accept(stream.attempt, items)
        self.nodes[vm].writer.submit(session.journalled, "stop" if finish else "")

    def send(self, vm, target, lost="", late=False):
        """Deliver the writer's next batch to `target`.

        `lost` is "request" or "answer" if that message is lost; a lost request that is `late`
        can be delivered later by `arrive`.
        """
        writer = self.nodes[vm].writer
        if target in writer.down:
            if self.linked(vm, target):
                writer.on_holder_back(target)
            return
        work = writer.next_batch(target)
        if not work:
            return
        if lost == "request" or not self.linked(vm, target):
            if late:
                self.late.append((target, work))
            writer.on_holder_lost(target)
            return
        service = self.nodes[target].service
        copies = [service.open_stream(opened) for opened in work.opens]
        results = service.append_streams(work.appends)
        if lost == "answer":
            writer.on_holder_lost(target)
            return
        for mark, copy in zip(work.opened, copies, strict=True):
            writer.on_opened(target, mark, copy)
        writer.on_appended(target, work.appended, results)

    def arrive(self, number):
        """Deliver a late request after its sender has given up on it."""
        target, work = self.late.pop(number)
        service = self.nodes[target].service
        for opened in work.opens:
            service.open_stream(opened)
        service.append_streams(work.appends)

    def settle(self, vm):
        """Deliver all pending batches of `vm`."""
        for _ in range(6):
            for target in self.vms:
                if target != vm:
                    self.send(vm, target)

    def crash(self, vm):
        """Restart a VM with empty memory."""
        self.nodes[vm] = Node(self, vm)
        self.sessions = [(owner, session) for owner, session in self.sessions if owner != vm]
