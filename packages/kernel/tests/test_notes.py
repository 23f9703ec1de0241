from pathlib import Path

import msgspec
import pytest
from nutmegdrum.errors import UserError
from nutmegdrum.notes import encode_note, parse_note

CHANGE = {"model": "m", "version": "2", "complete_by": "2026-12-05T06:00:00Z"}


def note(**keys):
    return msgspec.json.encode({"number": 1, "changed": [CHANGE]} | keys)


WRONG = [
    (note(number=0), "$.number"),
    (note(number="1"), "$.number"),
    (note(extra=1), "`extra`"),
    (note(changed=[]), "$.changed"),
    (note(changed=[CHANGE | {"complete_by": "2026-12-05T06:00:00"}]), "$.changed[0].complete_by"),
    (note(changed=[CHANGE | {"version": ""}]), "$.changed[0].version"),
    (note(changed=[CHANGE | {"model": "a/b"}]), "$.changed[0].model"),
    (note(changed=[CHANGE, CHANGE]), "$.changed[1].model"),
    (note(changed=[CHANGE | {"share_steps": ["3%", "100%"]}]), "$.changed[0].share_steps[0]"),
    (note(changed=[CHANGE | {"share_steps": ["1%", "1%"]}]), "$.changed[0].share_steps[1]"),
    (note(changed=[CHANGE | {"share_steps": ["1%", "50%"]}]), "$.changed[0].share_steps[1]"),
    (note(changed=[CHANGE | {"share_steps": ["2"]}]), "$.changed[0].share_steps[0]"),
    (note(changed=[CHANGE | {"bake_time": "10"}]), "$.changed[0].bake_time"),
    (note(added=[CHANGE]), "$.added[0].service"),
    (b"{", "truncated"),
]


class TestParseNote:
    @pytest.mark.parametrize(("data", "path"), WRONG)
    def test_error_names_the_path(self, data, path):
        with pytest.raises(UserError) as caught:
            parse_note(data)
        assert path in str(caught.value)

    def test_encoded_note_parses_to_an_equal_note(self):
        steps = {"share_steps": ["0.5%", "12.25%", "100%"], "bake_time": "5min"}
        parsed = parse_note(note(changed=[CHANGE | steps]))
        assert parse_note(encode_note(parsed)) == parsed
        assert parsed.changed[0].share_steps == [5_000, 122_500, 1_000_000]

    def test_complete_example_is_valid_and_uses_every_key(self):
        data = (Path(__file__).parents[3] / "examples" / "note-complete.json").read_bytes()
        parsed = parse_note(data)
        for entries in (parsed.added, parsed.changed, parsed.withdrawn, [parsed]):
            for name in set(type(entries[0]).__struct_fields__) - {"adapter"}:
                assert any(getattr(entry, name) for entry in entries), name
