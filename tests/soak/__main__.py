"""Running seeds by hand."""

import argparse
import asyncio
import shutil
import sys
from pathlib import Path

from tests.soak.soak import SoakOptions, run_soak

_FOLDER = Path("target/soak")
# Each seed that ever failed, and the cause.
FAILED = {
    1: "a caller read a short refusal at the pace of a large answer",
    2: "the program's wrapper left an early SIGHUP to its default action",
    3: "a caller read a short refusal at the pace of a large answer",
    4: "one backend server was restarted twice at a time",
    21: "a node was paused before its SIGTERM and past its grace time",
    220: "a second signal that a late restart began was not waited for",
}


def _seeds(text: str) -> list[int]:
    """Read a number, two with a dash, or the word ``failed``."""
    if text == "failed":
        return list(FAILED)
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Run some seeds; keep the logs of those that fail."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seed", "--seeds", dest="seeds", type=_seeds, required=True)
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    failed = 0
    for seed in arguments.seeds:
        folder = _FOLDER / str(seed)
        shutil.rmtree(folder, ignore_errors=True)
        options = SoakOptions(seed, folder, arguments.seconds)
        broken, calls = asyncio.run(run_soak(options))
        kind = "planned" if options.planned else "faults"
        print(f"seed {seed} {kind}: {len(broken)} broken, {dict(calls)}", flush=True)
        for one in broken:
            print(f"  {one.promise}: {one.detail}")
        failed += bool(broken)
        if not broken:
            shutil.rmtree(folder)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
