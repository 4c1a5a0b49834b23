"""Tests of versions that a node can't use in whole."""

import itertools

import testtools

from burdockdock.configuration.delta import ConfigDocument
from burdockdock.configuration.model import Sections
from burdockdock.coordination.records import Record
from burdockdock.node.config_state import CONFIG_KEY, ConfigState

_SECTIONS = {
    "service desk": {},
    "route all": {"path": "/", "service": "desk"},
    "workspace acme": {"key_digests": "ab" * 32},
}
_UNUSABLE = {
    "route lost": {"path": "/lost/", "service": "gone"},
    "exception slow": {
        "scope": "route:lost",
        "setting": "retries",
        "value": "1",
        "reason": "a long reason",
    },
    "route odd": {"path": "/odd/", "service": "desk", "kind": "dancing"},
    "workspace rival": {"key_digests": "ab" * 32},
}


def _record(version: int, sections: Sections) -> Record:
    return Record(CONFIG_KEY, version, ConfigDocument(version, sections).encode())


class ConfigStateTest(testtools.TestCase):
    """Tests of sections that are left out, and of versions that are refused."""

    def test_only_the_sections_that_cannot_be_used_are_left_out(self) -> None:
        # Guards against calls by an older version because of one section.
        state = ConfigState("n", is_binding=True)
        self.assertTrue(state.accept(_record(3, {**_SECTIONS, **_UNUSABLE})))
        self.assertEqual(set(_UNUSABLE), set(state.unused))
        self.assertEqual(3, state.snapshot.version)
        self.assertEqual({"all"}, {r.name for r in state.snapshot.routes.values()})
        self.assertEqual(["acme"], list(state.snapshot.workspaces.by_name))

    def test_every_node_leaves_out_the_same_sections(self) -> None:
        # Two routes of one path: which one is used must not depend on the way here.
        rivals = {
            name: {"path": "/r/", "service": "desk", "priority": str(i)}
            for i, name in enumerate(("route a", "route b", "route c"))
        }
        used = set()
        for names in itertools.permutations(rivals):
            state = ConfigState("n", is_binding=True)
            state.accept(_record(1, {**_SECTIONS, names[0]: rivals[names[0]]}))
            document = {**_SECTIONS, **{name: rivals[name] for name in names}}
            self.assertTrue(state.accept(_record(2, document)))
            used.add(tuple(r.name for r in state.snapshot.routes.values()))
        self.assertEqual({("a", "all")}, {tuple(sorted(names)) for names in used})

    def test_next_version_is_applied_from_a_delta(self) -> None:
        sender, receiver = (ConfigState("n", is_binding=True) for _ in range(2))
        for state in (sender, receiver):
            state.accept(_record(3, {**_SECTIONS, **_UNUSABLE}))
        mended = {**_SECTIONS, **_UNUSABLE, "service gone": {}}
        sender.accept(_record(5, mended))
        delta = sender.codec.encode_delta(3)
        resolved = receiver.codec.apply_delta(Record(CONFIG_KEY, 5, delta))
        self.assertIsNotNone(resolved)
        self.assertTrue(receiver.accept(resolved))
        self.assertEqual({"route odd", "workspace rival"}, set(receiver.unused))
        self.assertEqual(sender.snapshot, receiver.snapshot)
        self.assertEqual(sender.codec.encode_whole(), receiver.codec.encode_whole())

    def test_keys_are_required_although_no_workspace_can_be_used(self) -> None:
        odd = {"service desk": {}, "workspace odd": {"key_digests": "not a digest"}}
        state = ConfigState("n", is_binding=True)
        state.accept(_record(3, odd))
        self.assertTrue(state.snapshot.workspaces.authenticates)
        state.accept(_record(4, {"service desk": {}}))
        self.assertFalse(state.snapshot.workspaces.authenticates)

    def test_version_of_our_own_operators_is_refused_whole(self) -> None:
        state = ConfigState("n")
        state.accept(_record(3, _SECTIONS))
        self.assertFalse(state.accept(_record(4, {**_SECTIONS, **_UNUSABLE})))
        self.assertEqual((3, {}), (state.snapshot.version, state.unused))
        self.assertEqual(4, state.applied_state().refused_version)
