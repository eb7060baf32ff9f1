"""Plays fresh plans of ``test_any_order`` by hand.

    python try_plans.py --first 200000 --count 3000
    python try_plans.py --first 200017 --count 1 --show

A seed that hands out too much is printed. With ``--show`` its plan is shortened
and played again with every event and log line.
"""

import argparse
import asyncio

from hosts_case import MAX_TURN_TOKENS, World, random_steps, run_plan

_EVENTS = 250


def budget_of(seed):
    """Returns a budget of 1.5 to 12 turns at their most."""
    return int(1.5 * (1 + seed % 8) * MAX_TURN_TOKENS)


def overspent(budget, steps):
    return asyncio.run(run_plan(budget, steps)).overspent()


def shorten(budget, steps):
    """Returns a plan without the events that the overspending doesn't need."""
    size = len(steps) // 2
    while size:
        start = 0
        while start < len(steps):
            shorter = steps[:start] + steps[start + size :]
            if overspent(budget, shorter):
                steps = shorter
            else:
                start += size
        size //= 2
    return steps


def show(budget, steps):
    """Prints events and log lines of a plan."""
    world: World = asyncio.run(run_plan(budget, shorten(budget, steps)))
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
    broken = 0
    for seed in range(args.first, args.first + args.count):
        budget = budget_of(seed)
        steps = random_steps(seed, _EVENTS)
        found = overspent(budget, steps)
        if not found:
            continue
        broken += 1
        print(f"seed {seed}, budget {budget}: {found}")
        if args.show:
            show(budget, steps)
    print(f"{broken} of {args.count} plans hand out too much")


if __name__ == "__main__":
    main()
