"""A configuration of the size aimed for, and small changes of it."""

from burdockdock.configuration.model import Sections

SERVICES = 1900


def full_size_sections(*, services: int = SERVICES) -> Sections:
    """Return a configuration with two routes a service."""
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
    """Return the sections with one service's timeout changed."""
    name = f"service service-{number % SERVICES:04d}"
    changed = {**sections[name], "timeout_ms": str(1000 + number)}
    return {**sections, name: changed}
