"""Translates between the platform's formats and Burdockdock's; makes no decisions."""

from burdockdock.node.interface import Interface
from burdockdock.platform.announcements import serve_announcements, serve_readiness
from burdockdock.platform.configuration import CONFIG_SOURCE
from burdockdock.platform.headers import HEADERS
from burdockdock.platform.objects import DIALECT
from burdockdock.platform.orders import ORDER_FORMAT

INTERFACE = Interface(
    dialect=DIALECT,
    source=CONFIG_SOURCE,
    headers=HEADERS,
    order_format=ORDER_FORMAT,
    serve_announcements=serve_announcements,
    serve_readiness=serve_readiness,
)

__all__ = ["INTERFACE"]
