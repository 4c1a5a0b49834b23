"""Tests of what a node imports when it starts."""

import subprocess
import sys

import testtools

# Modules that only other commands, rare functions or tests need. Nodes are restarted
# often, and imports are nearly all of a start's processor time.
_UNNEEDED_MODULES = (
    "argparse",
    "burdockdock.cli.config",
    "burdockdock.cli.main",
    "burdockdock.cli.node",
    "burdockdock.cli.output",
    "burdockdock.standin",
    "bz2",
    "click",
    "concurrent.futures.process",
    "email.generator",
    "getpass",
    "importlib.metadata",
    "importlib.resources",
    "jinja2",
    "lzma",
    "pdb",
    "shutil",
    "tempfile",
    "tornado.simple_httpclient",
    "unittest",
    "urllib.request",
    "xml",
    "zipfile",
)


class ImportsTest(testtools.TestCase):
    """Guards against start-up costs that grow with each added import."""

    def _check_not_imported(self, *modules: str) -> None:
        """Check in a new process that importing modules imports no unneeded one."""
        script = f"import sys, {', '.join(modules)}\nprint(*sys.modules)"
        result = subprocess.run(
            [sys.executable, "-c", script], capture_output=True, text=True, check=True
        )
        imported = set(result.stdout.split())
        self.assertEqual([], [name for name in _UNNEEDED_MODULES if name in imported])

    def test_node_with_own_platform_form_imports_nothing_unneeded(self) -> None:
        self._check_not_imported("burdockdock.cli.node_process")

    def test_node_with_platform_of_objects_imports_nothing_unneeded(self) -> None:
        self._check_not_imported("burdockdock.cli.node_process", "burdockdock.platform")
