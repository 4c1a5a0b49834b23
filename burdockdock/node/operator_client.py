"""HTTP client for the operators' API of a node."""

import json
from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

_REQUEST_TIMEOUT_S = 5.0


async def call_node(
    node_url: str, path: str, *, method: str = "GET", body: Any = None
) -> dict[str, Any] | None:
    """Send a request to the operators' API of a node.

    :param body: JSON value, sent only with POST.
    :returns: the JSON answer, None if the node did not answer with status 200.
    """
    request = HTTPRequest(
        node_url.rstrip("/") + path,
        method=method,
        body=json.dumps(body) if method == "POST" else None,
        request_timeout=_REQUEST_TIMEOUT_S,
        connect_timeout=_REQUEST_TIMEOUT_S,
    )
    try:
        response = await CurlAsyncHTTPClient().fetch(request, raise_error=False)
    except (HTTPError, OSError):
        return None
    if response.code != 200:
        return None
    return json.loads(response.body)
