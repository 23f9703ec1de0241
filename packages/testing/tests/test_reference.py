from pathlib import Path

from nutmegdrum_testing.reference import FOLDER, metrics_page, relay_settings_page, settings_page

ROOT = Path(__file__).parents[3]


class TestReferencePages:
    def test_settings_page_is_up_to_date(self):
        assert (ROOT / FOLDER / "settings.md").read_text() == settings_page()

    def test_relay_settings_page_is_up_to_date(self):
        assert (ROOT / FOLDER / "relay-settings.md").read_text() == relay_settings_page()

    def test_metrics_page_is_up_to_date(self):
        assert (ROOT / FOLDER / "metrics.md").read_text() == metrics_page()
