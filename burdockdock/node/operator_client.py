"""Client of a node's operators' address."""

import json
from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

_TIMEOUT_S = 5.0


async def call_node(
    node_url: str, path: str, *, method: str = "GET", body: Any = None
) -> dict[str, Any] | None:
    """Call a node's operators' address; return None if it does not answer."""
    request = HTTPRequest(
        node_url.rstrip("/") + path,
        method=method,
        body=json.dumps(body) if method == "POST" else None,
        request_timeout=_TIMEOUT_S,
        connect_timeout=_TIMEOUT_S,
    )
    try:
        response = await CurlAsyncHTTPClient().fetch(request, raise_error=False)
    except (HTTPError, OSError):
        return None
    if response.code != 200:
        return None
    return json.loads(response.body)
