"""Measured samples and the straight lines fitted to them."""

from collections.abc import Sequence
import dataclasses
import math
import statistics


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """A measured cost at one size."""

    size: float
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A cost as a linear function of a size.

    Attributes:
        name: Name of the cost.
        size_unit: Unit of the size.
        cost_unit: Unit of the cost.
        command: Command that repeats the measurement.
        samples: Measured samples.
        slope: Added cost per unit of size.
        intercept: Cost at size 0.
        error: Standard error of the estimate, in units of the cost.
    """

    name: str
    size_unit: str
    cost_unit: str
    command: str
    samples: tuple[Sample, ...]
    slope: float
    intercept: float
    error: float

    def cost_at(self, size: float) -> float:
        """Returns the fitted cost at a size."""
        return self.intercept + self.slope * size


def fit(
    name: str,
    size_unit: str,
    cost_unit: str,
    command: str,
    samples: Sequence[Sample],
) -> Slope:
    """Fits a straight line by least squares.

    Raises:
        ValueError: There are fewer than three samples, too few for a standard
            error of the fit.
    """
    if len(samples) < 3:
        raise ValueError(f"{name}: a fit with an error needs three sizes")
    sizes = [sample.size for sample in samples]
    costs = [sample.cost for sample in samples]
    line = statistics.linear_regression(sizes, costs)
    squares = sum(
        (cost - line.intercept - line.slope * size) ** 2
        for size, cost in zip(sizes, costs, strict=True)
    )
    error = math.sqrt(squares / (len(samples) - 2))
    return Slope(
        name,
        size_unit,
        cost_unit,
        command,
        tuple(samples),
        line.slope,
        line.intercept,
        error,
    )
