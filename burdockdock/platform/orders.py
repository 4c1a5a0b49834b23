"""Format of the operators' rollout orders and of the status written to them."""

from typing import Any

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.platform.values import MALFORMED, parse_duration_ms
from burdockdock.platform_api import PlatformObject
from burdockdock.rollout.model import Phase, Rollout
from burdockdock.rollout.orders import Order, OrderFormat

_RUNNING_STATE = "running"
_STATE_BY_FINAL_PHASE = {Phase.DONE: "succeeded", Phase.ROLLED_BACK: "rolled_back"}


def _decode_order(found: PlatformObject) -> Order | Failure:
    """Decode an order; a deleted one has version 0 and is returned as withdrawn."""
    service = found.key.partition("/")[2]
    if not found.version:
        return Order(service, "", 0.0, withdrawn=True)
    try:
        to_version = found.value["target-version"]
        if not isinstance(to_version, str) or not to_version:
            raise ValueError("target-version is not a non-empty string")
        duration_s = parse_duration_ms(found.value["duration"]) / 1000
    except MALFORMED as error:
        return Failure(Verdict.NOT_RUN, "order_unreadable", repr(error))
    return Order(service, to_version, duration_s, _reported_outcome(found, to_version))


def _reported_outcome(found: PlatformObject, to_version: str) -> str:
    """Return the order's reported outcome, empty if there is none.

    An outcome of an older order of the service, to another version, doesn't count.
    """
    state = found.status.get("state")
    if found.status.get("target-version") != to_version:
        return ""
    return state if state in _STATE_BY_FINAL_PHASE.values() else ""


def _encode_status(rollout: Rollout) -> dict[str, Any]:
    return {
        "state": _STATE_BY_FINAL_PHASE.get(rollout.phase, _RUNNING_STATE),
        "target-version": rollout.to_version,
    }


ORDER_FORMAT = OrderFormat(_decode_order, _encode_status)
