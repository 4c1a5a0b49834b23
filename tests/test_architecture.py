"""Checks the import rules of docs/ARCHITECTURE.md against the code."""

import ast
from pathlib import Path

import testtools

_ROOT = Path(__file__).parent.parent
_PACKAGE = _ROOT / "burdockdock"
_IMPORTABLE_BY_ALL = {"clock", "http_syntax", "logs", "metrics", "__init__"}


def _read_rules() -> dict[str, set[str]]:
    """Read the allowed imports of each subpackage from the table on the page."""
    text = (_ROOT / "docs" / "ARCHITECTURE.md").read_text()
    table = text.partition("| may import |")[2].partition("\n\n")[0]
    rules = {}
    for line in table.splitlines()[2:]:
        package, names = (cell.strip() for cell in line.strip("|").split("|"))
        rules[package] = {name.strip() for name in names.split(",") if name.strip()}
    return rules


def _imports_of(path: Path) -> set[str]:
    """Return the subpackages and top-level modules that a module imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        names = []
        if isinstance(node, ast.ImportFrom):
            names = [node.module or ""]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        for name in names:
            parts = name.split(".")
            if parts[0] == "burdockdock" and len(parts) > 1:
                found.add(parts[1])
    return found


class ArchitectureTest(testtools.TestCase):
    """Tests of all modules in the package."""

    def test_packages_import_only_what_the_page_allows(self) -> None:
        rules = _read_rules()
        packages = {path.parent.name for path in _PACKAGE.glob("*/__init__.py")}
        self.assertEqual(packages, rules.keys())
        for package, allowed in rules.items():
            for path in (_PACKAGE / package).glob("*.py"):
                imported = _imports_of(path) - _IMPORTABLE_BY_ALL - {package}
                self.assertEqual(set(), imported - allowed, path)

    def test_every_module_has_a_docstring(self) -> None:
        for path in _PACKAGE.rglob("*.py"):
            if path.parent.joinpath("__init__.py").exists() and path.stat().st_size:
                self.assertTrue(ast.get_docstring(ast.parse(path.read_text())), path)
