"""Tests of API keys on whole nodes with the product's own configuration."""

import asyncio

import testtools
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from burdockdock.configuration.workspaces import key_digest
from tests.fleet import CONFIG, running_fleet
from tests.support import async_test

_OPEN = "[route open]\npath = /open\nservice = work\npublic = true\n"


def _workspace(name: str, *keys: str) -> str:
    digests = ", ".join(key_digest(key.encode()) for key in keys)
    return f"[workspace {name}]\nkey_digests = {digests}\n"


async def _status(url: str, **headers: str) -> int:
    request = HTTPRequest(url, headers=headers)
    return (await CurlAsyncHTTPClient().fetch(request, raise_error=False)).code


class WorkspacesTest(testtools.TestCase):
    """Tests of versions that add and remove keys."""

    @async_test
    async def test_keys_are_added_and_removed_by_versions(self) -> None:
        async with running_fleet("a", "b") as fleet:
            await fleet.apply(CONFIG + _OPEN)
            await fleet.add_backend("b")
            url = fleet.callers["a"]

            async def statuses() -> list[int]:
                keys = ({"X-Burdockdock-Key": key} for key in ("k1", "k2"))
                paths = [_status(f"{url}/echo", **key) for key in keys]
                return await asyncio.gather(
                    *paths, _status(f"{url}/echo"), _status(f"{url}/open")
                )

            self.assertEqual([200, 200, 200, 200], await statuses())
            for keys, expected in (
                (("k1",), [200, 401, 401, 200]),
                (("k1", "k2"), [200, 200, 401, 200]),
                (("k2",), [401, 200, 401, 200]),
                ((), [401, 401, 401, 200]),
            ):
                await fleet.apply(CONFIG + _OPEN + _workspace("acme", *keys))
                self.assertEqual(expected, await statuses(), keys)
            await fleet.apply(CONFIG + _OPEN)
            self.assertEqual([200, 200, 200, 200], await statuses())
