"""Decodes the operator's configuration into the sections that nodes apply.

The platform has accepted it, so that numbers beyond what a node can do become the
nearest that it can.
"""

import json
import sys
from typing import Any

from burdockdock.configuration.bounds import (
    CALLER_LIMIT_BOUNDS,
    LOWEST_PRIORITY,
    MAX_COLD_PER_S,
    MAX_COLD_START_MS,
    MAX_RATE_PER_S,
    MAX_RETRIES,
    MAX_TIMEOUT_MS,
)
from burdockdock.configuration.delta import ConfigDocument
from burdockdock.configuration.model import Sections
from burdockdock.configuration.source import UNREADABLE, ConfigSource
from burdockdock.configuration.workspaces import key_digest
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.platform.values import (
    MALFORMED,
    clamp_number,
    parse_duration_ms,
    parse_table,
    parse_version,
)
from burdockdock.platform_api import PlatformClient, PlatformObject

_CONFIG_KEY = "config/main"


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
        document = ConfigDocument(version, sections, author="operator")
        # Half of a surrogate pair can't be sent to other nodes.
        json.dumps(sections, ensure_ascii=False).encode()
    except MALFORMED as error:
        return Failure(Verdict.NOT_RUN, UNREADABLE, repr(error))
    return document


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
            key = name.replace("-", "_")
            section[key] = _clamp_whole(limits[name], *CALLER_LIMIT_BOUNDS[key])
    for name in ("header-timeout", "idle-timeout"):
        if limits.get(name) is not None:
            key = name.replace("-", "_") + "_ms"
            section[key] = _clamp_duration(limits[name], *CALLER_LIMIT_BOUNDS[key])
    return section


def _decode_service(row: dict[str, Any]) -> dict[str, str]:
    section = {}
    if "cold-per-s" in row:
        section["cold_per_s"] = _clamp_fraction(row["cold-per-s"], MAX_COLD_PER_S)
    if "cold-start" in row:
        section["cold_start_ms"] = _clamp_duration(
            row["cold-start"], 0, MAX_COLD_START_MS
        )
    return section


def _decode_route(row: dict[str, Any]) -> dict[str, str]:
    section = {
        "path": row["path-prefix"],
        "host": row["hostname"],
        "kind": row["kind"],
        "class": row["kind"],
        "retries": _decode_retries(row),
        "priority": _clamp_whole(row.get("priority", 0), 0, LOWEST_PRIORITY),
    }
    if "timeout" in row:
        section["timeout_ms"] = _clamp_duration(row["timeout"], 1, MAX_TIMEOUT_MS)
    if "target-latency" in row:
        section["target_latency_ms"] = _clamp_duration(
            row["target-latency"], 1, MAX_TIMEOUT_MS
        )
    if row.get("allowed-regions"):
        section["allowed_regions"] = _decode_names(row, "allowed-regions")
    if row.get("public") is True:
        section["public"] = "true"
    if row.get("traffic-split"):
        section["split"] = _decode_split(row["traffic-split"])
    else:
        section["service"] = row["service"]
    return section


def _decode_workspace(row: dict[str, Any]) -> dict[str, str]:
    """Decode a workspace; only the digests of its keys go further than this."""
    section = {
        "key_digests": ",".join(
            key_digest(key.encode()) for key in _decode_texts(row, "api-keys")
        ),
        "rate_per_s": _clamp_fraction(row.get("rate-per-s", 0), MAX_RATE_PER_S),
        "burst": _clamp_fraction(row.get("burst", 0), MAX_RATE_PER_S),
        "allowed_regions": _decode_names(row, "allowed-regions"),
    }
    if "priority" in row:
        section["priority"] = _clamp_whole(row["priority"], 0, LOWEST_PRIORITY)
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


def _decode_retries(row: dict[str, Any]) -> str:
    attempts = int(clamp_number(row.get("max-attempts", 1), 1, MAX_RETRIES + 1))
    return str(attempts - 1)


def _decode_split(shares: list[dict[str, Any]]) -> str:
    """Decode a split; the weights become parts of the greatest one.

    The sum of weights as they are could be infinite.
    """
    if any("," in share["service"] for share in shares):
        raise ValueError("the name of a service in a traffic-split has a comma")
    weights = [clamp_number(share["weight"], 0, sys.float_info.max) for share in shares]
    greatest = max(weights) or 1
    return ",".join(
        f"{share['service']}:{weight / greatest}"
        for share, weight in zip(shares, weights, strict=True)
    )


def _clamp_whole(value: Any, low: int, high: int) -> str:
    return str(int(clamp_number(value, low, high)))


def _clamp_fraction(value: Any, high: float) -> str:
    number = clamp_number(value, -1, high)
    if number < 0:
        # As 0 it would mean that there is no limit.
        raise ValueError("a value of a row is negative")
    return str(float(number))


def _clamp_duration(text: Any, low_ms: int, high_ms: int) -> str:
    return str(max(low_ms, min(high_ms, parse_duration_ms(text))))


CONFIG_SOURCE = ConfigSource(
    _CONFIG_KEY, _decode_version, _decode_document, is_binding=True
)
