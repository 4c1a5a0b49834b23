"""Builds a call from a caller's request: route, policy, deadline and headers."""

import uuid

from tornado.httputil import HTTPHeaders, RequestStartLine

from burdockdock.configuration.lookup import draw_service, find_route, policy_for
from burdockdock.configuration.model import Route, Snapshot
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.coordination.whole_numbers import parse_whole_number
from burdockdock.gate.headers import CallHeaders
from burdockdock.protocol.calls import CallRequest, Headers
from burdockdock.proxy.authentication import PUBLIC_WORKSPACE, Identity, identify
from burdockdock.proxy.call import Call
from burdockdock.proxy.context import CallContext
from burdockdock.proxy.regions import allowed_regions

DEFAULT_WORKSPACE = "default"
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"})
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
_NON_IDEMPOTENT_KIND = "non_idempotent"
_DOWNLOAD_KIND = "download"
_MAX_CALL_DEPTH = 32
_MAX_SHOWN_PATH_LENGTH = 200


def make_call(
    context: CallContext,
    start_line: RequestStartLine,
    headers: HTTPHeaders,
    *,
    arrived_at_s: float | None = None,
) -> Call | Failure:
    """Find the route of a request and build its call.

    :param arrived_at_s: monotonic time from which the call's timeout counts, now if
        not given.
    :returns: a failure if this node can't forward the request.
    """
    if context.refusing:
        return Failure(Verdict.NOT_RUN, "node_stopping")
    snapshot = context.snapshot()
    if not snapshot.version:
        return Failure(
            Verdict.NOT_RUN, "no_configuration", "this node has no configuration yet"
        )
    refusal = context.config_refusal()
    if refusal is not None:
        return refusal
    path = start_line.path.partition("?")[0]
    route = find_route(snapshot, host=headers.get("Host", ""), path=path)
    if route is None:
        return _missing_route_failure(snapshot, path, context.missing_version())
    names = context.headers
    identity = identify(
        snapshot,
        route,
        headers.get(names.credential, ""),
        missing_version=context.missing_version,
        count=context.metrics.count,
    )
    if isinstance(identity, Failure):
        return identity
    depth = parse_whole_number(headers.get(names.depth), 0) if names.depth else 0
    if depth >= _MAX_CALL_DEPTH:
        return Failure(Verdict.NOT_RUN, "too_deep", f"call depth {depth}")
    service = draw_service(route, rng=context.rng)
    policy = policy_for(
        snapshot,
        route,
        service=service,
        availability_zone=context.availability_zone,
        node_id=context.node_id,
        now=context.clock.now(),
    )
    timeout_ms = parse_whole_number(headers.get(names.timeout), policy.timeout_ms)
    now_s = context.clock.monotonic() if arrived_at_s is None else arrived_at_s
    timeout_ms = _limit_to_shutdown(context, min(timeout_ms, policy.timeout_ms), now_s)
    if not timeout_ms:
        return Failure(Verdict.NOT_RUN, "node_stopping")
    idempotent = _is_idempotent(route, start_line.method)
    workspace = _workspace_name(identity, names, headers)
    key = None if idempotent else headers.get(names.idempotency_key)
    request = CallRequest(
        request_id=_request_id(names, headers, workspace, key),
        workspace=workspace,
        traffic_class=route.traffic_class,
        route=route.name,
        service=service,
        time_left_ms=timeout_ms,
        idempotent=idempotent,
        method=start_line.method,
        target=start_line.path,
        headers=_request_headers(context, headers, depth, identity),
        body_length=body_length(headers),
        priority=_priority(route, identity),
        queue_length=policy.queue_length,
        key_id=identity.key_id,
        authenticated_version=identity.version if identity.workspace else 0,
    )
    # Attempts multiply with the depth of a chain of calls, so only its first node uses
    # all of the policy's retries; the others retry once at most.
    retries = policy.retries if depth == 0 else min(policy.retries, 1)
    deadline_s = now_s + timeout_ms / 1000
    target_s = deadline_s - (timeout_ms - route.target_latency_ms) / 1000
    return Call(
        request,
        deadline_s,
        retries,
        key=request.request_id if key else "",
        target_s=target_s if route.target_latency_ms else 0.0,
        large_answer=route.kind == _DOWNLOAD_KIND,
        may_wait=context.may_wait,
        allowed_regions=_allowed_regions(route, identity),
        identity=identity,
    )


def _allowed_regions(route: Route, identity: Identity) -> frozenset[str] | None:
    workspace = identity.workspace
    workspace_regions = () if workspace is None else workspace.allowed_regions
    return allowed_regions(route.allowed_regions, workspace_regions)


def _missing_route_failure(
    snapshot: Snapshot, path: str, missing_version: int
) -> Failure:
    """Return the failure of a request without a route.

    While a newer configuration is known but not here, it may have the route.
    """
    if missing_version:
        detail = f"version {missing_version} is not here yet, only {snapshot.version}"
        return Failure(Verdict.NOT_RUN, "configuration_behind", detail)
    # The detail goes into the log and back to the caller.
    shown = path[:_MAX_SHOWN_PATH_LENGTH]
    return Failure(Verdict.NOT_RUN, "no_route", f"no route for {shown}")


def _workspace_name(
    identity: Identity, names: CallHeaders, headers: HTTPHeaders
) -> str:
    """Return the name under which gates share out their slots."""
    if identity.workspace is not None:
        return identity.workspace.name
    if identity.authenticates:
        return PUBLIC_WORKSPACE
    if not names.caller_sets_workspace:
        return DEFAULT_WORKSPACE
    return headers.get(names.workspace, DEFAULT_WORKSPACE)


def _priority(route: Route, identity: Identity) -> int:
    if identity.workspace is None or identity.workspace.priority is None:
        return route.priority
    return identity.workspace.priority


def _limit_to_shutdown(context: CallContext, timeout_ms: int, now_s: float) -> int:
    """Return a call's timeout, shortened so that it ends before this node stops.

    Callers that still send calls after the notice would see a shortened one cut while
    its backend server works on it, so such a call gets no time at all.
    """
    if context.shutdown.would_cut(timeout_ms / 1000, now_s=now_s):
        return 0
    return int(min(timeout_ms, context.shutdown.time_left_s(now_s) * 1000))


def _is_idempotent(route: Route, method: str) -> bool:
    """Return whether a request may run more than once.

    The kind of the route, if it has one, overrides the method.
    """
    if route.kind:
        return route.kind != _NON_IDEMPOTENT_KIND
    return method in _IDEMPOTENT_METHODS


def _request_id(
    names: CallHeaders, headers: HTTPHeaders, workspace: str, key: str | None
) -> str:
    if key:
        return f"{workspace}/{key}"
    given = headers.get(names.request_id) if names.caller_sets_request_id else None
    return given or uuid.uuid4().hex


def body_length(headers: HTTPHeaders) -> int:
    """Return the announced length of a request's body, -1 if it is chunked."""
    if "chunked" in headers.get("Transfer-Encoding", "").lower():
        return -1
    return parse_whole_number(headers.get("Content-Length"), 0)


def _request_headers(
    context: CallContext, headers: HTTPHeaders, depth: int, identity: Identity
) -> Headers:
    names = context.headers
    dropped = _hop_by_hop_headers(headers) | context.replaced_headers
    if identity.authenticates:
        dropped |= context.identity_headers
    kept = [
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in dropped
    ]
    if names.depth:
        kept.append((names.depth, str(depth + 1)))
    if names.caller_service:
        kept.append((names.caller_service, context.own_service()))
    return tuple(kept)


def _hop_by_hop_headers(headers: HTTPHeaders) -> frozenset[str]:
    """Return the names of the headers that apply to one connection only."""
    return hop_by_hop_names(headers.get("Connection", ""))


def hop_by_hop_names(connection_header: str) -> frozenset[str]:
    """Return the hop-by-hop header names, in lower case.

    :param connection_header: value of the Connection header, which may name more.
    """
    lower = connection_header.lower()
    if lower in ("", "close", "keep-alive"):
        return _HOP_BY_HOP_HEADERS
    return _HOP_BY_HOP_HEADERS | {name.strip() for name in lower.split(",")}
