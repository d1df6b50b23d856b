"""One gang that can never start, since the runners have no room for all of its
tasks, is accepted. Other submissions to the same service must run beside it."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from cell import *  # noqa: E402, F403

# The longest work of voice-restore is 11 s, and its estimates are off by up to
# half.
ESTIMATE_MS = 16500
# Submissions on either side of the gang, within 3 s: it is 1 of 22.
BEFORE, AFTER = 10, 10
PAUSE_S = 0.1
# LOST: from 6 s after its last run, a task that lasts may not be without a run
# for 3 s. These have had none, so the time counts from the acceptance.
ALLOWED_S = 6 + 3


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
            {"cpu": 16000, "mem_mb": 65536, "gpus": 0}) for i in range(4)]
        for daemon in cell.daemons:
            daemon.start()
        if not await cell.wait_ready():
            return 2
        await asyncio.sleep(5)
        step = {"count": 2, "cpu": 2000, "mem_mb": 100, "estimate_ms": 700}

        async def small():
            await asyncio.sleep(PAUSE_S)
            job, status = await cell.submit(cell.daemons[1], "check", [step],
                                            ms=700, key="key-2")
            return job if status == 200 else None

        earlier = [await small() for _ in range(BEFORE)]
        if TROUBLE:
            # 36 tasks of 2 cores, as wide as the widest of the site; the runners
            # have room for 32.
            _, status = await cell.submit(
                cell.daemons[0], "restore",
                [{"count": 36, "cpu": 2000, "mem_mb": 100, "gang": True,
                  "estimate_ms": ESTIMATE_MS}], ms=11000)
            if status != 200:
                return 2
        lasting, status = await cell.submit(
            cell.daemons[1], "check", [{**step, "long_running": True}], ms=600000,
            key="key-2")
        accepted = now()
        later = [await small() for _ in range(AFTER)]
        if status != 200 or None in earlier + later:
            return 2
        ended = now()
        # finish_s after the end of the traffic, and 3 s more.
        without_run = None
        while now() < ended + FINISH_S + 3:
            if without_run is None and len(cell.running_of(lasting)) == 2:
                without_run = now() - accepted
            if without_run is not None and all(cell.starts_of(job) for job in later):
                break
            await asyncio.sleep(0.05)
        without_run = without_run or now() - accepted
        waited = now() - ended
        in_use = sum(2 for r in runners for t in r.runs) / (4 * 16)
        idle = [job for job in later if not cell.starts_of(job)]
        shown = {(await cell.ask(cell.daemons[2], "GET", "check", job, key="key-2"))[1]
                 .get("state") for job in idle}
        lost = bool(idle) or without_run > ALLOWED_S
        cell.record("result", seconds=f"{waited:.1f}", lost=lost, never_begun=len(idle),
                    shown=shown, lasting_without_run=f"{without_run:.1f}",
                    cores_in_use=f"{in_use:.2f}")
        print(f"{waited:.1f} s after the end of the traffic: {len(idle)} of {AFTER} "
              f"submissions never begun, shown as {shown}; "
              f"tasks that last had no run for {without_run:.1f} s; share of the "
              f"cores in use {in_use:.2f}")
        return 1 if lost else 0


main(case)
