"""Checks that the wire names of the platform occur only in burdockdock/platform/."""

from pathlib import Path

import testtools

_ROOT = Path(__file__).parent.parent.parent
_PLATFORM_FOLDER = _ROOT / "burdockdock" / "platform"
_MAX_FOLDER_LINES = 900
# Names that are used on the wire only; common words are left out.
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
    "cold-per-s",
    "allowed-regions",
    "config/main",
    "traffic-split",
    "path-prefix",
    "api-keys",
    "rate-per-s",
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
    """Tests of the package's source files."""

    def test_no_wire_name_occurs_outside_the_folder(self) -> None:
        for path in (_ROOT / "burdockdock").rglob("*"):
            if (
                path.suffix not in (".py", ".ini", ".capnp")
                or _PLATFORM_FOLDER in path.parents
            ):
                continue
            text = path.read_text().replace("X-Burdockdock-Request-Id", "")
            found = [name for name in _WIRE_NAMES if name in text]
            self.assertEqual([], found, path)

    def test_the_folder_stays_small(self) -> None:
        lines = sum(
            len(p.read_text().splitlines()) for p in _PLATFORM_FOLDER.glob("*.py")
        )
        self.assertLess(lines, _MAX_FOLDER_LINES)
