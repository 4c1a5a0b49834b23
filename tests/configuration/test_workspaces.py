"""Tests of ``workspace`` sections and of the table of API keys."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from burdockdock.configuration.checks import build_snapshot
from burdockdock.configuration.model import (
    EMPTY_SNAPSHOT,
    Sections,
    Snapshot,
    Workspace,
)
from burdockdock.configuration.workspaces import key_digest

_A, _B = (key_digest(key) for key in (b"a", b"b"))
_ROUTED: Sections = {
    "service desk": {},
    "route all": {"path": "/", "service": "desk"},
}
_WORKSPACE_SECTIONS = st.dictionaries(
    st.sampled_from(["workspace a", "workspace b", "workspace  a", "service s"]),
    st.fixed_dictionaries(
        {},
        optional={
            "key_digests": st.sampled_from([_A, _B, f"{_A}, {_B}", "", "x"]),
            "priority": st.sampled_from(["0", "10"]),
        },
    ),
    max_size=4,
)


def _build(sections: Sections, previous: Snapshot = EMPTY_SNAPSHOT) -> Snapshot:
    built = build_snapshot({**_ROUTED, **sections}, version=1, previous=previous)
    assert isinstance(built, Snapshot), built
    return built


class WorkspacesTest(testtools.TestCase):
    """Tests of ``workspace`` sections and of the table of API keys."""

    def test_section_defines_a_workspace(self) -> None:
        pairs = {
            "key_digests": f"{_A.upper()}, {_B},{_A}",
            "priority": "3",
            "rate_per_s": "7.5",
            "burst": "20",
            "allowed_regions": "north, south",
        }
        table = _build({"workspace acme": pairs}).workspaces
        expected = Workspace("acme", (_A, _B), 3, 7.5, 20.0, ("north", "south"))
        self.assertEqual({"acme": expected}, table.by_name)
        self.assertEqual({_A: expected, _B: expected}, table.by_digest)
        self.assertTrue(table.authenticates)

    def test_values_may_be_missing(self) -> None:
        table = _build({"workspace acme": {}}).workspaces
        self.assertEqual({"acme": Workspace("acme")}, table.by_name)
        self.assertTrue(table.authenticates)
        self.assertFalse(_build({}).workspaces.authenticates)

    def test_each_problem_names_its_section_and_key(self) -> None:
        for section, pairs, key in (
            ("workspace a", {"key_digests": "ab" * 31}, "key_digests"),
            ("workspace a", {"key_digests": "secret"}, "key_digests"),
            ("workspace a", {"key_digests": _B}, "key_digests"),
            ("workspace a", {"priority": "10"}, "priority"),
            ("workspace a", {"rate_per_s": "-1"}, "rate_per_s"),
            ("workspace a", {"rate_per_s": "nan"}, "rate_per_s"),
            ("workspace a", {"burst": "inf"}, "burst"),
            ("workspace a", {"keys": "x"}, "keys"),
            ("workspace  b", {}, ""),
            ("workspace a\nb", {}, ""),
            ("route r", {"path": "/r", "service": "desk", "public": "1"}, "public"),
        ):
            sections = {**_ROUTED, "workspace b": {"key_digests": _B}, section: pairs}
            problems = build_snapshot(sections, version=1)
            self.assertIsInstance(problems, list, pairs)
            self.assertEqual([(section, key)], [(p.section, p.key) for p in problems])

    def test_problems_do_not_quote_a_key(self) -> None:
        # Guards against a key that is in the section by mistake and reaches a log.
        sections = {**_ROUTED, "workspace a": {"key_digests": "my-Secret"}}
        problems = build_snapshot(sections, version=1)
        self.assertNotIn("my-secret", str(problems).lower())

    def test_route_is_public_only_if_it_says_so(self) -> None:
        for text, expected in (("true", True), ("False", False), (None, False)):
            pairs = {"path": "/r", "service": "desk"}
            if text is not None:
                pairs["public"] = text
            snapshot = _build({"route r": pairs})
            route = next(r for r in snapshot.routes.values() if r.name == "r")
            self.assertEqual(expected, route.public)

    def test_versions_with_the_same_workspaces_share_one_table(self) -> None:
        first = _build({"workspace a": {"key_digests": _A}})
        second = _build(
            {"workspace a": {"key_digests": _A}, "service more": {}}, previous=first
        )
        self.assertIs(first.workspaces, second.workspaces)

    def test_key_can_move_to_another_workspace(self) -> None:
        first = _build(
            {"workspace a": {"key_digests": _A}, "workspace b": {"key_digests": _B}}
        )
        second = _build(
            {"workspace a": {"key_digests": _B}, "workspace b": {"key_digests": _A}},
            previous=first,
        )
        self.assertEqual("b", second.workspaces.by_digest[_A].name)
        self.assertEqual("a", first.workspaces.by_digest[_A].name)

    @given(_WORKSPACE_SECTIONS, _WORKSPACE_SECTIONS)
    def test_incremental_build_equals_full_build(
        self, old: Sections, new: Sections
    ) -> None:
        """Guard against keys that a build on a previous snapshot adds or forgets."""
        previous = build_snapshot(old, version=1)
        full = build_snapshot(new, version=2)
        if isinstance(previous, list):
            return
        incremental = build_snapshot(new, version=2, previous=previous)
        if isinstance(full, list):
            self.assertIsInstance(incremental, list)
            return
        self.assertEqual(full, incremental)
