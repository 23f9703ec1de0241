import contextlib
import json
import random
import socket

import msgspec
import pytest
from nutmegdrum.errors import UserError
from nutmegdrum.moves import MoveState
from nutmegdrum.packing import pack, unpack
from nutmegdrum.rpc import CheckedHandler, RpcClient, peers_server
from nutmegdrum.settings import ControlSettings
from nutmegdrum.units import Address, Duration
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import SystemClock
from nutmegdrum_plugins.sequential_judge import SequentialJudgePlugin
from nutmegdrum_relay.document_cache import FILE, DocumentCache
from nutmegdrum_relay.replica_log import replica_vm
from nutmegdrum_relay.rollouts import OtherRollout
from nutmegdrum_relay.settings import Listen, Place, RelayRole, RelaySettings
from nutmegdrum_relay.state_role import StatePeers, StateRole
from nutmegdrum_relay.views import ControlView, CrashReport, EntryReport
from nutmegdrum_testing.relay_dialect import PlainDialect
from nutmegdrum_testing.waiting import wait_for
from nutmegdrum_wire.gen.messages.ttypes import Sender

DEPLOYMENT = "test"
CONTROL = ControlSettings(
    log_heartbeat=Duration(40), election_timeout=Duration(300), synced_data_survives=True
)

JUDGES = SequentialJudgePlugin().make


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Replica:
    """A state replica with its peers' listener."""

    def __init__(self, host, port, seeds, folder, may_found=True):
        self.address = Address(f"{host}:{port}")
        control = ControlSettings(
            log_heartbeat=CONTROL.log_heartbeat,
            election_timeout=CONTROL.election_timeout,
            synced_data_survives=True,
            may_found=may_found,
        )
        cfg = RelaySettings(
            deployment=DEPLOYMENT,
            role=RelayRole.STATE,
            place=Place(name=host, data_centre="dc", region="region"),
            listen=Listen(peers=self.address, metrics=Address(f"{host}:0")),
            state_seeds=tuple(Address(f"{seed}:1") for seed in seeds),
            data_folder=str(folder),
            control=control,
        )
        self.cfg = cfg
        vm = replica_vm(self.address)
        rpc = RpcClient(Sender(DEPLOYMENT, vm, "incarnation"))
        rng = random.Random(vm)
        self.state = StateRole(cfg, SystemClock(), rng, rpc, PlainDialect(), "1", JUDGES)
        guard = CheckedHandler(StatePeers(self.state), DEPLOYMENT, self.state.leader)
        self.server = peers_server(self.address, guard)
        wait_for(self._bind)
        self.state.start()
        self.server.start()

    def _bind(self):
        try:
            self.server.bind()
        except OSError:
            return False
        return True

    def leads(self):
        return self.state._log.is_leader()

    def stop(self):
        self.server.stop()
        # Wakes the thread that still accepts, so that the address is free for a successor.
        with (
            contextlib.suppress(OSError),
            socket.create_connection((self.address.host, self.address.port), 1),
        ):
            pass
        self.state.stop()


SEEDS = ["127.0.0.1", "127.0.0.2", "127.0.0.3"]


@pytest.fixture
def cluster(tmp_path):
    port = free_port()
    replicas = [Replica(host, port, SEEDS, tmp_path / host) for host in SEEDS]
    yield replicas
    for replica in replicas:
        replica.stop()


def put(replica, source: bytes) -> bool:
    try:
        replica.state.put_document(source)
    except v.Refusal:
        return False
    return True


def newest(replica) -> bytes | None:
    try:
        return replica.state.newest_document()
    except v.Refusal:
        return None


class TestDocuments:
    def test_a_document_put_at_any_replica_is_read_at_all(self, cluster):
        wait_for(lambda: any(r.leads() for r in cluster))
        for version, replica in enumerate(cluster, start=1):
            source = b'{"version": %d}' % version
            wait_for(lambda r=replica, s=source: put(r, s))
            for reader in cluster:
                assert wait_for(lambda r=reader: newest(r)) == source

    def test_resend_is_acknowledged_and_other_content_refused(self, cluster):
        wait_for(lambda: put(cluster[0], b'{"version": 3}'))
        wait_for(lambda: put(cluster[1], b'{"version": 3}'))
        wait_for(lambda: put(cluster[2], b'{"version": 2}'))
        with pytest.raises(UserError, match="holds version 3"):
            wait_for(lambda: put(cluster[0], b'{"version": 3 }'))
        assert wait_for(lambda: newest(cluster[0])) == b'{"version": 3}'


def view_of(replica, version=0) -> ControlView:
    report = EntryReport(vm="entry", version=version, wait_ms=0)
    return unpack(replica.state.heartbeat(pack(report)), ControlView)


class TestViews:
    def test_a_restarted_replica_tells_the_last_committed_document_before_an_election(
        self, cluster, tmp_path
    ):
        # ksh-fleet, scale-1: after all processes were killed, 44 requests were refused until
        # a leader was elected.
        wait_for(lambda: put(cluster[0], b'{"version": 3}'))
        wait_for(lambda: (tmp_path / SEEDS[0] / FILE).exists())
        port = cluster[0].address.port
        for replica in cluster:
            replica.stop()
        alone = Replica(SEEDS[0], port, SEEDS, tmp_path / SEEDS[0], may_found=False)
        view = view_of(alone)
        assert (view.fresh, view.version, view.source) == (False, 3, b'{"version": 3}')
        assert view_of(alone, version=3).source == b""
        with pytest.raises(v.Refusal):
            alone.state.newest_document()
        alone.stop()


class TestMembership:
    def test_a_replica_at_another_address_takes_the_place_of_a_lost_one(self, cluster, tmp_path):
        wait_for(lambda: put(cluster[0], b'{"version": 3}'))
        lost = next(replica for replica in cluster if not replica.leads())
        lost.stop()
        rest = [replica for replica in cluster if replica is not lost]
        host = "127.0.0.4"
        port = lost.address.port
        new = Replica(host, port, SEEDS, tmp_path / host, may_found=False)
        voters = lambda: {m.vm for m in rest[0].state._log.members().voters}  # noqa: E731
        expected = {replica_vm(replica.address) for replica in (*rest, new)}
        wait_for(lambda: voters() == expected, timeout_s=30)
        assert wait_for(lambda: newest(new)) == b'{"version": 3}'
        new.stop()

    def test_a_replaced_replica_is_admitted_again_when_it_comes_back(self, cluster, tmp_path):
        wait_for(lambda: put(cluster[0], b'{"version": 3}'))
        lost = next(replica for replica in cluster if not replica.leads())
        lost.stop()
        rest = [replica for replica in cluster if replica is not lost]
        port = lost.address.port
        new = Replica("127.0.0.4", port, SEEDS, tmp_path / "new", may_found=False)
        voters = lambda: {m.vm for m in rest[0].state._log.members().voters}  # noqa: E731
        lost_vm = replica_vm(lost.address)
        wait_for(lambda: replica_vm(new.address) in voters(), timeout_s=30)
        wait_for(lambda: lost_vm not in voters(), timeout_s=30)
        host = lost.address.host
        back = Replica(host, port, SEEDS, tmp_path / host, may_found=False)
        wait_for(lambda: lost_vm in voters(), timeout_s=30)
        back.stop()
        new.stop()

    def test_a_lost_disk_founds_no_second_cluster(self, cluster, tmp_path):
        wait_for(lambda: put(cluster[0], b'{"version": 3}'))
        lost = next(replica for replica in cluster if not replica.leads())
        lost.stop()
        host = lost.address.host
        again = Replica(host, lost.address.port, SEEDS, tmp_path / "new", may_found=False)
        assert wait_for(lambda: newest(again)) == b'{"version": 3}'
        again.stop()


DOCUMENT = json.dumps({"version": 1, "services": [{"name": "svc"}]}).encode()


def started(replica, target="v2") -> bool:
    try:
        replica.state.start_rollout("svc", target, Duration(60_000))
    except v.Refusal:
        return False
    return True


def shown(replica):
    try:
        return replica.state.rollout("svc")
    except v.Refusal:
        return None


def ask(replica, **fields) -> ControlView:
    report = EntryReport(vm="e", version=9, wait_ms=0, **fields)
    return unpack(replica.state.heartbeat(pack(report)), ControlView)


class TestRollouts:
    @pytest.fixture
    def ready(self, cluster):
        wait_for(lambda: any(r.leads() for r in cluster))
        wait_for(lambda: put(cluster[0], DOCUMENT))
        return cluster

    def test_an_order_to_any_replica_is_read_at_all_and_repeated_at_each(self, ready):
        wait_for(lambda: started(ready[1]))
        for replica in ready:
            rollout = wait_for(lambda r=replica: shown(r))
            assert (rollout.target, rollout.state) == ("v2", MoveState.TRIAL)
            wait_for(lambda r=replica: started(r))
            assert wait_for(lambda r=replica: shown(r)).number == rollout.number

    def test_another_order_in_progress_is_refused_at_each(self, ready):
        wait_for(lambda: started(ready[0]))
        for replica in ready:
            with pytest.raises(OtherRollout):
                wait_for(lambda r=replica: started(r, target="v3"))

    @pytest.mark.parametrize(
        ("service", "target", "ms"),
        [("other", "v2", 1_000), ("svc", "", 1_000), ("svc", "v2", 0), ("svc", "v2", 1 << 70)],
    )
    def test_an_invalid_order_is_refused(self, ready, service, target, ms):
        def refused():
            try:
                ready[0].state.start_rollout(service, target, Duration(ms))
            except UserError:
                return True
            except v.Refusal:
                return False
            raise AssertionError("an invalid order was accepted")

        assert wait_for(refused)

    def test_entry_vms_are_told_and_grants_come_from_a_leader_only(self, ready):
        wait_for(lambda: started(ready[0]))
        for replica in ready:
            view = wait_for(lambda r=replica: (v := ask(r)).shares is not None and v)
            (share,) = view.shares.shares
            assert (share.service, share.trial, share.share_ppm) == ("svc", "v2", 0)
            assert ask(replica, shares=view.shares.number).shares is None

    def test_an_order_outlives_all_replicas(self, tmp_path):
        port = free_port()
        replicas = [Replica(host, port, SEEDS, tmp_path / host) for host in SEEDS]
        wait_for(lambda: any(r.leads() for r in replicas))
        wait_for(lambda: put(replicas[0], DOCUMENT))
        wait_for(lambda: started(replicas[0]))
        for replica in replicas:
            wait_for(lambda r=replica: r.state._shares().shares)
            cache = DocumentCache(tmp_path / replica.address.host)
            wait_for(lambda c=cache: c.load().shares.shares)
        for replica in replicas:
            replica.stop()
        # One alone elects nobody, and yet says which version may not be used freely.
        alone = Replica(SEEDS[0], port, SEEDS, tmp_path / SEEDS[0])
        view = ask(alone)
        assert not view.fresh
        assert [share.trial for share in view.shares.shares] == ["v2"]
        others = [Replica(host, port, SEEDS, tmp_path / host) for host in SEEDS[1:]]
        assert wait_for(lambda: shown(alone)).target == "v2"
        for replica in [alone, *others]:
            replica.stop()


class TestSettings:
    def test_a_newcomer_whose_seeds_are_gone_is_admitted_by_new_ones(self, cluster, tmp_path):
        wait_for(lambda: any(r.leads() for r in cluster))
        port = cluster[0].address.port
        gone = ["127.0.0.8"]
        newcomer = Replica("127.0.0.4", port, gone, tmp_path / "newcomer", may_found=False)
        try:
            wait_for(lambda: put(cluster[0], DOCUMENT))
            assert newcomer.state._newest().version == 0
            seeds = tuple(Address(f"{seed}:1") for seed in SEEDS)
            newcomer.state.apply_settings(msgspec.structs.replace(newcomer.cfg, state_seeds=seeds))
            wait_for(lambda: newcomer.state._newest().version == 1)
        finally:
            newcomer.stop()


class TestCrashingRequests:
    def test_three_crashes_told_to_leaders_are_known_at_all_and_outlive_one(self, cluster):
        def tell(number):
            crash = CrashReport("f", f"b{number}", 0, 0)
            return any(ask(r, crashes=(crash,)).fresh for r in cluster)

        wait_for(lambda: any(r.leads() for r in cluster))
        for number in range(3):
            wait_for(lambda n=number: tell(n))
            if number == 1:
                wait_for(lambda: any(ask(r).suspects == ("f",) for r in cluster))
        told = wait_for(lambda: next((q for r in cluster if (q := ask(r).quarantined)), None))
        assert told[0].fingerprint == "f"
        leader = next(r for r in cluster if r.leads())
        leader.state.stop()
        others = [r for r in cluster if r is not leader]
        wait_for(lambda: any(ask(r).fresh and ask(r).quarantined for r in others))

    def test_a_run_that_went_well_clears_a_suspect(self, cluster):
        wait_for(lambda: any(r.leads() for r in cluster))
        for number in range(2):
            crash = CrashReport("f", f"b{number}", 0, 0)
            wait_for(lambda c=crash: any(ask(r, crashes=(c,)).fresh for r in cluster))
        wait_for(lambda: any(ask(r).suspects for r in cluster))
        wait_for(lambda: any(ask(r, cleared=("f",)).fresh for r in cluster))
        wait_for(lambda: not any(ask(r).suspects for r in cluster))
