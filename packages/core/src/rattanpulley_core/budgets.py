"""Public API for retry budgets and rate limits."""

from rattanpulley_core._internal.budgets import buckets

TokenBucket = buckets.TokenBucket
RetryBudget = buckets.RetryBudget
