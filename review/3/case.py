"""Two of 42 submissions in 3 s can never be done: the tasks of both last, and
fail each time. The rule LOST: an accepted submission whose turn has come does
not stay without a running task while there is room for it."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import platform_standin as platform  # noqa: E402

KEY = "key-of-team-one-0001"
RUNNERS = 6
USUAL = 40
POISON = 2
WINDOW_S = 3.0
AFTER = 10
FINISH_S = 14
WATCH_S = 40
NOTHING_RUNNING_S = 3


def usual():
    return {"spec": "700", "steps": [
        {"count": 4, "cpu": 3000, "mem_mb": 6200, "estimate_ms": 700}]}


def lasting(fails):
    return {"spec": "700 fail" if fails else "600000", "steps": [
        {"count": 18, "cpu": 3000, "mem_mb": 6200, "estimate_ms": 700,
         "long_running": True}]}


async def submit(cell, number, value):
    status, _ = await platform.call(
        cell.record, cell.daemons[number % 3], "POST", "jobs.example",
        "/plans/%016x" % (0xabc0000 + number), KEY, value)
    return status


async def scenario(cell, trouble):
    runners = [dict(name="i-%d" % n, service="fitting", zone="zone-a",
                    cpu=32000, labels=("a", "r-1")) for n in range(RUNNERS)]
    await cell.start(["zone-a"] * 3, runners, platform.config(
        1, [platform.route("plans", "/plans/", "fitting")],
        [{"name": "one", "api_keys": [KEY], "weight": 100}]))
    if not await cell.wait_ready():
        return 2
    await asyncio.sleep(1)
    # One submission each 70 ms; two of them, 5 in 100, can never be done.
    poisoned = (40, 41)
    for n in range(USUAL + POISON):
        value = lasting(trouble) if n in poisoned else usual()
        if await submit(cell, n, value) != 200:
            return 2
        await asyncio.sleep(WINDOW_S / (USUAL + POISON))
    await asyncio.sleep(1.5)
    later = list(range(100, 100 + AFTER))
    for n in later:
        if await submit(cell, n, usual()) != 200:
            return 2
    sent = cell.record.now()
    await asyncio.sleep(FINISH_S + WATCH_S)
    idle, at = platform.longest_idle(cell.record.facts, sent + FINISH_S,
                                     cell.record.now())
    # Those that have work left although all runners are idle.
    lost = []
    for n in later:
        name = "%016x" % (0xabc0000 + n)
        done = len([f for f in cell.record.facts if f["kind"] == "end" and
                    f["how"] == "done" and f["task"].startswith(name) and
                    f["t"] <= at + NOTHING_RUNNING_S])
        if done < 4:
            lost.append(name)
    cell.record.add("summary", cell_idle_s=idle, cell_idle_at=at,
                    accepted=AFTER, with_work_left=len(lost))
    broken = bool(lost) and idle >= NOTHING_RUNNING_S
    if broken:
        for name in lost:
            cell.record.add("broken", rule="LOST", submission=name)
    print("all runners were idle for up to %.1f s on end, over %d s after the "
          "traffic; %d of %d accepted submissions had work left then"
          % (idle, FINISH_S, len(lost) if idle else 0, AFTER))
    return 1 if broken else 0


platform.run_case(HERE, scenario)
