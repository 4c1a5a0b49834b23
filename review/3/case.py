"""A planned stop breaks off requests at which their instances are at work."""

import asyncio
import signal
from pathlib import Path

from standins.client import Client, Sent
from standins.testbed import Testbed, make_config, run_case

_PLACES = {
    "node-a": ("zone-a", "catalogue"),
    "node-b": ("zone-b", "catalogue"),
    "node-c": ("zone-c", "catalogue"),
}
_TIMEOUT_S = 1.5
_ROUTES = [["register", "/register/", "non_idempotent", "1500ms", 2, "catalogue"]]
_DEADLINE_MS = 3000
# When requests are sent, in seconds after the signal, and how long they run.
_SENT_AT_S = (2.2, 2.5, 2.8, 2.9, 3.6, 3.7, 3.8, 3.9)
_WORK_MS = 1400
# Mean work of the requests before the signal.
_USUAL_WORK_MS = 290


async def _send_at(client: Client, due_s: float) -> Sent:
    await asyncio.sleep(due_s)
    path = f"/register/1?work_ms={_WORK_MS}"
    return await client.send("POST", path, deadline_ms=_DEADLINE_MS, body=b"x" * 1200)


def _is_broken_off(testbed: Testbed, sent: Sent) -> bool:
    """Return whether the system ended a request at which its instance was at work."""
    if sent.signed or sent.status in (408, 421, 429, 503):
        return False
    took_s = sent.ended_at_s - sent.sent_at_s
    if took_s >= min(_TIMEOUT_S, _DEADLINE_MS / 1000):
        return False
    return any(
        run.started_at_s < sent.ended_at_s
        and (run.ended_at_s is None or run.ended_at_s > sent.ended_at_s - 0.02)
        for instance in testbed.instances.values()
        for run in instance.runs.get(sent.request_id, [])
    )


async def case(testbed: Testbed) -> bool:
    """Run the case; return whether the rule held."""
    await testbed.start(_PLACES, config=make_config(7, _ROUTES, ["catalogue"]))
    clients = [testbed.client("node-a") for _ in _SENT_AT_S]
    for client in clients:
        path = f"/register/0?work_ms={_USUAL_WORK_MS}"
        opened = await client.send("POST", path, deadline_ms=_DEADLINE_MS)
        if opened.status != 200:
            raise RuntimeError("a request before the stop wasn't served")
    stopped_at_s = testbed.now_s()
    if testbed.troubled:
        testbed.signal_node("node-a", signal.SIGTERM)
    results = await asyncio.gather(
        *(
            _send_at(client, due_s)
            for client, due_s in zip(clients, _SENT_AT_S, strict=True)
        )
    )
    if testbed.troubled:
        await testbed.wait_end("node-a")
    broken_off = []
    for sent in results:
        sent_after_s = sent.sent_at_s - stopped_at_s
        # Excused: at work in the last sixth of the grace period on a request that was
        # sent no later than 3 s after the signal.
        if _is_broken_off(testbed, sent) and sent_after_s > 3.0:
            broken_off.append(sent)
            testbed.log(
                "broken off",
                request=sent.request_id,
                sent_after_signal=round(sent_after_s, 3),
                ended_after_signal=round(sent.ended_at_s - stopped_at_s, 3),
                status=sent.status,
            )
    testbed.log("judged", requests=len(results), broken_off=len(broken_off))
    return not broken_off


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
