"""A machine freezes. A submission that was on its way there gets no answer; its
client leaves and cancels it at another machine, which acknowledges that. Then
the frozen machine wakes. The cancelled submission must not run."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from cell import *  # noqa: E402, F403

# Nine machines in three zones, as in the site; one of them is a share of 0.11.
ZONES = ("zone-a",) * 4 + ("zone-b",) * 3 + ("zone-c",) * 2
FREEZE_S = 3.5     # node_freeze of the site file
PATIENCE_S = 0.3   # the client leaves then; give_up has 0.9 s at most
RUN_MS = 1500      # a task that lasts "may fail at any time"; this one does then
WATCH_S = 12


async def case():
    async with Cell(HERE, zones=ZONES) as cell:
        cell.catalogue["services"] = [{"name": "render", "enforces_capacity": False}]
        cell.catalogue["routes"] = [cell.route("watch", "render")]
        cell.catalogue["tenants"] = [{"name": "t1", "api_keys": ["key-1"],
                                      "weight": 100}]
        cell.put_config()
        for i in range(6):
            await cell.add_runner(f"i-{i}", "render", ["zone-a", "zone-b"][i % 2],
                                  f"r{i // 3}",
                                  {"cpu": 16000, "mem_mb": 65536, "gpus": 0})
        for daemon in cell.daemons:
            daemon.start()
        if not await cell.wait_ready():
            return 2
        await asyncio.sleep(5)
        leader = cell.leader()
        others = [d for d in cell.daemons if d is not leader]
        if leader is None:
            return 2
        cell.record("leader", name=leader.name)
        frozen, other = others[:2]
        frozen_at = now()
        if TROUBLE:
            frozen.signal(signal.SIGSTOP)
        job = f"{random.getrandbits(64):016x}"
        step = {"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 500,
                "long_running": True}
        await cell.ask(frozen, "POST", "watch", job,
                       {"spec": json.dumps({"ms": RUN_MS, "fails": 1000}),
                        "steps": [step]}, timeout=PATIENCE_S)
        status, _ = await cell.ask(other, "DELETE", "watch", job)
        acknowledged = now()
        cell.record("cancelled", job=job, status=status)
        if status not in (200, 202, 204, 410):
            return 2
        if TROUBLE:
            await asyncio.sleep(max(0, FREEZE_S - (now() - frozen_at)))
            frozen.signal(signal.SIGCONT)
        await asyncio.sleep(WATCH_S)
        state = await cell.ask(other, "GET", "watch", job)
        late = [s for s in cell.starts_of(job)
                if s[0] > acknowledged + CANCEL_MS / 1000]
        cell.record("result", starts=len(cell.starts_of(job)), late=len(late),
                    state=state[1])
        print(f"cancel acknowledged with {status}; starts later than cancel_ms "
              f"after that: {len(late)}, the last one "
              f"{max([s[0] - acknowledged for s in late], default=0):.1f} s after; "
              f"shown as {state[1]}")
        return 1 if late else 0


main(case)
