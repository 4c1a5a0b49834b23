"""Operators' orders of rollouts, and the outcome that is reported on them."""

from typing import Any

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.platform.values import milliseconds
from burdockdock.platform_api import PlatformObject
from burdockdock.rollout.model import Phase, Rollout
from burdockdock.rollout.orders import Order, OrderFormat

_RUNNING = "running"
_STATE_OF_PHASE = {Phase.DONE: "succeeded", Phase.ROLLED_BACK: "rolled_back"}


def _read_order(found: PlatformObject) -> Order | Failure:
    """Read an order; one that was deleted has version 0 and is withdrawn."""
    service = found.key.partition("/")[2]
    if not found.version:
        return Order(service, "", 0.0, withdrawn=True)
    try:
        to_version = str(found.value["target-version"])
        duration_s = milliseconds(found.value["duration"]) / 1000
    except (KeyError, TypeError, ValueError) as error:
        return Failure(Verdict.NOT_RUN, "order_unreadable", repr(error))
    return Order(service, to_version, duration_s, _reported(found, to_version))


def _reported(found: PlatformObject, to_version: str) -> str:
    """Return the outcome of this very order; an older order's does not count."""
    state = found.status.get("state")
    if found.status.get("target-version") != to_version:
        return ""
    return state if state in _STATE_OF_PHASE.values() else ""


def _status_of(rollout: Rollout) -> dict[str, Any]:
    return {
        "state": _STATE_OF_PHASE.get(rollout.phase, _RUNNING),
        "target-version": rollout.to_version,
    }


ORDER_FORMAT = OrderFormat(_read_order, _status_of)
