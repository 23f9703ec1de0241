from hypothesis import given
from hypothesis import strategies as st
from nutmegdrum_relay.sse import EventSplitter

EVENTS = [b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 8)]
STREAM = b"".join(EVENTS)


class TestEventSplitter:
    @given(st.lists(st.integers(0, len(STREAM)), max_size=12))
    def test_events_come_whole_however_the_stream_is_cut(self, cuts):
        splitter = EventSplitter()
        places = sorted({0, *cuts, len(STREAM)})
        events = []
        for start, end in zip(places, places[1:], strict=False):
            events += splitter.feed(STREAM[start:end])
        assert [event.data for event in events] == EVENTS
        assert [event.id for event in events] == [str(n) for n in range(1, 8)]
        assert splitter.rest == b""

    def test_an_incomplete_event_is_buffered(self):
        splitter = EventSplitter()
        assert [e.id for e in splitter.feed(EVENTS[0] + EVENTS[1][:5])] == ["1"]
        assert splitter.rest == EVENTS[1][:5]

    def test_the_id_need_not_be_the_first_line(self):
        (event,) = EventSplitter().feed(b"weight-versions: 3\nid: 9\ndata: x\n\n")
        assert event.id == "9"
