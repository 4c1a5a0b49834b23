"""Deselects the tests in KNOWN-RED.txt; fails tests that leak into later ones."""

import gc
import sys
from collections.abc import Generator
from pathlib import Path

import pytest

_KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect the tests whose ids begin a line of the list."""
    listed = {line.split(" ")[0] for line in _KNOWN_RED.read_text().splitlines()}
    red = [item for item in items if item.nodeid in listed]
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item.nodeid not in listed]


@pytest.hookimpl(wrapper=True)
def pytest_runtest_teardown() -> Generator[None, None, None]:
    """Fail a test whose garbage raises an exception when it is collected.

    An object whose ``__del__`` raises is otherwise reported in whichever later test
    the collector happens to run, and there it can also break ``ast.parse``.
    """
    yield
    messages: list[str] = []
    previous_hook = sys.unraisablehook
    sys.unraisablehook = lambda fault: messages.append(
        f"{fault.err_msg or 'Exception ignored in'}: {fault.object!r}:"
        f" {fault.exc_value!r}"
    )
    try:
        gc.collect()
    finally:
        sys.unraisablehook = previous_hook
    if messages:
        raise pytest.PytestUnraisableExceptionWarning("\n".join(messages))
