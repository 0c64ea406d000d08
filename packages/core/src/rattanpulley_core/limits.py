"""Public names of the limits subject."""

from rattanpulley_core._internal.limits import accounts

AccountLimits = accounts.AccountLimits
UNEVEN_FACTOR = accounts.UNEVEN_FACTOR
