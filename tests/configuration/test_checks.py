"""Tests of the checks of a whole configuration."""

import testtools
from hypothesis import given

from burdockdock.configuration.checks import build_snapshot
from burdockdock.configuration.ini import (
    configuration_digest,
    read_sections,
    write_sections,
)
from burdockdock.configuration.model import Sections
from tests.configuration.configurations import SECTIONS, VALID_CONFIG

_COLD = "[service vault]\ncold_per_s = "


class ChecksTest(testtools.TestCase):
    """Tests of the checks of a whole configuration."""

    def test_each_problem_names_its_section_and_key(self) -> None:
        for change, place in (
            (("[service vault]", "[service other]"), ("route trips", "service")),
            (("path = /trips\nservice", "path = /\nservice"), ("route trips", "path")),
            (
                ("path = /trips\nhost", "path = trips\nhost"),
                ("route trips-host", "path"),
            ),
            (
                ("timeout_ms = 1500", "timeout_ms = 1.5s"),
                ("service desk", "timeout_ms"),
            ),
            (("timeout_ms = 1500", "timeot_ms = 15"), ("service desk", "timeot_ms")),
            (("the archive is being split", " "), ("exception slow", "reason")),
            (("service:vault", "service:nowhere"), ("exception slow", "scope")),
            (("-06-01T00:00:00Z", "-06-01"), ("exception slow", "expires")),
            (("[defaults]", "[default]"), ("default", "")),
            (("[service vault]", _COLD + "-1"), ("service vault", "cold_per_s")),
            (("[service vault]", _COLD + "nan"), ("service vault", "cold_per_s")),
            (("[service vault]", _COLD + "many"), ("service vault", "cold_per_s")),
            (
                ("[service vault]", "[service vault]\ncold_start_ms = 3s"),
                ("service vault", "cold_start_ms"),
            ),
        ):
            self.assertIn(change[0], VALID_CONFIG)
            problems = build_snapshot(
                read_sections(VALID_CONFIG.replace(*change)), version=1
            )
            self.assertIsInstance(problems, list, change)
            self.assertIn(place, [(p.section, p.key) for p in problems], change)

    def test_cold_servers_and_allowed_regions(self) -> None:
        text = VALID_CONFIG.replace(
            "[service vault]", _COLD + "8.5\ncold_start_ms = 3000"
        ).replace(
            "path = /trips\nservice",
            "path = /trips\nallowed_regions = eu, us ,eu\nservice",
        )
        snapshot = build_snapshot(read_sections(text), version=1)
        vault, desk = snapshot.services["vault"], snapshot.services["desk"]
        self.assertEqual((8.5, 3000), (vault.cold_per_s, vault.cold_start_ms))
        self.assertEqual((0.0, 0), (desk.cold_per_s, desk.cold_start_ms))
        regions = {r.name: r.allowed_regions for r in snapshot.routes.values()}
        self.assertEqual(("eu", "us"), regions["trips"])
        self.assertEqual({()}, set(regions.values()) - {("eu", "us")})

    def test_sections_survive_a_round_trip_as_text(self) -> None:
        sections = read_sections(VALID_CONFIG)
        self.assertEqual(sections, read_sections(write_sections(sections)))

    def test_duplicate_section_is_rejected(self) -> None:
        self.assertIsInstance(read_sections(VALID_CONFIG + "[service desk]\n"), list)

    @given(SECTIONS, SECTIONS)
    def test_incremental_build_equals_full_build(
        self, old: Sections, new: Sections
    ) -> None:
        """Guard against a build on a previous snapshot that differs from a full one."""
        previous = build_snapshot(old, version=1)
        full = build_snapshot(new, version=2)
        if isinstance(previous, list):
            return
        incremental = build_snapshot(new, version=2, previous=previous)
        if isinstance(full, list):
            self.assertEqual(sorted(map(str, full)), sorted(map(str, incremental)))
            return
        self.assertEqual(full, incremental)
        self.assertEqual(configuration_digest(new), incremental.digest)
        for route in incremental.routes.values():
            self.assertIn(route.service, incremental.services)
