"""Decodes the operator's configuration into the sections that nodes apply."""

from typing import Any

from burdockdock.configuration.delta import ConfigDocument
from burdockdock.configuration.model import Sections
from burdockdock.configuration.source import UNREADABLE, ConfigSource
from burdockdock.configuration.workspaces import key_digest
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.platform.values import (
    MALFORMED,
    parse_duration_ms,
    parse_table,
    parse_version,
)
from burdockdock.platform_api import PlatformClient, PlatformObject

_CONFIG_KEY = "config/main"
_LOWEST_PRIORITY = 9
_MAX_RETRIES = 5


def _decode_version(found: PlatformObject) -> int:
    """Return the version in an object, 0 if it is missing or malformed."""
    try:
        return parse_version(found.value.get("version"))
    except ValueError:
        return 0


async def _decode_document(
    _platform: PlatformClient, found: PlatformObject
) -> ConfigDocument | Failure:
    """Decode the configuration, which the platform stores in a single object."""
    try:
        version = parse_version(found.value["version"])
        sections = _decode_sections(found.value)
    except MALFORMED as error:
        return Failure(Verdict.NOT_RUN, UNREADABLE, repr(error))
    return ConfigDocument(version, sections, author="operator")


def _decode_sections(spec: dict[str, Any]) -> Sections:
    sections = {}
    for service in parse_table(spec["services"]):
        sections[f"service {service['name']}"] = _decode_service(service)
    for route in parse_table(spec["routes"]):
        sections[f"route {route['name']}"] = _decode_route(route)
    if spec.get("limits"):
        sections["limits"] = _decode_limits(spec["limits"])
    for tenant in parse_table(spec["tenants"]) if spec.get("tenants") else ():
        sections[f"workspace {tenant['name']}"] = _decode_workspace(tenant)
    return sections


def _decode_limits(limits: dict[str, Any]) -> dict[str, str]:
    """Decode the limits for callers; what is missing isn't limited."""
    section = {}
    for name in ("max-header-bytes", "max-body-bytes"):
        if limits.get(name) is not None:
            section[name.replace("-", "_")] = str(max(0, int(limits[name])))
    for name in ("header-timeout", "idle-timeout"):
        if limits.get(name) is not None:
            key = name.replace("-", "_") + "_ms"
            section[key] = str(parse_duration_ms(limits[name]))
    return section


def _decode_service(row: dict[str, Any]) -> dict[str, str]:
    section = {}
    if "cold-per-s" in row:
        section["cold_per_s"] = str(float(row["cold-per-s"]))
    if "cold-start" in row:
        section["cold_start_ms"] = str(parse_duration_ms(row["cold-start"]))
    return section


def _decode_route(row: dict[str, Any]) -> dict[str, str]:
    attempts = int(row.get("max-attempts", 1))
    section = {
        "path": row["path-prefix"],
        "host": row["hostname"],
        "kind": row["kind"],
        "class": row["kind"],
        "retries": str(max(0, min(_MAX_RETRIES, attempts - 1))),
        "priority": _clamp_priority(row.get("priority", 0)),
    }
    if "timeout" in row:
        section["timeout_ms"] = str(max(1, parse_duration_ms(row["timeout"])))
    if "target-latency" in row:
        section["target_latency_ms"] = str(
            max(1, parse_duration_ms(row["target-latency"]))
        )
    if row.get("allowed-regions"):
        section["allowed_regions"] = _decode_names(row, "allowed-regions")
    if row.get("public") is True:
        section["public"] = "true"
    if row.get("traffic-split"):
        shares = row["traffic-split"]
        section["split"] = ",".join(
            f"{share['service']}:{share['weight']}" for share in shares
        )
    else:
        section["service"] = row["service"]
    return section


def _decode_workspace(row: dict[str, Any]) -> dict[str, str]:
    """Decode a workspace; only the digests of its keys go further than this."""
    section = {
        "key_digests": ",".join(
            key_digest(key.encode()) for key in _decode_texts(row, "api-keys")
        ),
        "rate_per_s": str(_decode_number(row, "rate-per-s")),
        "burst": str(_decode_number(row, "burst")),
        "allowed_regions": _decode_names(row, "allowed-regions"),
    }
    if "priority" in row:
        section["priority"] = _clamp_priority(row["priority"])
    return section


def _decode_texts(row: dict[str, Any], column: str) -> list[str]:
    """Decode a list of strings, which may be missing; no error says any of them."""
    texts = row.get(column, [])
    if not isinstance(texts, list) or not all(isinstance(t, str) for t in texts):
        raise TypeError(f"{column} of a row is not a list of strings")
    return texts


def _decode_names(row: dict[str, Any], column: str) -> str:
    """Decode a list of names into a comma-separated text."""
    names = _decode_texts(row, column)
    if any("," in name for name in names):
        raise ValueError(f"a name in {column} of a row has a comma")
    return ",".join(names)


def _decode_number(row: dict[str, Any], column: str) -> float:
    """Decode a number; no error says the value, which may be a misplaced key."""
    try:
        return float(row.get(column, 0))
    except (TypeError, ValueError):
        raise ValueError(f"{column} of a row is not a number") from None


def _clamp_priority(value: Any) -> str:
    try:
        return str(max(0, min(_LOWEST_PRIORITY, int(value))))
    except (TypeError, ValueError):
        raise ValueError("the priority of a row is not a number") from None


CONFIG_SOURCE = ConfigSource(_CONFIG_KEY, _decode_version, _decode_document)
