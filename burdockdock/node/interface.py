"""What a deployment speaks with its platform, its callers and its backend servers."""

from collections.abc import Callable
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
    """What the backend server beside a node can tell it.

    :param take: takes an announcement in, or tells why it was not believed.
    :param leave: takes in that a start of the instance with an id has left, given
        its Unix milliseconds or 0.
    """

    take: Callable[[Announcement], Failure | None]
    leave: Callable[[str, int], None]


# Serves backend servers' announcements at a host and a port.
ServeAnnouncements = Callable[[BackendActions, str, int], HTTPServer]
# Serves the question whether this node is ready at a host and a port.
ServeReadiness = Callable[[Callable[[], bool], str, int], HTTPServer]


class Interface(NamedTuple):
    """The forms that a node uses towards the outside.

    :param orders: how operators order rollouts in the platform, None when they use
        the command line.
    :param serve_announcements: None when backend servers announce themselves at the
        operators' address.
    :param serve_readiness: None when nobody asks.
    """

    dialect: Dialect = OWN_DIALECT
    source: ConfigSource = OWN_SOURCE
    headers: CallHeaders = OWN_HEADERS
    orders: OrderFormat | None = None
    serve_announcements: ServeAnnouncements | None = None
    serve_readiness: ServeReadiness | None = None


OWN_INTERFACE = Interface()


def serve_backend_server(
    interface: Interface,
    settings: NodeSettings,
    *,
    actions: BackendActions,
    is_ready: Callable[[], bool],
) -> list[HTTPServer]:
    """Listen for the backend server, and for the question of readiness.

    Both are answered while a node still joins: the answer is that it is not ready.
    """
    servers = []
    if interface.serve_announcements and settings.announcements[1]:
        servers.append(interface.serve_announcements(actions, *settings.announcements))
    if interface.serve_readiness and settings.readiness[1]:
        servers.append(interface.serve_readiness(is_ready, *settings.readiness))
    return servers
