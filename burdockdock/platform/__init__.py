"""Translation between the users' platform and the product; nothing is decided here."""

from burdockdock.node.interface import Interface
from burdockdock.platform.announcements import serve_announcements, serve_readiness
from burdockdock.platform.configuration import SOURCE
from burdockdock.platform.headers import HEADERS
from burdockdock.platform.objects import DIALECT
from burdockdock.platform.orders import ORDER_FORMAT

INTERFACE = Interface(
    dialect=DIALECT,
    source=SOURCE,
    headers=HEADERS,
    orders=ORDER_FORMAT,
    serve_announcements=serve_announcements,
    serve_readiness=serve_readiness,
)

__all__ = ["INTERFACE"]
