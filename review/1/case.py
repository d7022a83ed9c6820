"""Case 1: a steward that was killed while hosts were off the list never lets those hosts back in."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from ishikari import HALLS, build, judge_rule_1, lose_hall, run_script  # noqa: E402
from platform_standin import main  # noqa: E402

# For the comparison in claim.txt: KILL=0 leaves the steward alone and keeps the rest.
KILL = os.environ.get("KILL", "1") != "0"


async def trouble(bench):
    await asyncio.sleep(6)
    first = asyncio.create_task(lose_hall(bench, HALLS[1], seconds=14, notice=5))
    await asyncio.sleep(7)
    if KILL:
        bench.record("TROUBLE", "the steward is killed, and started again after 1 s")
        bench.kill_steward()
        await asyncio.sleep(1)
        await bench.restart_steward((0.14, 2.4))
    await first
    # The hosts of the first hall are back and warm up (16 s at the most).
    await asyncio.sleep(20)
    await lose_hall(bench, HALLS[0], seconds=14, notice=5)
    await asyncio.sleep(6)


async def case(box):
    bench = build(HERE)
    box.append(bench)
    await run_script(bench, trouble, judge_rule_1)


if __name__ == "__main__":
    sys.exit(main(case, HERE, 115))
