"""Do policies come in their order on overloaded days, and do equal variants show no difference?

python -m benchmarks.model_order
"""

from __future__ import annotations

from mapleshunt.simulation.day import resized
from mapleshunt.simulation.experiments import compare, run_seeds
from mapleshunt.simulation.scenarios import SCENARIOS
from mapleshunt.simulation.stats import interval
from mapleshunt.simulation.variants import parse

SEEDS = range(1, 9)


def order() -> None:
    print("g (service less penalties), 8 days each, mean and 95% interval")
    for name, changes in (("overload", None), ("cold", None), ("worst", (0.8, 0.97))):
        scenario = resized(SCENARIOS[name], seconds=30)
        if changes:
            from dataclasses import replace

            scenario = replace(scenario, load=changes)
        means = []
        for policy in ("policy:let-all", "policy:even-split", "policy:count-each", "here"):
            found = run_seeds(scenario, SEEDS, parse(policy))
            values = interval([one.score.g for one in found if one.score])
            broken = sum(sum(one.score.rules.values()) for one in found if one.score)
            means.append(values.mean)
            print(
                f"{name:9} {policy:18} {values.mean:7.3f} [{values.low:7.3f}, {values.high:7.3f}]"
                f"  rules broken {broken}"
            )
        good = means[0] < means[1] < means[3]
        print(f"{name:9} let-all < even-split < module: {'yes' if good else 'NO'}")


def equal() -> None:
    none = 0
    for number in range(20):
        scenario = resized(SCENARIOS["busy" if number % 2 else "overload"], backends=8, seconds=10)
        found = compare(scenario, parse("here"), parse("here"), range(100 * number, 100 * number + 8))
        none += found.verdict == "none"
    print(f"\nequal variants: 'none' in {none} of 20 comparisons (8 days each; 18 wanted)")


if __name__ == "__main__":
    order()
    equal()
