import pytest
from nutmegdrum_relay.document_cache import FILE, CacheWriter, DocumentCache
from nutmegdrum_relay.revisions import Revision
from nutmegdrum_testing.waiting import wait_for


@pytest.fixture
def cache(tmp_path):
    return DocumentCache(tmp_path)


class TestDocumentCache:
    def test_keeps_the_last_revision(self, cache):
        assert cache.load() == Revision()
        cache.save(Revision(3, b"three"))
        cache.save(Revision(4, b"four"))
        assert cache.load() == Revision(4, b"four")

    @pytest.mark.parametrize("keep", [0, 3, 8, 12])
    def test_a_torn_file_holds_nothing(self, cache, tmp_path, keep):
        cache.save(Revision(3, b"three"))
        path = tmp_path / FILE
        path.write_bytes(path.read_bytes()[:keep])
        assert cache.load() == Revision()


class TestCacheWriter:
    def test_saves_what_is_newest_and_goes_on_after_a_refused_write(self, cache, tmp_path):
        refusals = [OSError("full")]
        save = cache.save

        def save_once_refused(revision):
            if refusals:
                raise refusals.pop()
            save(revision)

        cache.save = save_once_refused
        writer = CacheWriter(cache)
        writer.start()
        writer.put(Revision(1, b"one"))
        wait_for(lambda: not refusals)
        writer.put(Revision(5, b"five"))
        writer.put(Revision(2, b"late"))
        wait_for(lambda: cache.load() == Revision(5, b"five"))
