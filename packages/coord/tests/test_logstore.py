import shutil

import pytest
from nutmegdrum_coord.ids import IncarnationId
from nutmegdrum_coord.logeffects import Ballot, Compacted
from nutmegdrum_coord.logmessages import Base, Entry, EntryKind, Member
from nutmegdrum_coord.logstore import CorruptStore, LogStore

BOOT = "boot-1"


def entry(position, term=1, data=b"data"):
    return Entry(position, term, position * 10, EntryKind.COMMAND, data)


def opened(folder, boot=BOOT):
    store = LogStore(folder, boot)
    return store, store.load(new=True)


@pytest.fixture
def store(tmp_path):
    store = LogStore(tmp_path / "log", BOOT)
    store.create(IncarnationId("i1"))
    store.load(new=True)
    yield store
    store.close()


def flip(path, index):
    data = bytearray(path.read_bytes())
    data[index] ^= 0x40
    with path.open("r+b") as file:
        file.write(data)


class TestLogStore:
    def test_entries_and_ballot_are_found_again(self, store):
        ballot = Ballot("c", 3, Member("a", "i1"))
        store.save_ballot(ballot)
        store.append([entry(1), entry(2)])
        store.append([entry(2, term=3), entry(3, term=3)])
        saved = opened(store.folder)[1]
        assert saved.ballot == ballot
        assert saved.entries == [entry(1), entry(2, term=3), entry(3, term=3)]
        assert saved.trusted

    def test_files_are_not_trusted_after_the_vm_was_restarted(self, store):
        assert not opened(store.folder, "boot-2")[1].trusted

    def test_a_torn_end_is_cut_at_every_byte(self, store):
        store.append([entry(1)])
        path = store.folder / "log"
        mark = (store.folder / "log.synced").read_bytes()
        start = path.stat().st_size
        store.append([entry(2), entry(3)])
        whole = path.read_bytes()
        for end in range(start, len(whole)):
            with path.open("r+b") as file:
                file.write(whole[:end])
                file.truncate()
            (store.folder / "log.synced").write_bytes(mark)
            other, saved = opened(store.folder)
            assert saved.entries in ([entry(1)], [entry(1), entry(2)])
            other.append([entry(saved.entries[-1].position + 1)])
            assert opened(store.folder)[1].entries[-1] == entry(saved.entries[-1].position + 1)

    def test_a_flipped_byte_in_what_was_synced_is_damage(self, store):
        store.append([entry(1)])
        store.append([entry(2)])
        path = store.folder / "log"
        for index in range(path.stat().st_size):
            flip(path, index)
            with pytest.raises(CorruptStore):
                opened(store.folder)
            flip(path, index)
        assert opened(store.folder)[1].entries == [entry(1), entry(2)]

    def test_a_later_record_proves_damage_without_the_mark(self, store):
        store.append([entry(1)])
        end = (store.folder / "log").stat().st_size
        store.append([entry(2)])
        (store.folder / "log.synced").unlink()
        flip(store.folder / "log", end - 1)
        with pytest.raises(CorruptStore):
            opened(store.folder)

    def test_a_log_cut_below_the_mark_is_damage(self, store):
        store.append([entry(1)])
        path = store.folder / "log"
        with path.open("r+b") as file:
            file.truncate(path.stat().st_size - 1)
        with pytest.raises(CorruptStore):
            opened(store.folder)

    @pytest.mark.parametrize("name", ["ballot", "log"])
    def test_a_copied_file_is_not_taken_for_the_original(self, store, name):
        shutil.copy(store.folder / name, store.folder / "copy")
        (store.folder / "copy").rename(store.folder / name)
        with pytest.raises(CorruptStore):
            opened(store.folder)

    def test_a_snapshot_replaces_the_entries_that_it_covers(self, store):
        store.append([entry(1), entry(2), entry(3)])
        base = Base(2, 1, 20)
        store.write_snapshot(base, b"state")
        store.compact(Compacted(Base(1, 1, 10), [entry(2), entry(3)]))
        other, saved = opened(store.folder)
        assert other.read_snapshot() == b"state"
        assert (saved.snapshot, saved.base) == (base, Base(1, 1, 10))
        assert saved.entries == [entry(2), entry(3)]

    def test_a_damaged_snapshot_is_found(self, store):
        store.write_snapshot(Base(), b"state")
        size = (store.folder / "snapshot").stat().st_size
        for index in range(size):
            flip(store.folder / "snapshot", index)
            with pytest.raises(CorruptStore):
                opened(store.folder)
            flip(store.folder / "snapshot", index)
