"""Exit statuses that the commands share."""

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_OUTCOME_UNKNOWN = 3
EXIT_UNAVAILABLE = 4
