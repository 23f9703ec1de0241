import msgspec
import pytest
from nutmegdrum.errors import UserError
from nutmegdrum_relay.documents import DocumentCodec, RouteKind

ROUTE = {
    "name": "r",
    "host": "api.example",
    "prefix": "/a/",
    "kind": "idempotent",
    "targets": [{"service": "svc"}],
    "timeout": "400ms",
}
DOCUMENT = {"version": 3, "routes": [ROUTE], "services": [{"name": "svc"}]}


def decode(**changes):
    return DocumentCodec().decode(msgspec.json.encode({**DOCUMENT, **changes}))


class TestDocumentCodec:
    def test_reads_units_and_kinds(self):
        (route,) = decode().routes
        assert route.kind is RouteKind.IDEMPOTENT
        assert route.timeout == 400

    @pytest.mark.parametrize(
        ("changes", "path"),
        [
            ({"services": []}, r"\$\.routes\[0\]\.targets\[0\]\.service"),
            ({"routes": [ROUTE, {**ROUTE, "name": "s"}]}, r"\$\.routes\[1\]"),
            ({"routes": [{**ROUTE, "timeout": "0ms"}]}, r"\$\.routes\[0\]\.timeout"),
            ({"routes": [{**ROUTE, "prefix": "/a"}]}, r"\$\.routes\[0\]\.prefix"),
            ({"routes": [{**ROUTE, "targets": []}]}, r"\$\.routes\[0\]\.targets"),
            (
                {"routes": [{**ROUTE, "targets": [{"service": "svc", "weight": 0}]}]},
                r"\$\.routes\[0\]\.targets",
            ),
            (
                {"workspaces": [{"id": "a", "keys": ["k"]}, {"id": "b", "keys": ["k"]}]},
                r"\$\.workspaces\[1\]\.keys",
            ),
            ({"version": "three"}, r"\$\.version"),
            ({"surprise": 1}, "surprise"),
        ],
    )
    def test_errors_name_the_path(self, changes, path):
        with pytest.raises(UserError, match=path):
            decode(**changes)

    def test_a_truncated_document_is_refused(self):
        source = msgspec.json.encode(DOCUMENT)
        with pytest.raises(UserError):
            DocumentCodec().decode(source[:-5])
