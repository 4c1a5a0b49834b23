"""Interfaces of a node to its platform, its callers and its backend server."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from tornado.httpserver import HTTPServer

from burdockdock.configuration.source import OWN_SOURCE, ConfigSource
from burdockdock.coordination.verdict import Failure
from burdockdock.gate.headers import OWN_HEADERS, CallHeaders
from burdockdock.node.announcements import Announcement
from burdockdock.node.settings import NodeSettings
from burdockdock.platform_api.dialect import OWN_DIALECT, Dialect
from burdockdock.rollout.orders import OrderFormat


class BackendActions(NamedTuple):
    """Requests that a node's backend server can make of it.

    :param handle_announcement: applies an announcement; returns the failure if it is
        refused, else None.
    :param handle_departure: records that an instance departed, given its id and its
        start time in Unix milliseconds, 0 if unknown.
    :param wait_saved: waits until what says that instances leave is kept beyond the
        process, before it is acknowledged.
    """

    handle_announcement: Callable[[Announcement], Failure | None]
    handle_departure: Callable[[str, int], None]
    wait_saved: Callable[[], Awaitable[None]]


# Starts the HTTP server for backend server announcements on a host and port.
ServeAnnouncements = Callable[[BackendActions, str, int], HTTPServer]
# Starts the HTTP server for readiness checks on a host and port.
ServeReadiness = Callable[[Callable[[], bool], str, int], HTTPServer]


class Interface(NamedTuple):
    """Formats and servers that depend on the platform of a deployment.

    :param dialect: how platform requests are encoded.
    :param source: how the configuration is read from the platform.
    :param headers: names of the HTTP headers of calls.
    :param order_format: format of rollout orders in the platform; None if operators
        start rollouts on the command line.
    :param serve_announcements: None if backend servers announce themselves at the
        operators' address.
    :param serve_readiness: None if nothing checks readiness.
    """

    dialect: Dialect = OWN_DIALECT
    source: ConfigSource = OWN_SOURCE
    headers: CallHeaders = OWN_HEADERS
    order_format: OrderFormat | None = None
    serve_announcements: ServeAnnouncements | None = None
    serve_readiness: ServeReadiness | None = None


OWN_INTERFACE = Interface()


def serve_backend_and_readiness(
    interface: Interface,
    settings: NodeSettings,
    *,
    actions: BackendActions,
    is_ready: Callable[[], bool],
) -> list[HTTPServer]:
    """Start the servers for backend server announcements and readiness checks.

    Both also answer while the node joins, when the readiness check reports not ready.

    :returns: the servers that the settings enable.
    """
    servers = []
    if interface.serve_announcements and settings.announcements[1]:
        servers.append(interface.serve_announcements(actions, *settings.announcements))
    if interface.serve_readiness and settings.readiness[1]:
        servers.append(interface.serve_readiness(is_ready, *settings.readiness))
    return servers
