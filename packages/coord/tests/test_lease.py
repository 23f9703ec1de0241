import pytest
from nutmegdrum_coord.ids import IncarnationId, VmId
from nutmegdrum_coord.lease import DRIFT_BOUND_PPM, PPM, Lease, lease_length_ms
from nutmegdrum_coord.logmessages import Member

A, B, C = (Member(VmId(vm), IncarnationId("1")) for vm in "abc")


class TestLease:
    @pytest.mark.parametrize("timeout_ms", [100, 150, 300, 1_000, 10_000])
    def test_expires_before_the_followers_promise_despite_clock_drift(self, timeout_ms):
        slow, fast = PPM - DRIFT_BOUND_PPM, PPM + DRIFT_BOUND_PPM
        assert lease_length_ms(timeout_ms) * fast <= timeout_ms * slow

    def test_counts_from_the_oldest_request_of_a_quorum(self):
        lease = Lease(A, 1_000)
        lease.acknowledge(B, 100)
        assert lease.until_ms([A, B, C], now_ms=500) == 100 + lease_length_ms(1_000)
        lease.acknowledge(C, 300)
        assert lease.until_ms([A, B, C], now_ms=500) == 300 + lease_length_ms(1_000)

    def test_stale_reply_does_not_shorten_it_and_no_quorum_gives_none(self):
        lease = Lease(A, 1_000)
        assert lease.until_ms([A, B, C], now_ms=500) == 0
        lease.acknowledge(B, 300)
        lease.acknowledge(B, 100)
        assert lease.until_ms([A, B, C], now_ms=500) == 300 + lease_length_ms(1_000)
