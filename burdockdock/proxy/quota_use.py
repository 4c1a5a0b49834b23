"""The quota token of one call."""

from burdockdock.coordination.quota_stock import Token
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.proxy.quota_client import QuotaClient


class QuotaUse:
    """Takes one token for a call and all its attempts."""

    def __init__(self, client: QuotaClient, workspace: str) -> None:
        self._client = client
        self._workspace = workspace
        self._token: Token | None = None

    async def take(self) -> Failure | None:
        """Take the token; return a failure if the workspace is over its quota."""
        result = await self._client.admit(self._workspace)
        if isinstance(result, Failure):
            return result
        self._token = result
        return None

    async def renew(self) -> Failure | None:
        """Take another token instead if it expired long before the first attempt."""
        token = self._token
        if token is None or not self._client.is_too_late(token):
            return None
        self._token = None
        return await self.take()

    def end(self, failure: Failure | None) -> None:
        """Give the token back, once, if no backend server ran the call.

        :param failure: of the call, None if it was answered.
        """
        token, self._token = self._token, None
        if token is None or failure is None:
            return
        if failure.verdict is Verdict.NOT_RUN:
            self._client.give_back(token)
