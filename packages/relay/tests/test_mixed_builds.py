"""Messages between this build and the last landing's (22ff75e), declared here as they were there.

While VMs are replaced one after the other, builds of both run side by side.
"""

import http.client

import msgspec
import pytest
from nutmegdrum.packing import pack, unpack
from nutmegdrum.peer_directory import PeerAddress
from nutmegdrum.rate_limits import AnnouncedLimit
from nutmegdrum.units import Address
from nutmegdrum_relay.compressed import compress
from nutmegdrum_relay.views import (
    ControlView,
    CrashReport,
    EntryReport,
    Quarantined,
    SharedListing,
    SoundPart,
    VersionSample,
    VersionShare,
    VersionShares,
    Work,
)
from nutmegdrum_scheduling.resends.budget import RetryLimits
from nutmegdrum_scheduling.resends.leases import ResendCounts
from nutmegdrum_testing.relay_calls import answers, cut_off, get, headers
from nutmegdrum_testing.relay_world import RelayWorld, document, listed
from nutmegdrum_testing.scripted_backend import ScriptedBackend


class OldLimit(msgspec.Struct, frozen=True, array_like=True):
    per_s: float | None
    ms_ago: int
    max_rejected: int | None = None


class OldWork(msgspec.Struct, frozen=True, array_like=True):
    unread: int = 0
    resident: int = 0
    copied: int = 0


class OldSample(msgspec.Struct, kw_only=True):
    requests: int = 0
    errors: int = 0
    crashes: int = 0
    truncated: int = 0
    wrong: int = 0
    first_token_ms: list[int] = []
    token_gap_ms: list[int] = []
    service: str
    route: str
    version: str
    load_permille: int = 0
    passed: dict[int, int] = {}
    answered: dict[int, int] = {}


class OldCrash(msgspec.Struct, frozen=True, array_like=True):
    fingerprint: str
    backend: str
    began_ms_ago: int
    died_ms_ago: int
    events: int = 0
    parts: tuple[str, ...] = ()


class OldSoundPart(msgspec.Struct, frozen=True, array_like=True):
    part: str
    ms_ago: int


class OldReport(msgspec.Struct, frozen=True, kw_only=True):
    vm: str
    incarnation: str = ""
    number: int = 0
    version: int
    wait_ms: int
    work: dict[str, OldWork] = {}
    down: tuple[str, ...] = ()
    listing: str = ""
    asks_work: bool = False
    shares: int = 0
    samples: tuple[OldSample, ...] = ()
    crashes: tuple[OldCrash, ...] = ()
    cleared: tuple[str, ...] = ()
    sound_parts: tuple[OldSoundPart, ...] = ()
    limits: dict[str, OldLimit] = {}
    takes_requests_at: str | None = None


class OldListing(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    age_ms: int
    compressed: bytes | None


class OldShare(msgspec.Struct, frozen=True, array_like=True):
    service: str
    trial: str = ""
    share_ppm: int = 0
    barred: tuple[str, ...] = ()


class OldShares(msgspec.Struct, frozen=True, array_like=True):
    number: int = 0
    shares: tuple[OldShare, ...] = ()


class OldQuarantined(msgspec.Struct, frozen=True, array_like=True):
    fingerprint: str
    remaining_ms: int


class OldPeer(msgspec.Struct, frozen=True, array_like=True):
    vm: str
    address: str


class OldView(msgspec.Struct, frozen=True, kw_only=True):
    fresh: bool
    version: int
    compressed_source: bytes = b""
    replicas: tuple[str, ...] = ()
    work: dict[str, OldWork] | None = None
    down: tuple[str, ...] = ()
    wait_ms: int = 500
    listing: OldListing | None = None
    shares: OldShares | None = None
    quarantined: tuple[OldQuarantined, ...] = ()
    suspects: tuple[str, ...] = ()
    suspect_parts: tuple[str, ...] = ()
    limits: dict[str, OldLimit] = {}
    entry_vms: int = 0
    peers: tuple[OldPeer, ...] = ()


COUNTS = {
    "requests": 9,
    "errors": 1,
    "crashes": 2,
    "truncated": 3,
    "wrong": 4,
    "first_token_ms": [5],
    "token_gap_ms": [6],
    "service": "svc",
    "route": "r",
    "version": "v2",
    "load_permille": 300,
    "passed": {0: 7},
    "answered": {1: 8},
}
PLAIN_REPORT = {
    "vm": "n1",
    "incarnation": "i1",
    "number": 3,
    "version": 4,
    "wait_ms": 500,
    "down": ("b2",),
    "listing": "l1",
    "asks_work": True,
    "shares": 12,
    "cleared": ("c1",),
}
OLD_REPORT = OldReport(
    **PLAIN_REPORT,
    work={"b1": OldWork(1, 2, 3)},
    samples=(OldSample(**COUNTS),),
    crashes=(OldCrash("f1", "b2", 30, 20, 2, ("p1",)),),
    sound_parts=(OldSoundPart("p2", 15),),
    limits={"b1": OldLimit(3.0, 20, 5)},
    takes_requests_at="10.0.0.1:81",
)
NEW_REPORT = EntryReport(
    **PLAIN_REPORT,
    work={"b1": Work(1, 2, 3)},
    samples=(VersionSample(**COUNTS),),
    crashes=(CrashReport("f1", "b2", 30, 20, 2, ("p1",)),),
    sound_parts=(SoundPart("p2", 15),),
    limits={"b1": AnnouncedLimit(3.0, 20, 5)},
    takes_requests_at=Address("10.0.0.1:81"),
)

SERVER = listed("b1", Address("10.0.0.9:80"))
OLD_SERVER = ("b1", "svc", "10.0.0.9:80", "dc1", "v1", 8, False, False)
LISTING = compress(msgspec.msgpack.encode([OLD_SERVER]))
PLAIN_VIEW = {
    "fresh": True,
    "version": 4,
    "compressed_source": compress(b"document"),
    "down": ("b2",),
    "wait_ms": 700,
    "suspects": ("f2",),
    "suspect_parts": ("p1",),
    "entry_vms": 3,
}
OLD_VIEW = OldView(
    **PLAIN_VIEW,
    replicas=("10.0.0.2:82",),
    work={"b1": OldWork(1, 2, 3)},
    listing=OldListing(name="l1", age_ms=40, compressed=LISTING),
    shares=OldShares(12, (OldShare("svc", "v2", 50_000, ("v0",)),)),
    quarantined=(OldQuarantined("f1", 9_000),),
    limits={"b1": OldLimit(None, 20)},
    peers=(OldPeer("n2", "10.0.0.3:81"),),
)
NEW_VIEW = ControlView(
    **PLAIN_VIEW,
    replicas=(Address("10.0.0.2:82"),),
    work={"b1": Work(1, 2, 3)},
    listing=SharedListing(name="l1", age_ms=40, compressed=LISTING),
    shares=VersionShares(12, (VersionShare("svc", "v2", 50_000, ("v0",)),)),
    quarantined=(Quarantined("f1", 9_000),),
    limits={"b1": AnnouncedLimit(None, 20)},
    peers=(PeerAddress("n2", Address("10.0.0.3:81")),),
)

MESSAGES = pytest.mark.parametrize(
    ("old", "new"),
    [
        (OLD_REPORT, NEW_REPORT),
        (
            OldReport(vm="n1", version=0, wait_ms=0),
            EntryReport(vm="n1", version=0, wait_ms=0),
        ),
        (OLD_VIEW, NEW_VIEW),
        (OldView(fresh=False, version=0), ControlView(fresh=False, version=0)),
    ],
    ids=["report", "least report", "view", "least view"],
)


class TestReportsAndViews:
    @MESSAGES
    def test_this_build_reads_the_last_landings(self, old, new):
        assert unpack(pack(old), type(new)) == new

    @MESSAGES
    def test_the_last_landing_reads_this_builds(self, old, new):
        assert unpack(pack(new), type(old)) == old

    def test_the_last_landing_ignores_what_it_does_not_know(self):
        counts = {"svc": ResendCounts(requests=9, leased=1, lease_limit=2)}
        report = msgspec.structs.replace(NEW_REPORT, resends=counts, entry_vms=3)
        view = msgspec.structs.replace(NEW_VIEW, leases={"svc": 2})
        assert unpack(pack(report), OldReport) == OLD_REPORT
        assert unpack(pack(view), OldView) == OLD_VIEW

    def test_the_last_landings_list_of_servers_is_read(self):
        assert unpack(pack(OLD_VIEW), ControlView).listing.listed == (SERVER,)

    def test_this_builds_list_of_servers_reads_as_before(self):
        assert msgspec.msgpack.decode(pack([SERVER]), type=list[tuple]) == [OLD_SERVER]


OLD_TERMS = {
    "Nutmegdrum_Document": "1",
    "Nutmegdrum_Attempts": "2",
    "X_Deadline": "3000",
}


@pytest.fixture
def world():
    world = RelayWorld(document(), retries=RetryLimits(ratio=0.0, shared=0))
    yield world
    world.stop()


@pytest.fixture
def peers():
    """Yield a function that starts stand-ins of entry VMs, with a script each."""
    running = []

    def start(*scripts):
        running.extend(ScriptedBackend(script) for script in scripts)
        return running

    yield start
    for peer in running:
        peer.stop()


def pass_on(world, path, **extra):
    """Send a request as the last landing passes it on; return status and headers in lower case."""
    address = world.peer_address
    conn = http.client.HTTPConnection(address.host, address.port, timeout=10)
    conn.request("POST", path, b"", headers(**OLD_TERMS, **extra))
    resp = conn.getresponse()
    resp.read()
    conn.close()
    return resp.status, {name.lower(): value for name, value in resp.getheaders()}


CLOSED = Address("127.0.0.1:1")
"""Address at which nothing listens."""


class TestPassedOnRequests:
    def test_those_of_the_last_landing_are_served(self, world):
        (backend,) = world.add(answers(200, b"body"))
        status, sent = pass_on(world, "/idempotent/x")
        assert (status, "nutmegdrum-refused" in sent) == (200, False)
        assert not [name for name in backend.received[0].headers if name.startswith("nutmegdrum")]

    def test_the_last_landing_gets_the_headers_that_it_reads(self, world, peers):
        (peer,) = peers(answers(200, b"body"))
        world.set_peer_addresses(peer.address)
        cut_off(world, [CLOSED])
        assert get(world, "/idempotent/x", "POST", b"", X_Deadline="3000")[0] == 200
        received = peer.received[-1].headers
        assert received["nutmegdrum-document"] == "1"
        assert 1 <= int(received["nutmegdrum-attempts"]) <= 3
        assert 0 < int(received["x-deadline"]) <= 3_000
        assert received["x-key"] and "x-left" not in received


class TestRefusals:
    @pytest.mark.parametrize(
        ("status", "marks", "verdict"),
        [(503, {"X_Not_Run": "1"}, "not-run"), (None, {}, "may-have-run")],
        ids=["rejected", "broken off"],
    )
    def test_the_last_landing_reads_this_builds(self, world, status, marks, verdict):
        world.add(answers(status, **marks) if status else lambda received: received.reset())
        answered, sent = pass_on(world, "/non-idempotent/x")
        assert answered >= 500
        assert sent["nutmegdrum-refused"] == verdict

    @pytest.mark.parametrize(
        ("marks", "received"), [({}, 2), ({"Nutmegdrum_Sent": "1"}, 1)], ids=["old", "new"]
    )
    def test_one_of_the_last_landing_counts_as_one_of_a_request_not_sent(
        self, world, peers, marks, received
    ):
        """Without a budget a request goes to a second VM only if no server got it before."""
        running = peers(*[answers(503, Nutmegdrum_Refused="not-run", **marks)] * 2)
        world.set_peer_addresses(*(peer.address for peer in running))
        cut_off(world, [CLOSED])
        assert get(world, "/non-idempotent/x", "POST")[0] == 503
        assert sum("first" not in r.target for p in running for r in p.received) == received

    def test_the_marks_of_this_builds_refusals_do_not_reach_callers(self, world, peers):
        marks = {"Nutmegdrum_Refused": "may-have-run", "Nutmegdrum_Sent": "1"}
        running = peers(answers(502, **marks))
        world.set_peer_addresses(running[0].address)
        cut_off(world, [CLOSED])
        status, sent, _ = get(world, "/non-idempotent/x", "POST")
        assert status == 502
        assert not [name for name in sent if name.lower().startswith("nutmegdrum-")]
