"""Checks that the platform's own names stay inside the folder that translates."""

from pathlib import Path

import testtools

_ROOT = Path(__file__).parent.parent.parent
_FOLDER = _ROOT / "burdockdock" / "platform"
_MOST_LINES = 900
# Names that mean something on the wire only; words of common use are left out.
_WIRE_NAMES = (
    "Request-Id",
    "Deadline-Ms",
    "Response-Signature",
    "Expected-Instance",
    "Not-Executed",
    "Caller-Service",
    "Instance-Id",
    "api/readiness",
    "api/rpc",
    "api/objects",
    "instances.heartbeat",
    "instances.deregister",
    "heartbeat-endpoint",
    "cold-remaining",
    "config/main",
    "traffic-split",
    "path-prefix",
    "target-latency",
    "max-attempts",
    "max-connections",
    "target-version",
    "health-path",
    "has-more",
    "wait-ms",
    "allow-stale",
    "created-at",
    "delete-requested",
    '"succeeded"',
)


class BoundaryTest(testtools.TestCase):
    """Tests of the source files."""

    def test_no_wire_name_stands_outside_the_folder(self) -> None:
        for path in (_ROOT / "burdockdock").rglob("*"):
            if path.suffix not in (".py", ".ini", ".capnp") or _FOLDER in path.parents:
                continue
            text = path.read_text().replace("X-Burdockdock-Request-Id", "")
            found = [name for name in _WIRE_NAMES if name in text]
            self.assertEqual([], found, path)

    def test_the_folder_stays_small(self) -> None:
        lines = sum(len(p.read_text().splitlines()) for p in _FOLDER.glob("*.py"))
        self.assertLess(lines, _MOST_LINES)
