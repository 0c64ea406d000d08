"""Public names of the budgets subject."""

from rattanpulley_core._internal.budgets import buckets

TokenBucket = buckets.TokenBucket
RetryBudget = buckets.RetryBudget
