"""A large recurring submission beside small ones. The rule LOST: an accepted
submission whose turn has come does not stay without a running task while there
is room for it."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import platform_standin as platform  # noqa: E402

KEY = "key-of-team-one-0001"
LARGE = 0x1a26e00000000001
OCCURRENCES = {True: 8000, False: 1000}
INTERVAL_MS = 3
SMALL = 12
FINISH_S = 14
NOTHING_RUNNING_S = 3


async def scenario(cell, trouble):
    runners = [dict(name="i-%d" % n, service="fitting", zone="zone-a",
                    cpu=32000, labels=("a", "r-1")) for n in range(4)]
    await cell.start(["zone-a"] * 3, runners, platform.config(
        1, [platform.route("plans", "/plans/", "fitting")],
        [{"name": "one", "api_keys": [KEY], "weight": 100}]))
    if not await cell.wait_ready():
        return 2
    await asyncio.sleep(1)
    count = OCCURRENCES[trouble]
    status, _ = await platform.call(
        cell.record, cell.daemons[0], "POST", "jobs.example",
        "/plans/%016x" % LARGE, KEY,
        {"spec": "20", "repeat_count": count, "interval_ms": INTERVAL_MS,
         "first_ms": int(time.time() * 1000),
         "steps": [{"count": 1, "cpu": 250, "mem_mb": 10,
                    "estimate_ms": 20}]})
    if status != 200:
        return 2
    await asyncio.sleep(count * INTERVAL_MS / 1000 + 6)
    accepted = []
    for n in range(SMALL):
        name = "%016x" % (0x5a11000000000000 + n * 0x10001)
        status, _ = await platform.call(
            cell.record, cell.daemons[n % 3], "POST", "jobs.example",
            "/plans/" + name, KEY,
            {"spec": "200", "steps": [
                {"count": 1, "cpu": 1000, "mem_mb": 10, "estimate_ms": 200}]})
        if status == 200:
            accepted.append(name)
    await asyncio.sleep(FINISH_S + NOTHING_RUNNING_S)
    starts = [f for f in cell.record.facts if f["kind"] == "start"]
    begun = {f["task"].split(".")[0] for f in starts}
    in_use = sum(len(r.running) for r in cell.runners)
    cell.record.add("summary", large_runs=len(
        [f for f in starts if f["task"].startswith("%016x" % LARGE)]),
        ends_listed=sum(r.next_end - 1 for r in cell.runners),
        ends_acknowledged=sum(r.acked for r in cell.runners),
        running_now=in_use, refused_writes=cell.store.refused,
        small_accepted=len(accepted))
    states = {}
    for name in accepted:
        _, value = await platform.call(
            cell.record, cell.daemons[0], "GET", "jobs.example",
            "/plans/" + name, KEY)
        states[name] = (value or {}).get("state")
    lost = [name for name in accepted if name not in begun]
    for name in lost:
        cell.record.add("broken", rule="LOST", submission=name,
                        state=states[name], running_anywhere=in_use)
    print("%d of %d small submissions have had nothing running for %d s; "
          "%d tasks are running in the whole cell"
          % (len(lost), len(accepted), FINISH_S + NOTHING_RUNNING_S, in_use))
    if len(accepted) < SMALL:
        return 2
    return 1 if lost and in_use <= 4 else 0


platform.run_case(HERE, scenario)
