"""Builds a configuration of the target size, and small changes to it."""

from burdockdock.configuration.model import Sections

SERVICE_COUNT = 1900


def full_size_sections(*, services: int = SERVICE_COUNT) -> Sections:
    """Return a configuration with two routes for each service."""
    sections: Sections = {"defaults": {"timeout_ms": "2000", "retries": "1"}}
    for i in range(services):
        name = f"service-{i:04d}"
        sections[f"service {name}"] = {"initial_version": "1"}
        for kind in ("read", "write"):
            sections[f"route {name}-{kind}"] = {
                "path": f"/{name}/{kind}",
                "service": name,
                "class": kind,
            }
    return sections


def with_change(sections: Sections, number: int) -> Sections:
    """Return the sections with a new timeout for one service.

    :param number: number of the change, which selects the service and the timeout.
    """
    name = f"service service-{number % SERVICE_COUNT:04d}"
    changed = {**sections[name], "timeout_ms": str(1000 + number)}
    return {**sections, name: changed}
