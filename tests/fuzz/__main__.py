"""Fuzzes the way of an answer with sequences from a seed."""

import argparse
import asyncio
import sys

from tests import streams
from tests.fuzz.fuzzer import Report, fuzz
from tests.fuzz.ways import WAYS


def main() -> int:
    """Run the sequences, and print what broke a rule."""
    parser = argparse.ArgumentParser(prog="python -m tests.fuzz", description=__doc__)
    parser.add_argument("--seqs", type=int, default=1000)
    parser.add_argument("--first", type=int, default=0, help="number of the first")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--way", choices=list(WAYS), default="gate")
    parser.add_argument("--findings", type=int, default=1, help="stop after so many")
    arguments = parser.parse_args()
    report = asyncio.run(_fuzz(arguments))
    _print(report)
    return 1 if report.findings else 0


async def _fuzz(arguments: argparse.Namespace) -> Report:
    try:
        async with WAYS[arguments.way]() as way:
            return await fuzz(
                way,
                seed=arguments.seed,
                sequences=arguments.seqs,
                first=arguments.first,
                max_findings=arguments.findings,
            )
    finally:
        await streams.close_all()


def _print(report: Report) -> None:
    print(
        f"{report.sequences} sequences, {report.arrivals} arrivals,"
        f" {report.seconds_s:.1f} s, {len(report.findings)} broke a rule"
    )
    print(dict(report.ends.most_common()))
    if report.known:
        print(f"known to be broken, in KNOWN-RED.txt: {dict(report.known)}")
    for finding in report.findings:
        print(f"seed {finding.seed}")
        for violation in finding.violations:
            print(f"  {violation.rule.name}: {violation.detail}")
        for step in finding.shrunk:
            print(f"  {step}")


if __name__ == "__main__":
    sys.exit(main())
