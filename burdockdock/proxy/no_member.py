"""Explains why no backend server can take a call."""

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.model import ZONE_EVACUATED
from burdockdock.proxy.endpoints import Endpoints

_NO_BACKEND_SERVER = "no_backend_server"


def no_member_failure(service: str, endpoints: Endpoints) -> Failure:
    """Return the failure of a call for which no member was found."""
    if not endpoints.members_of(service) and endpoints.has_excluded(service):
        detail = f"all backend servers of {service} are in evacuated zones"
        return Failure(Verdict.NOT_RUN, ZONE_EVACUATED, detail)
    detail = f"no backend server of {service} accepts calls"
    return Failure(Verdict.NOT_RUN, _NO_BACKEND_SERVER, detail)
