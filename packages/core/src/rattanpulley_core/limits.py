"""Public API for account limits."""

from rattanpulley_core._internal.limits import accounts

AccountLimits = accounts.AccountLimits
IMBALANCE_FACTOR = accounts.IMBALANCE_FACTOR
