"""Tests of a node's settings."""

from importlib import resources
from pathlib import Path

import testtools

from burdockdock.coordination.quota import QuotaBounds
from burdockdock.node.settings import NodeSettings, parse_settings, read_settings

_SAMPLE = resources.files("burdockdock.node").joinpath("sample.ini").read_text()


class SettingsTest(testtools.TestCase):
    """Tests of the validation of a settings file."""

    def test_sample_is_valid(self) -> None:
        settings = parse_settings(_SAMPLE)
        self.assertIsInstance(settings, NodeSettings)
        self.assertEqual(("127.0.0.1", 8080), settings.callers)
        self.assertEqual(2, len(settings.seeds))

    def test_problem_names_its_section_and_key(self) -> None:
        for change, location in (
            (("[limits]", "[limit]"), ("limit", "")),
            (("drain_timeout_s = 60", "drain_timeout_s = 60s"), ("limits", "drain")),
            (("drain_timeout_s = 60", "drain_s = 60"), ("limits", "drain_s")),
            (("pipelined_calls = 16", "pipelined_calls = 1.5"), ("limits", "pipel")),
            (("pipelined_calls = 16", "pipelined_calls = 0"), ("limits", "pipel")),
            (("quota_window = 5s", "quota_window = 5"), ("limits", "quota_window")),
            (("quota_window = 5s", "quota_window = 0s"), ("limits", "quota_window")),
            (("quota_overage = 0.1", "quota_overage = 2"), ("limits", "quota_over")),
            (("quota_slack = 20", "quota_slack = -1"), ("limits", "quota_slack")),
            (("zone_cost = 0", "zone_cost = -0.1"), ("limits", "zone_cost")),
            (("zone_cost = 0", "zone_cost = 0.1s"), ("limits", "zone_cost")),
            (
                ("callers = 127.0.0.1:8080", "callers = host:8080"),
                ("listen", "callers"),
            ),
            (("evacuation = 5s", "evacuation = soon"), ("limits", "evacuation")),
            (("evacuation = 5s", "evacuation = 0s"), ("limits", "evacuation")),
            (("cold_overage = 1.5", "cold_overage = 0.5"), ("limits", "cold_over")),
            (("cold_slack = 8", "cold_slack = -1"), ("limits", "cold_slack")),
            (("peers = 127.0.0.1:7000", "peers = 127.0.0.1:0"), ("listen", "peers")),
            (("availability_zone = lk-west", ""), ("node", "availability_zone")),
            (("url = http:", "url = ftp:"), ("platform", "url")),
        ):
            self.assertIn(change[0], _SAMPLE)
            problems = parse_settings(_SAMPLE.replace(*change))
            self.assertIsInstance(problems, list, change)
            locations = [(p.section, p.key) for p in problems]
            found = [
                s == location[0] and k.startswith(location[1]) for s, k in locations
            ]
            self.assertTrue(any(found), (change, locations))

    def test_empty_values_of_quotas_are_the_defaults(self) -> None:
        """Guards against a template that renders a missing bound to nothing."""
        text = _SAMPLE
        for given in ("quota_window = 5s", "quota_overage = 0.1", "quota_slack = 20"):
            self.assertIn(given, text)
            text = text.replace(given, given.partition("=")[0] + "=")
        settings = parse_settings(text)
        self.assertEqual(QuotaBounds(5.0, 0.1, 20.0), settings.quota_bounds)
        changed = parse_settings(_SAMPLE.replace("quota_slack = 20", "quota_slack = 7"))
        self.assertEqual(QuotaBounds(5.0, 0.1, 7.0), changed.quota_bounds)

    def test_limits_that_a_deployment_lacks(self) -> None:
        # Guards against a template that renders what isn't there to nothing.
        for key, value in (
            ("evacuation", "5s"),
            ("cold_overage", "1.5"),
            ("cold_slack", "8"),
        ):
            line = f"{key} = {value}"
            self.assertIn(line, _SAMPLE)
            settings = parse_settings(_SAMPLE.replace(line, f"{key} ="))
            self.assertIsInstance(settings, NodeSettings)
            self.assertIn(
                0.0, (settings.evacuation_s, settings.cold_overage, settings.cold_slack)
            )

    def test_missing_file_is_a_problem(self) -> None:
        self.assertIsInstance(read_settings(Path("/nowhere/node.ini")), list)
