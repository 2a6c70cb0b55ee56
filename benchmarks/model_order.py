"""Whether policies rank as expected under overload, and compare_equal_variants variants show no difference.

python -m benchmarks.model_order
"""

from __future__ import annotations

from mapleshunt.simulation.day import resized
from mapleshunt.simulation.experiments import compare, run_seeds
from mapleshunt.simulation.scenarios import SCENARIOS
from mapleshunt.simulation.stats import interval
from mapleshunt.simulation.variants import parse

SEEDS = range(1, 9)


def compare_policies() -> None:
    """Print the g of each policy in overloaded scenarios."""
    print("g (service less penalties), 8 runs each, mean and 95% interval")
    for name, load in (("overload", None), ("cold", None), ("worst", (0.8, 0.97))):
        scenario = resized(SCENARIOS[name], seconds=30)
        if load:
            from dataclasses import replace

            scenario = replace(scenario, load=load)
        means = []
        for policy in ("policy:let-all", "policy:even-split", "policy:count-each", "here"):
            results = run_seeds(scenario, SEEDS, parse(policy))
            values = interval([result.score.g for result in results if result.score])
            violations = sum(sum(result.score.rules.values()) for result in results if result.score)
            means.append(values.mean)
            print(
                f"{name:9} {policy:18} {values.mean:7.3f} [{values.low:7.3f}, {values.high:7.3f}]"
                f"  violations {violations}"
            )
        is_ordered = means[0] < means[1] < means[3]
        print(f"{name:9} let-all < even-split < module: {'yes' if is_ordered else 'NO'}")


def compare_equal_variants() -> None:
    """Print how often equal variants show no difference."""
    no_difference = 0
    for number in range(20):
        scenario = resized(SCENARIOS["busy" if number % 2 else "overload"], backends=8, seconds=10)
        result = compare(scenario, parse("here"), parse("here"), range(100 * number, 100 * number + 8))
        no_difference += result.verdict == "none"
    print(
        f"\nequal variants: 'none' in {no_difference} of 20 comparisons (8 runs each; at least 18 expected)"
    )


if __name__ == "__main__":
    compare_policies()
    compare_equal_variants()
