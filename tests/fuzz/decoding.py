"""Feeds changed bytes to decoders: ``python -m tests.fuzz.decoding``."""

import argparse
import random
import resource
import sys
import time
from typing import NamedTuple

from tests.fuzz.decoders import DECODERS, Decoder
from tests.fuzz.mutations import mutate, mutate_json

# Inputs until a process has allocated what it needs for any input.
_WARM_UP_CASES = 500


class UnclearError(NamedTuple):
    """An error that a decoder must not raise."""

    data: bytes
    error: Exception


class DecodingReport(NamedTuple):
    """What a run did.

    :param decoded: inputs that were decoded without an error.
    :param known: errors that are known to be unclear.
    :param growth_kb: growth of the process's peak memory after the first inputs.
    """

    cases: int
    decoded: int
    unclear: list[UnclearError]
    known: int
    growth_kb: int


def fuzz_decoder(
    decoder: Decoder, *, seed: int, cases: int, end_s: float = float("inf")
) -> DecodingReport:
    """Feed changed samples to a decoder.

    :param end_s: monotonic time at which to stop.
    """
    rng = random.Random(seed)
    unclear = []
    decoded = known = count = before_kb = 0
    while count < cases and time.monotonic() < end_s and len(unclear) < 3:
        count += 1
        is_json = decoder.has_json and rng.random() < 0.5
        data = (mutate_json if is_json else mutate)(rng, decoder.samples)
        try:
            decoder.decode(data)
            decoded += 1
        except decoder.clear_errors:
            pass
        except decoder.known_errors:
            known += 1
        except Exception as error:
            unclear.append(UnclearError(data, error))
        if count == _WARM_UP_CASES:
            before_kb = _peak_memory_kb()
    growth_kb = _peak_memory_kb() - before_kb if before_kb else 0
    return DecodingReport(count, decoded, unclear, known, growth_kb)


def _peak_memory_kb() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def main() -> int:
    """Fuzz one decoder for a time, and print what it raised."""
    parser = argparse.ArgumentParser(
        prog="python -m tests.fuzz.decoding", description=__doc__
    )
    parser.add_argument("decoder", choices=list(DECODERS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=600.0)
    arguments = parser.parse_args()
    report = fuzz_decoder(
        DECODERS[arguments.decoder],
        seed=arguments.seed,
        cases=sys.maxsize,
        end_s=time.monotonic() + arguments.seconds,
    )
    print(
        f"{arguments.decoder}: {report.cases} cases, {report.decoded} decoded,"
        f" {len(report.unclear)} unclear errors, {report.known} known ones,"
        f" peak memory grew by {report.growth_kb} kB"
    )
    for unclear in report.unclear:
        print(f"  {unclear.error!r}: {unclear.data[:2000]!r}")
    return 1 if report.unclear else 0


if __name__ == "__main__":
    sys.exit(main())
