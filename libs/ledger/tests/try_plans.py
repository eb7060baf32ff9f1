"""Plays random plans of ``test_any_order`` with new seeds.

    python try_plans.py --first 200000 --count 3000
    python try_plans.py --first 200017 --count 1 --show

Prints each seed whose plan exceeds a budget by more than one turn. With
``--show``, also shrinks its plan and prints every event and log line.
"""

import argparse
import asyncio
import functools

from hosts_case import MAX_TURN_TOKENS, World, random_steps, run_plan, shrink

_EVENTS_PER_PLAN = 250


def budget_of(seed):
    """Returns a budget of 1.5 to 12 turns of maximum size."""
    return int(1.5 * (1 + seed % 8) * MAX_TURN_TOKENS)


def overspent(budget, steps):
    return asyncio.run(run_plan(budget, steps)).overspent()


def show(budget, steps):
    """Shrinks a plan and prints its events and log lines."""
    world: World = asyncio.run(
        run_plan(budget, shrink(steps, functools.partial(overspent, budget)))
    )
    for event in world.trace:
        print(event)
    for message_type, fields in world.log_lines:
        print("   ", message_type, fields)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, required=True)
    parser.add_argument("--count", type=int, default=1000)
    parser.add_argument("--show", action="store_true")
    args = parser.parse_args()
    failed_count = 0
    for seed in range(args.first, args.first + args.count):
        budget = budget_of(seed)
        steps = random_steps(seed, _EVENTS_PER_PLAN)
        found = overspent(budget, steps)
        if not found:
            continue
        failed_count += 1
        print(f"seed {seed}, budget {budget}: {found}")
        if args.show:
            show(budget, steps)
    print(f"{failed_count} of {args.count} plans overspend")


if __name__ == "__main__":
    main()
