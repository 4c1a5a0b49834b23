"""Tests of the client against a fake of the platform's object store."""

import asyncio

import testtools

from burdockdock.clock import SystemClock
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.platform.objects import DIALECT
from burdockdock.platform_api import Conflict, PlatformClient, PlatformObject
from burdockdock.standin.local_fleet import free_port
from tests.platform.fake_object_store import FakeObjectStore
from tests.support import async_test

_HOST = "127.0.0.1"


def _open_store() -> tuple[FakeObjectStore, PlatformClient]:
    store = FakeObjectStore()
    port = free_port()
    store.serve(_HOST, port)
    client = PlatformClient(
        f"http://{_HOST}:{port}", name="n", clock=SystemClock(), dialect=DIALECT
    )
    return store, client


class ObjectsTest(testtools.TestCase):
    """Tests of reads, conditional writes, lists, watches and malformed responses."""

    @async_test
    async def test_an_object_is_created_once_and_replaced_by_its_version(self) -> None:
        store, client = _open_store()
        created = await client.try_update("a/b/c", expected_version=0, value={"x": 1})
        self.assertEqual({"x": 1}, store.get("a", "b.c")["spec"])
        second = await client.try_update("a/b/c", expected_version=0, value={"x": 2})
        self.assertIsInstance(second, Conflict)
        self.assertEqual(created.version, second.current.version)
        replaced = await client.try_update(
            "a/b/c", expected_version=created.version, value={"x": 3}
        )
        self.assertGreater(replaced.version, created.version)
        outdated = await client.try_update(
            "a/b/c", expected_version=created.version, value={"x": 4}
        )
        self.assertEqual({"x": 3}, outdated.current.value)

    @async_test
    async def test_a_missing_object_has_version_0(self) -> None:
        _, client = _open_store()
        found = await client.read("a/b")
        self.assertEqual((0, {}), (found.version, found.value))
        result = await client.try_update("a/b", expected_version=5, value={})
        self.assertEqual(0, result.current.version)

    @async_test
    async def test_lost_response_is_resolved_by_the_token(self) -> None:
        store, client = _open_store()
        store.lost_write_responses = 1
        written = await client.update("a/b", expected_version=0, value={"x": 1})
        self.assertIsInstance(written, PlatformObject)
        self.assertEqual(1, store.get("a", "b")["spec"]["x"])

    @async_test
    async def test_status_write_keeps_the_operators_spec(self) -> None:
        store, client = _open_store()
        order = await store.put("rollouts", "s", spec={"service": "s"})
        revision = order["metadata"]["revision"]
        result = await client.write_status(
            "orders/s", expected_version=revision, status={"state": "running"}
        )
        self.assertEqual({"state": "running"}, result.status)
        self.assertEqual({"service": "s"}, store.get("rollouts", "s")["spec"])

    @async_test
    async def test_rollout_states_and_orders_have_separate_kinds(self) -> None:
        store, client = _open_store()
        await client.try_update("rollouts/s", expected_version=0, value={"number": 1})
        self.assertIsNone(store.get("rollouts", "s"))

    @async_test
    async def test_all_pages_of_a_long_list_are_read(self) -> None:
        store, client = _open_store()
        for i in range(120):
            await store.put("a", f"n{i:03}", spec={"i": i})
        found = await client.list("a/")
        self.assertEqual([f"a/n{i:03}" for i in range(120)], [o.key for o in found[1]])

    @async_test
    async def test_watch_returns_changes_and_deletions(self) -> None:
        store, client = _open_store()
        listed = await client.list("a/")
        watch = asyncio.create_task(client.watch("a/", after=listed.revision))
        await store.put("a", "b", spec={"x": 1})
        changed = await watch
        self.assertEqual(
            [("a/b", {"x": 1})], [o[::2] for o in _without_status(changed.objects)]
        )
        await store.remove("a", "b")
        deleted = await client.watch("a/", after=changed.revision)
        self.assertEqual([("a/b", 0, {})], _without_status(deleted.objects))

    @async_test
    async def test_watch_from_a_forgotten_revision_is_a_failure(self) -> None:
        store, client = _open_store()
        store.history_start = 100
        found = await client.watch("a/", after=5)
        self.assertEqual("history_gone", found.reason)
        self.assertEqual(0, client.failures_in_row)

    @async_test
    async def test_refused_call_is_reported_as_not_run(self) -> None:
        store, client = _open_store()
        for status in (429, 503):
            store.refusal_status = status
            result = await client.try_update("a/b", expected_version=0, value={})
            self.assertEqual(Verdict.NOT_RUN, result.verdict)

    @async_test
    async def test_malformed_response_is_a_failure_with_a_detail(self) -> None:
        store, client = _open_store()
        await store.put("a", "b", spec={})
        for malformed in (b"[]", b"{}", b'"x"', b"null", b"\xff\x00", b'{"items": 3}'):
            store.malformed_body = malformed
            for result in (
                await client.read("a/b"),
                await client.list("a/"),
                await client.watch("a/", after=1, wait_s=0.1),
            ):
                self.assertIsInstance(result, Failure, malformed)
                self.assertNotEqual("", result.detail)


def _without_status(objects: list[PlatformObject]) -> list[tuple]:
    return [found[:3] for found in objects]
