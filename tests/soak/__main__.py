"""Running seeds by hand."""

import argparse
import asyncio
import shutil
import sys
from pathlib import Path

from tests.soak.soak import SoakOptions, SoakReport, run_soak

_MOST_TOLD = 6


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def _tell(options: SoakOptions, report: SoakReport) -> None:
    kind = "planned" if options.planned else "faults"
    verdict = f"{len(report.broken)} broken" if report.broken else "good"
    print(f"seed {options.seed} {kind}: {verdict}, {dict(report.calls)}", flush=True)
    for one in report.broken[:_MOST_TOLD]:
        print(f"  {one.promise}: {one.detail}")
    lines = [f"{one.promise}: {one.detail}" for one in report.broken]
    (options.folder / "broken.txt").write_text("\n".join(lines) + "\n")


def main() -> int:
    """Run some seeds; keep the logs of those that fail."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seed", "--seeds", dest="seeds", type=_seeds, required=True)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--grace", type=float, default=6.0)
    parser.add_argument("--folder", type=Path, default=Path("target/soak"))
    arguments = parser.parse_args()
    failed = 0
    for seed in arguments.seeds:
        folder = arguments.folder / str(seed)
        shutil.rmtree(folder, ignore_errors=True)
        options = SoakOptions(seed, folder, arguments.seconds, arguments.grace)
        report = asyncio.run(run_soak(options))
        _tell(options, report)
        failed += bool(report.broken)
        if not report.broken:
            shutil.rmtree(folder)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
