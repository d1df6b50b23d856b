"""An entry of another writer in `servers` has a field of another type and lacks
others, so it names no runner. The leader is restarted as planned. Submissions
that were accepted before must go on."""

import asyncio
import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from cell import *  # noqa: E402, F403

WORK_MS = 3000


def foreign_entry():
    """`slots` is a text; `version`, `cold_left_ms` and `call_seq` are missing.
    Nothing listens at its address. Its zone has no daemon of this cell."""
    return json.dumps({
        "service": "render", "address": f"{LOOPBACK}:{free_port()}",
        "zone": "zone-c", "slots": "8", "state": "ready",
        "capacity": {"cpu": 16000, "mem_mb": 65536, "gpus": 0},
        "labels": ["a", "r9"]})


async def case():
    async with Cell(HERE) as cell:
        cell.catalogue["services"] = [{"name": "render", "enforces_capacity": False}]
        cell.catalogue["routes"] = [cell.route("batch", "render")]
        cell.catalogue["tenants"] = [{"name": "t1", "api_keys": ["key-1"],
                                      "weight": 100}]
        cell.put_config()
        for i in range(6):
            await cell.add_runner(f"i-{i}", "render", ["zone-a", "zone-b"][i % 2],
                                  f"r{i // 3}",
                                  {"cpu": 16000, "mem_mb": 65536, "gpus": 0})
        if TROUBLE:
            cell.store.write("servers", "other-1", foreign_entry())
            cell.record("entry of another writer", key="other-1",
                        value=cell.store.value("servers", "other-1"))
        for daemon in cell.daemons:
            daemon.start()
        if not await cell.wait_ready():
            return 2
        await asyncio.sleep(10)
        step = {"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": WORK_MS}
        job, status = await cell.submit(cell.daemons[0], "batch",
                                        [step, {**step, "after": [0]}], ms=WORK_MS)
        ended = now()
        await asyncio.sleep(1)
        leader = cell.leader()
        if status != 200 or len(cell.running_of(job)) != 2 or leader is None:
            return 2
        cell.record("leader", name=leader.name)
        leader.signal(signal.SIGTERM)
        while leader.process.poll() is None and now() < ended + 10:
            await asyncio.sleep(0.05)
        leader.start()
        # finish_s after the end of the traffic, and 3 s more.
        while now() < ended + FINISH_S + 3 and len(cell.starts_of(job)) < 4:
            await asyncio.sleep(0.05)
        lost = len(cell.starts_of(job)) < 4
        other = next(d for d in cell.daemons if d is not leader)
        state = await cell.ask(other, "GET", "batch", job)
        print(f"{now() - ended:.1f} s after the end of the traffic: submission "
              f"{state[1]}, {len(cell.running_of(job))} runs, second step started: "
              f"{not lost}")
        while TROUBLE and len(cell.starts_of(job)) < 4 and now() < ended + 60:
            await asyncio.sleep(0.1)
        cell.record("result", lost=lost, state=state[1],
                    second_step_started_after=f"{now() - ended:.1f}")
        print(f"second step started {now() - ended:.1f} s after the end of the traffic")
        return 1 if lost else 0


main(case)
