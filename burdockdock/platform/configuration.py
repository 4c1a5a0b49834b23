"""The operator's configuration, decoded into the sections that nodes apply."""

from typing import Any

from burdockdock.configuration.delta import ConfigDocument
from burdockdock.configuration.model import Sections
from burdockdock.configuration.source import UNREADABLE, ConfigSource
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.platform.values import milliseconds, rows_of, version_number
from burdockdock.platform_api import PlatformClient, PlatformObject

_KEY = "config/main"
_LOWEST_PRIORITY = 9
_MOST_RETRIES = 5


def _version_of(found: PlatformObject) -> int:
    """Return the version that an object carries, 0 for none that can be read."""
    try:
        return version_number(found.value.get("version"))
    except ValueError:
        return 0


async def _read_document(
    _platform: PlatformClient, found: PlatformObject
) -> ConfigDocument | Failure:
    """Decode the configuration, which stands whole in its one object."""
    try:
        version = version_number(found.value["version"])
        sections = _sections(found.value)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Failure(Verdict.NOT_RUN, UNREADABLE, repr(error))
    return ConfigDocument(version, sections, author="operator")


def _sections(spec: dict[str, Any]) -> Sections:
    sections = {}
    for service in rows_of(spec["services"]):
        sections[f"service {service['name']}"] = {}
    for route in rows_of(spec["routes"]):
        sections[f"route {route['name']}"] = _route(route)
    return sections


def _route(row: dict[str, Any]) -> dict[str, str]:
    attempts = int(row.get("max-attempts", 1))
    pairs = {
        "path": row["path-prefix"],
        "host": row["hostname"],
        "kind": row["kind"],
        "class": row["kind"],
        "retries": str(max(0, min(_MOST_RETRIES, attempts - 1))),
        "priority": str(max(0, min(_LOWEST_PRIORITY, int(row.get("priority", 0))))),
    }
    if "timeout" in row:
        pairs["timeout_ms"] = str(max(1, milliseconds(row["timeout"])))
    if "target-latency" in row:
        pairs["target_latency_ms"] = str(max(1, milliseconds(row["target-latency"])))
    if row.get("traffic-split"):
        parts = row["traffic-split"]
        pairs["split"] = ",".join(f"{p['service']}:{p['weight']}" for p in parts)
    else:
        pairs["service"] = row["service"]
    return pairs


SOURCE = ConfigSource(_KEY, _version_of, _read_document)
