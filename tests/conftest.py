"""Deselect the tests in KNOWN-RED.txt, and fail tests that disturb later ones."""

import gc
import sys
from collections.abc import Generator
from pathlib import Path

import pytest

_KNOWN_RED_FILE = Path(__file__).parents[1] / "KNOWN-RED.txt"


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect known failing tests, whose ids start the lines of KNOWN-RED.txt."""
    known_red_ids = {
        line.split(" ")[0] for line in _KNOWN_RED_FILE.read_text().splitlines()
    }
    known_red = [item for item in items if item.nodeid in known_red_ids]
    if known_red:
        config.hook.pytest_deselected(items=known_red)
        items[:] = [item for item in items if item.nodeid not in known_red_ids]


@pytest.hookimpl(wrapper=True)
def pytest_runtest_teardown() -> Generator[None, None, None]:
    """Fail a test if collecting its garbage raises an exception.

    Otherwise, an object whose ``__del__`` raises would be reported in whichever later
    test triggers the garbage collector, where it can also break ``ast.parse``.
    """
    yield
    messages: list[str] = []
    previous_hook = sys.unraisablehook
    sys.unraisablehook = lambda unraisable: messages.append(
        f"{unraisable.err_msg or 'Exception ignored in'}: {unraisable.object!r}:"
        f" {unraisable.exc_value!r}"
    )
    try:
        gc.collect()
    finally:
        sys.unraisablehook = previous_hook
    if messages:
        raise pytest.PytestUnraisableExceptionWarning("\n".join(messages))
