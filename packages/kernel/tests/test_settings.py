import msgspec
import pytest
from nutmegdrum.errors import UserError
from nutmegdrum.settings import Role, parse_settings

BASE = {
    "deployment": "d",
    "vm": {"id": "n1", "data_centre": "dc-a", "region": "r"},
    "roles": ["entry"],
    "listen": {
        "ops": "127.0.0.1:1",
        "peers": "127.0.0.1:2",
        "callers": "127.0.0.1:3",
    },
    "state_replicas": [],
    "services": [{"name": "llm", "kind": "model"}],
}


def parse(**changes):
    return parse_settings(msgspec.json.encode(BASE | changes))


class TestParseSettings:
    def test_base_is_valid(self):
        assert parse().roles == [Role.ENTRY]

    @pytest.mark.parametrize(
        ("changes", "expected"),
        [
            ({"plattform": {}}, "unknown field `plattform`"),
            ({"platform": {"poll": "3"}}, "`$.platform.poll`"),
            ({"platform": {"poll": "3 weeks"}}, "a unit of ms, s, min, h, d"),
            ({"callers": {"max_body": "1MB"}}, "`$.callers.max_body`"),
            ({"listen": BASE["listen"] | {"ops": "localhost:1"}}, "`$.listen.ops`"),
            ({"listen": BASE["listen"] | {"ops": "127.0.0.1:70000"}}, "a port from 0 to 65535"),
            ({"listen": BASE["listen"] | {"ops": "127.0.0.1:2"}}, "`$.listen`"),
            ({"roles": []}, "`$.roles`"),
            ({"roles": ["state"]}, "`$.listen.operators`"),
            (
                {"models": [{"name": "m", "service": "x", "version": "1"}]},
                "`$.models[0].service`",
            ),
            (
                {"services": [{"name": "a", "kind": "plain"}, {"name": "a", "kind": "plain"}]},
                "`$.services[1]`",
            ),
        ],
    )
    def test_error_names_the_path_or_the_expected_value(self, changes, expected):
        with pytest.raises(UserError) as caught:
            parse(**changes)
        assert expected in str(caught.value)
