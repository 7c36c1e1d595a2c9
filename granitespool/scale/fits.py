"""Least-squares fits of measured costs against the sizes that they depend on, without I/O.

The form of a fit (constant, proportional, linear, product of two sizes) is selected by its residual and not
assumed: a further term, or a further size in a term, must lower the residual by more than the factor
`PARAMETER_PENALTY`. All residuals are relative to the measured cost, so that the small points of a sweep
count as much as the large ones.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from itertools import combinations_with_replacement

import msgspec

from granitespool.errors import GranitespoolError

NOISE_FLOOR = 0.02  # below this relative residual, a better fit does not justify a further parameter
PARAMETER_PENALTY = 1.5  # factor by which a further term, or size in a term, must lower the residual
RESIDUAL_LIMIT = 0.25  # relative residual above which a form does not describe the samples
ERROR_LIMIT = 0.25  # relative error above which the prediction of a held-out sample is a miss
PIVOT_MIN = 1e-12  # scaled pivot below which the normal equations are singular
NEGATIVE_MIN = -1e-9  # share of the mean cost below which a negative coefficient is more than rounding

Term = tuple[str, ...]  # names of the sizes to multiply; the empty term is the constant 1


class FitError(GranitespoolError):
    """The samples do not allow the requested fit."""


class TooFewSamplesError(FitError):
    """There are too few samples to fit the coefficients and to assess the fit."""


class SingularFitError(FitError):
    """The samples do not determine the coefficients: a size does not vary, or is always zero."""


class FormRejectedError(FitError):
    """No form describes the samples with a residual within the limit."""

    def __init__(self, best: "Fit", limit: float) -> None:
        super().__init__(
            f"{best.form.name} leaves a residual of {best.residual:.3f}, over the limit of {limit:.3f}"
        )
        self.best = best
        self.limit = limit


class Sample(msgspec.Struct, frozen=True):
    """One measured cost, in any unit, at named sizes."""

    sizes: Mapping[str, float]
    cost: float


class Form(msgspec.Struct, frozen=True):
    """A sum of terms, each a product of sizes with its coefficient."""

    name: str
    terms: tuple[Term, ...]


class Fit(msgspec.Struct, frozen=True):
    """A form with its coefficients; `residual` is the root mean square of the relative errors."""

    form: Form
    coefficients: tuple[float, ...]
    residual: float

    def predict(self, sizes: Mapping[str, float]) -> float:
        """Return the cost at these sizes, in the unit of the samples."""
        return sum(
            coefficient * _value(term, sizes)
            for coefficient, term in zip(self.coefficients, self.form.terms, strict=True)
        )

    @property
    def text(self) -> str:
        """The formula, such as `0.12 + 3.4e-05 backends x zones`."""
        pieces = [
            f"{coefficient:.3g} {' x '.join(term)}".rstrip()
            for coefficient, term in zip(self.coefficients, self.form.terms, strict=True)
        ]
        return " + ".join(pieces)


class HeldOut(msgspec.Struct, frozen=True):
    """A sample that the fit was not made from, with the prediction of the fit for it."""

    sample: Sample
    predicted: float
    error: float  # (predicted - measured) / measured
    limit: float

    @property
    def exceeds_limit(self) -> bool:
        """Whether the error of the prediction exceeds the limit."""
        return not abs(self.error) <= self.limit


def constant() -> Form:
    """Return the form of a cost that depends on no size."""
    return Form("constant", ((),))


def proportional(size: str) -> Form:
    """Return the form of a cost that is a multiple of one size."""
    return Form(f"proportional to {size}", ((size,),))


def linear(size: str) -> Form:
    """Return the form of a fixed cost and a multiple of one size."""
    return Form(f"linear in {size}", ((), (size,)))


def product(first: str, second: str) -> Form:
    """Return the form of a multiple of the product of two sizes, which may be the same."""
    return Form(f"product of {first} and {second}", ((first, second),))


def product_with_base(first: str, second: str) -> Form:
    """Return the form of a fixed cost and a multiple of the product of two sizes, which may be the same."""
    return Form(f"base and product of {first} and {second}", ((), (first, second)))


def forms_of(sizes: Iterable[str]) -> list[Form]:
    """Return all forms over these sizes."""
    names = list(sizes)
    forms = [constant()]
    for name in names:
        forms += [proportional(name), linear(name)]
    for first, second in combinations_with_replacement(names, 2):
        forms += [product(first, second), product_with_base(first, second)]
    return forms


def fit(samples: Sequence[Sample], form: Form) -> Fit:
    """Fit the coefficients of a form, with the lowest relative residual.

    Raises TooFewSamplesError or SingularFitError.
    """
    if len(samples) <= len(form.terms):
        raise TooFewSamplesError(f"{len(samples)} samples for the {len(form.terms)} terms of {form.name}")
    weights = _weights(samples)
    rows = [
        [weight * _value(term, sample.sizes) for term in form.terms]
        for weight, sample in zip(weights, samples, strict=True)
    ]
    targets = [weight * sample.cost for weight, sample in zip(weights, samples, strict=True)]
    coefficients = _least_squares(rows, targets)
    errors = [
        sum(c * value for c, value in zip(coefficients, row, strict=True)) - target
        for row, target in zip(rows, targets, strict=True)
    ]
    residual = math.sqrt(sum(error * error for error in errors) / len(errors))
    return Fit(form, tuple(coefficients), residual)


def choose_fit(samples: Sequence[Sample], forms: Iterable[Form], limit: float = RESIDUAL_LIMIT) -> Fit:
    """Return the fit with the lowest residual after the penalty for parameters.

    Costs do not fall as a size grows, so a form with a negative coefficient is no candidate. Raises
    FormRejectedError if the best residual exceeds `limit`, TooFewSamplesError if no form can be fitted.
    """
    fits = []
    for form in forms:
        try:
            candidate = fit(samples, form)
        except FitError:
            continue
        if not _has_negative(candidate, samples):
            fits.append(candidate)
    if not fits:
        raise TooFewSamplesError(f"no form can be fitted to {len(samples)} samples")
    best = min(fits, key=_penalized)
    if best.residual > limit:
        raise FormRejectedError(best, limit)
    return best


def check_held_out(chosen: Fit, sample: Sample, limit: float = ERROR_LIMIT) -> HeldOut:
    """Compare the prediction for a sample that the fit was not made from with its measurement."""
    predicted = chosen.predict(sample.sizes)
    if sample.cost:
        error = (predicted - sample.cost) / sample.cost
    else:
        error = 0.0 if abs(predicted) < NOISE_FLOOR else math.inf
    return HeldOut(sample, predicted, error, limit)


def _value(term: Term, sizes: Mapping[str, float]) -> float:
    return math.prod(sizes[name] for name in term)


def _weights(samples: Sequence[Sample]) -> list[float]:
    """Return the inverse of each cost; a cost of zero weighs like the smallest cost above zero."""
    smallest = min((abs(sample.cost) for sample in samples if sample.cost), default=1.0)
    return [1 / (abs(sample.cost) or smallest) for sample in samples]


def _penalized(candidate: Fit) -> float:
    """Return the residual times the penalty for each term, twice for a product of two sizes."""
    complexity = sum(max(1, len(term)) for term in candidate.form.terms)
    return max(candidate.residual, NOISE_FLOOR) * PARAMETER_PENALTY**complexity


def _has_negative(candidate: Fit, samples: Sequence[Sample]) -> bool:
    mean = sum(abs(sample.cost) for sample in samples) / len(samples)
    for coefficient, term in zip(candidate.coefficients, candidate.form.terms, strict=True):
        largest = max(abs(_value(term, sample.sizes)) for sample in samples)
        if coefficient * largest < NEGATIVE_MIN * mean:
            return True
    return False


def _least_squares(rows: list[list[float]], targets: list[float]) -> list[float]:
    """Solve the normal equations after scaling each column to length one."""
    columns = list(zip(*rows, strict=True))
    lengths = [math.sqrt(math.fsum(value * value for value in column)) for column in columns]
    if not all(lengths):
        raise SingularFitError("a term is zero in all samples")
    scaled = [[value / length for value in column] for column, length in zip(columns, lengths, strict=True)]
    matrix = [
        [math.fsum(a * b for a, b in zip(left, right, strict=True)) for right in scaled]
        + [math.fsum(a * b for a, b in zip(left, targets, strict=True))]
        for left in scaled
    ]
    solution = _solve(matrix)
    return [value / length for value, length in zip(solution, lengths, strict=True)]


def _solve(matrix: list[list[float]]) -> list[float]:
    """Solve linear equations by Gaussian elimination with partial pivoting.

    The last column of `matrix` is the right-hand side.
    """
    size = len(matrix)
    for column in range(size):
        pivot = max(range(column, size), key=lambda row: abs(matrix[row][column]))
        if abs(matrix[pivot][column]) < PIVOT_MIN:
            raise SingularFitError("the samples do not distinguish the terms")
        matrix[column], matrix[pivot] = matrix[pivot], matrix[column]
        for row in range(column + 1, size):
            factor = matrix[row][column] / matrix[column][column]
            for at in range(column, size + 1):
                matrix[row][at] -= factor * matrix[column][at]
    solution = [0.0] * size
    for row in reversed(range(size)):
        solved_part = sum(matrix[row][at] * solution[at] for at in range(row + 1, size))
        solution[row] = (matrix[row][size] - solved_part) / matrix[row][row]
    return solution
