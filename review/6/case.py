"""One gang that can never start, since the runners have no room for all of its
tasks, is accepted. Other submissions to the same service must run beside it."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from cell import *  # noqa: E402, F403

ESTIMATE_MS = 60000


async def case():
    async with Cell(HERE) as cell:
        cell.catalogue["services"] = [{"name": "studio", "enforces_capacity": False}]
        # Like voice-restore and loudness-check of the site.
        cell.catalogue["routes"] = [
            cell.route("restore", "studio", priority=1, stretch=2.2,
                       target_runtime_ms=1200, max_attempts=4),
            cell.route("check", "studio", priority=2, stretch=4.0,
                       target_runtime_ms=3000, max_attempts=2)]
        cell.catalogue["tenants"] = [
            {"name": "t1", "api_keys": ["key-1"], "weight": 100},
            {"name": "t2", "api_keys": ["key-2"], "weight": 100}]
        cell.put_config()
        runners = [await cell.add_runner(
            f"i-{i}", "studio", ["zone-a", "zone-b"][i % 2], f"r{i // 3}",
            {"cpu": 16000, "mem_mb": 65536, "gpus": 0}) for i in range(8)]
        for daemon in cell.daemons:
            daemon.start()
        if not await cell.wait_ready():
            return 2
        await asyncio.sleep(5)
        if TROUBLE:
            # 18 tasks of 8 cores; two fit on each of the 8 runners.
            _, status = await cell.submit(
                cell.daemons[0], "restore",
                [{"count": 18, "cpu": 8000, "mem_mb": 100, "gang": True,
                  "estimate_ms": ESTIMATE_MS}], ms=ESTIMATE_MS)
            if status != 200:
                return 2
        await asyncio.sleep(0.5)
        step = {"count": 2, "cpu": 2000, "mem_mb": 100, "estimate_ms": 700}
        batch, first = await cell.submit(cell.daemons[1], "check", [step], ms=700,
                                         key="key-2")
        lasting, second = await cell.submit(
            cell.daemons[1], "check", [{**step, "long_running": True}], ms=600000,
            key="key-2")
        if first != 200 or second != 200:
            return 2
        ended = now()
        # finish_s after the end of the traffic, and 3 s more.
        while now() < ended + FINISH_S + 3 and not (
                cell.starts_of(batch) and len(cell.running_of(lasting)) == 2):
            await asyncio.sleep(0.05)
        waited = now() - ended
        in_use = sum(2 for r in runners for t in r.runs) / (8 * 16)
        state = await cell.ask(cell.daemons[2], "GET", "check", batch, key="key-2")
        lost = not cell.starts_of(batch) or len(cell.running_of(lasting)) < 2
        cell.record("result", seconds=f"{waited:.1f}", lost=lost, state=state[1],
                    cores_in_use=f"{in_use:.2f}")
        print(f"{waited:.1f} s after the end of the traffic: batch submission "
              f"{state[1]}, {len(cell.starts_of(batch))} starts; "
              f"{len(cell.running_of(lasting))} of 2 tasks that last run; share of "
              f"the cores in use {in_use:.2f}")
        return 1 if lost else 0


main(case)
