"""Commands for actions whose outcome is unknown."""

import math

from cleo.helpers import argument
from cleo.helpers import option

from rattanpulley import exceptions
from rattanpulley._internal.commands import base
from rattanpulley._internal.moves import times
from rattanpulley._internal.views import text
from rattanpulley_core import claims


class UnknownCommand(base.OperatorCommand):
    """Lists the actions whose outcome is unknown."""

    name = "unknown"
    description = "Lists actions whose outcome is not known."
    options = (base.PLATFORM_OPTION, base.JSON_OPTION)

    def run_command(self) -> text.Output:
        """Returns the claims with an unknown outcome."""
        found = claims.list_unknown(self.store(), self.services.wall_s())
        grid = text.Grid(
            ("key", "state", "daemon", "since", "settle from"),
            [_claim_cells(claim) for claim in found],
        )
        data = {"claims": [_claim_json(claim) for claim in found]}
        return text.Output(data, [grid if found else "no unknown outcomes"])


class SettleCommand(base.OperatorCommand):
    """Records whether an action with an unknown outcome ran."""

    name = "settle"
    description = "Settles an action whose outcome is not known."
    arguments = (argument("key", "Key that 'unknown' shows."),)
    options = (
        option("ran", None, "The action ran; the key stays used."),
        option("not-run", None, "It did not run; the key may be used again."),
        base.REASON_OPTION,
        base.WHO_OPTION,
        base.PLATFORM_OPTION,
        base.JSON_OPTION,
    )

    def run_command(self) -> text.Output:
        """Returns the state of the claim after the settlement."""
        if self.option("ran") == self.option("not-run"):
            raise exceptions.UsageError(
                "the outcome of the action is not given",
                "Give either --ran or --not-run",
            )
        if not self.option("reason"):
            raise exceptions.UsageError(
                "the reason is not given", "Give --reason TEXT"
            )
        key = self.argument("key")
        record = self._settle(key)
        data = {"key": key, "state": record.state.value}
        return text.Output(data, [f"{key} is now {record.state.value}"])

    def _settle(self, key: str) -> claims.ClaimRecord:
        try:
            return claims.settle(
                self.store(),
                key,
                self.option("ran"),
                self.operator_name(),
                self.services.wall_s(),
                self.option("reason"),
            )
        except claims.SettlementRefusedError as error:
            raise exceptions.RefusedError(
                str(error), "Nothing was written"
            ) from error
        except claims.SettlementOutcomeUnknownError as error:
            raise exceptions.OutcomeUnknownError(
                str(error), "Read the claim with 'rattanpulley unknown'"
            ) from error


def _claim_cells(claim: claims.UnknownClaim) -> tuple[str, ...]:
    record = claim.record
    if record is None:
        return (text.cell(claim.key), "not readable", "-", "-", "-")
    return (
        text.printable(claim.key),
        record.state.value,
        text.cell(record.daemon),
        times.format_time(record.wall_s),
        times.format_time(claim.settle_from_wall_s),
    )


def _claim_json(claim: claims.UnknownClaim) -> dict[str, object]:
    record = claim.record
    has_settle_time = math.isfinite(claim.settle_from_wall_s)
    return {
        "key": claim.key,
        "version": claim.version,
        "state": record.state.value if record else None,
        "daemon": record.daemon if record else None,
        "wall_s": record.wall_s if record else None,
        "settle_from_wall_s": claim.settle_from_wall_s
        if has_settle_time
        else None,
    }
