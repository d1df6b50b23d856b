"""A job has one lasting task for each runner, at most one on each. A runner
crashes for good, so one task has no place. The largest runner has room for other
submissions, which must run there."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from cell import *  # noqa: E402, F403

# The impairment and what follows from it are over by then: the lease of the
# crashed runner, its entry, and contact_ms.
SETTLED_S = 20

RUNNERS = 16


async def case():
    async with Cell(HERE) as cell:
        cell.catalogue["services"] = [{"name": "library", "enforces_capacity": False}]
        # Like catalogue-watch and session-master of the site.
        cell.catalogue["routes"] = [
            cell.route("watch", "library", priority=1, stretch=2.2,
                       target_runtime_ms=2500, max_attempts=2),
            cell.route("master", "library", priority=2, stretch=4.0,
                       target_runtime_ms=3000, max_attempts=4)]
        cell.catalogue["tenants"] = [
            {"name": "t1", "api_keys": ["key-1"], "weight": 100},
            {"name": "t2", "api_keys": ["key-2"], "weight": 100}]
        cell.put_config()
        # The sizes differ by up to four, as in the site.
        runners = [await cell.add_runner(
            f"i-{i}", "library", ["zone-a", "zone-b"][i % 2], f"r{i // 3}",
            {"cpu": 64000 if i == 3 else 16000, "mem_mb": 65536, "gpus": 0})
            for i in range(RUNNERS)]
        for daemon in cell.daemons:
            daemon.start()
        if not await cell.wait_ready():
            return 2
        await asyncio.sleep(5)
        watch, status = await cell.submit(
            cell.daemons[0], "watch",
            [{"count": RUNNERS, "cpu": 1000, "mem_mb": 100, "estimate_ms": 500,
              "long_running": True, "max_per_server": 1}], ms=600000)
        await asyncio.sleep(2)
        if status != 200 or len(cell.running_of(watch)) != RUNNERS:
            return 2
        if TROUBLE:
            runners[0].crash()
        await asyncio.sleep(SETTLED_S)
        # Each task fits on the largest runner only, and there three times.
        step = {"count": 1, "cpu": 20000, "mem_mb": 100, "estimate_ms": 5600}
        batch, first = await cell.submit(cell.daemons[1], "master", [step], ms=5600,
                                         key="key-2")
        lasting, second = await cell.submit(
            cell.daemons[1], "master", [{**step, "long_running": True}], ms=600000,
            key="key-2")
        if first != 200 or second != 200:
            return 2
        ended = now()
        # finish_s after the end of the traffic, and 3 s more.
        while now() < ended + FINISH_S + 3 and not (
                cell.starts_of(batch) and cell.running_of(lasting)):
            await asyncio.sleep(0.05)
        waited = now() - ended
        state = await cell.ask(cell.daemons[2], "GET", "master", batch, key="key-2")
        big = len(runners[3].runs)
        lost = not cell.starts_of(batch) or not cell.running_of(lasting)
        cell.record("result", seconds=f"{waited:.1f}", lost=lost, state=state[1],
                    runs_on_the_largest_runner=big)
        print(f"{waited:.1f} s after the end of the traffic: batch submission "
              f"{state[1]}, {len(cell.starts_of(batch))} starts; "
              f"{len(cell.running_of(lasting))} of 1 tasks that last run; "
              f"{len(cell.running_of(watch))} of {RUNNERS} of the other job; runs on "
              f"the largest runner: {big}")
        return 1 if lost else 0


main(case)
