"""Runs the soak test with the given seeds."""

import argparse
import asyncio
import shutil
import sys
from pathlib import Path

from tests.soak.soak import SoakOptions, run_soak

_RESULTS_DIR = Path("target/soak")
# Every seed that has failed so far, and the cause.
FAILED_SEEDS = {
    1: "a caller delayed reading a short refusal as if it were a large answer",
    2: "node_program did not ignore a SIGHUP that arrived during its imports",
    3: "a caller delayed reading a short refusal as if it were a large answer",
    4: "two restarts of one backend server overlapped",
    21: "a node was paused before its SIGTERM until after its grace period",
    220: "the soak did not wait for the second SIGTERM of a late restart",
}


def _seeds(text: str) -> list[int]:
    """Parse a seed, a range such as ``1-50``, or ``failed`` for all FAILED_SEEDS."""
    if text == "failed":
        return list(FAILED_SEEDS)
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Run each seed, and keep the logs of those that fail."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seed", "--seeds", dest="seeds", type=_seeds, required=True)
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    failed = 0
    for seed in arguments.seeds:
        folder = _RESULTS_DIR / str(seed)
        shutil.rmtree(folder, ignore_errors=True)
        options = SoakOptions(seed, folder, arguments.seconds)
        violations, calls = asyncio.run(run_soak(options))
        kind = "planned" if options.planned else "faults"
        print(
            f"seed {seed} {kind}: {len(violations)} broken, {dict(calls)}", flush=True
        )
        for violation in violations:
            print(f"  {violation.invariant}: {violation.detail}")
        failed += bool(violations)
        if not violations:
            shutil.rmtree(folder)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
