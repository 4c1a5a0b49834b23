"""Tests of what a node keeps of the backend servers that left."""

import asyncio
import random

import testtools

from burdockdock.clock import ManualClock
from burdockdock.node.departure_log import DepartureLog
from burdockdock.node.departures import Departures
from tests.support import FakePlatform, async_test, eventually


def _reason(departures: Departures, *start: object, ready: bool = True) -> str:
    refusal = departures.refusal(*start, ready=ready)
    return "" if refusal is None else refusal.reason


class DeparturesTest(testtools.TestCase):
    """Tests of departures that an earlier process wrote."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.written = Departures(clock=self.clock)

    def _read(self) -> Departures:
        """Return the departures as the next process reads them."""
        found = Departures(clock=self.clock)
        found.merge_value(self.written.to_value())
        return found

    def test_messages_of_a_start_that_is_gone(self) -> None:
        self.written.record_gone("i-1", 1000)
        found = self._read()
        self.assertEqual("gone", _reason(found, "i-1", 1000, 9))
        self.assertEqual("gone", _reason(found, "i-1", 999, 9, ready=False))
        self.assertEqual("", _reason(found, "i-1", 1001, 1))
        self.assertEqual("", _reason(found, "i-2", 1000, 1))

    def test_messages_from_before_a_start_was_draining(self) -> None:
        self.written.record_draining("i-1", 1000, 5)
        found = self._read()
        self.assertEqual("late", _reason(found, "i-1", 1000, 4))
        self.assertEqual("", _reason(found, "i-1", 1000, 4, ready=False))
        self.assertEqual("", _reason(found, "i-1", 1000, 6))

    def test_unknown_start_expires_also_if_the_wall_clock_was_stepped(self) -> None:
        self.written.record_gone("i-1", 0)
        self.clock.advance(5.0)
        value = self.written.to_value()
        found = Departures(clock=self.clock)
        value["departures"][0][3] += 3_600_000
        found.merge_value(value)
        self.assertEqual("gone", _reason(found, "i-1", 1000, 9))
        self.clock.advance(15.1)
        self.assertEqual("", _reason(found, "i-1", 1000, 9))

    def test_gone_outweighs_draining_in_any_order(self) -> None:
        later = Departures(clock=self.clock)
        later.record_draining("i-1", 1000, 5)
        self.written.record_gone("i-1", 1000)
        self.written.merge_value(later.to_value())
        self.assertEqual("gone", _reason(self._read(), "i-1", 1000, 9))

    def test_malformed_items_leave_the_others(self) -> None:
        self.written.record_gone("i-1", 1000)
        value = self.written.to_value()
        for item in (None, 3, [], ["i-2"], ["i-2", "x", 0, 0], [["i-2"], 1, {}, 0]):
            value["departures"].insert(0, item)
        found = Departures(clock=self.clock)
        found.merge_value(value)
        self.assertEqual("gone", _reason(found, "i-1", 1000, 9))
        for odd in (None, 3, "x", {}):
            found.merge_value({"departures": odd})


class _Watch:
    """Records what the log says of the history."""

    def __init__(self) -> None:
        self.history: list[str] = []

    def history_known(self) -> None:
        self.history.append("known")

    def history_unreadable(self) -> None:
        self.history.append("unreadable")


class DepartureLogTest(testtools.TestCase):
    """Tests of reading and writing departures on the platform."""

    def setUp(self) -> None:
        super().setUp()
        self.platform = FakePlatform()
        self.watch = _Watch()

    def _open(self) -> tuple[DepartureLog, Departures, asyncio.Task[None]]:
        departures = Departures(clock=ManualClock())
        log = DepartureLog(
            self.platform,
            node_id="a",
            departures=departures,
            watch=self.watch,
            rng=random.Random(1),
        )
        return log, departures, asyncio.create_task(log.run())

    @async_test
    async def test_next_process_knows_the_departures(self) -> None:
        for number in range(3):
            log, departures, task = self._open()
            await eventually(lambda: self.watch.history)
            departures.record_gone(f"i-{number}", 1000)
            log.request_save()
            await log.wait_saved()
            task.cancel()
            self.watch.history.clear()
        _, departures, task = self._open()
        await eventually(lambda: self.watch.history)
        for number in range(3):
            self.assertEqual("gone", _reason(departures, f"i-{number}", 1000, 1))
        task.cancel()

    @async_test
    async def test_wait_ends_while_the_platform_is_down(self) -> None:
        log, departures, task = self._open()
        await eventually(lambda: self.watch.history)
        self.platform.down = True
        departures.record_gone("i-1", 1000)
        log.request_save()
        async with asyncio.timeout(20):
            await log.wait_saved()
        self.platform.down = False
        await eventually(lambda: "departures/a" in self.platform.objects)
        task.cancel()

    @async_test
    async def test_history_is_read_once_the_platform_is_back(self) -> None:
        self.platform.down = True
        _, _, task = self._open()
        await eventually(lambda: self.watch.history)
        self.assertEqual("unreadable", self.watch.history[0])
        self.platform.down = False
        await eventually(lambda: self.watch.history[-1] == "known")
        task.cancel()
