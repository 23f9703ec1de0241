import threading

from nutmegdrum.units import Duration
from nutmegdrum_relay.loop import Loop
from nutmegdrum_testing.waiting import wait_for


class TestLoop:
    def test_a_failed_step_does_not_end_the_thread(self):
        # Guards against a thread that ends for good, as the document poll did after a view that
        # could not be decoded.
        steps = []

        def step():
            steps.append(1)
            if len(steps) == 1:
                raise ValueError("once")
            return Duration(1)

        loop = Loop("test", step)
        loop.start()
        wait_for(lambda: len(steps) > 2)
        loop.stop()

    def test_stops_between_steps(self):
        stepped = threading.Event()
        loop = Loop("test", lambda: stepped.set() or Duration(3_600_000))
        loop.start()
        assert stepped.wait(5)
        loop.stop()
        loop._thread.join(5)
        assert not loop._thread.is_alive()
