"""Coordination primitives that can be used without the daemon."""

from burdockdock.coordination.backoff import (
    FleetRetryBudget,
    RetryBudget,
    TokenBucket,
    full_jitter,
)
from burdockdock.coordination.dedupe import DedupeTable
from burdockdock.coordination.lease import Lease
from burdockdock.coordination.limiter import SlotLimiter
from burdockdock.coordination.membership import Member, MembershipTable, MemberState
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.coordination.sequential_test import ComparisonTest, Counts, RateTest
from burdockdock.coordination.verdict import Failure, Verdict, may_retry

__all__ = [
    "ComparisonTest",
    "Counts",
    "DedupeTable",
    "Failure",
    "Lease",
    "Member",
    "MemberRanking",
    "MemberState",
    "MembershipTable",
    "RateTest",
    "Record",
    "RecordStore",
    "FleetRetryBudget",
    "RetryBudget",
    "SlotLimiter",
    "TokenBucket",
    "Verdict",
    "full_jitter",
    "may_retry",
]
