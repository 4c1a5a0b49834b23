"""Explains why no backend server can take a call."""

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.model import ZONE_EVACUATED
from burdockdock.proxy.attempts import NO_BACKEND_SERVER
from burdockdock.proxy.call import Call
from burdockdock.proxy.endpoints import Endpoints

_NO_ALLOWED_REGION = "no_allowed_region"


def refusal_without_members(call: Call, endpoints: Endpoints) -> Failure | None:
    """Return why a call need not be tried at all, None if it may be.

    Such a call is refused before its body has arrived.
    """
    if endpoints.has_members(call.request.service, call.allowed_regions):
        return None
    return no_member_failure(call, endpoints)


def no_member_failure(call: Call, endpoints: Endpoints) -> Failure:
    """Return the failure of a call for which no member was found."""
    service, regions = call.request.service, call.allowed_regions
    if endpoints.has_members(service):
        if regions is not None and not endpoints.has_members(service, regions):
            names = ", ".join(sorted(regions)) or "none"
            detail = f"no backend server of {service} in the allowed regions: {names}"
            return Failure(Verdict.NOT_RUN, _NO_ALLOWED_REGION, detail)
    elif endpoints.has_excluded(service):
        detail = f"all backend servers of {service} are in evacuated zones"
        return Failure(Verdict.NOT_RUN, ZONE_EVACUATED, detail)
    detail = f"no backend server of {service} accepts calls"
    return Failure(Verdict.NOT_RUN, NO_BACKEND_SERVER, detail)
