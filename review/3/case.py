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
WATCH_S = 25
NOTHING_RUNNING_S = 3


def usual():
    return {"spec": "700", "steps": [
        {"count": 4, "cpu": 3000, "mem_mb": 6200, "estimate_ms": 700}]}


def lasting(fails):
    return {"spec": "700 fail" if fails else "600000", "steps": [
        {"count": 18, "cpu": 800, "mem_mb": 1000, "estimate_ms": 700,
         "long_running": True}]}


async def submit(cell, number, value):
    status, _ = await platform.call(
        cell.record, cell.daemons[number % 3], "POST", "jobs.example",
        "/plans/%016x" % (0xabc0000 + number), KEY, value)
    return status


def with_work_left(facts, numbers, at):
    """The names of the submissions of which not all tasks are done."""
    names = ["%016x" % (0xabc0000 + n) for n in numbers]
    return [name for name in names if len(
        [f for f in facts if f["kind"] == "end" and f["how"] == "done" and
         f["task"].startswith(name) and f["t"] <= at]) < 4]


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
    await asyncio.sleep(6)
    later = list(range(100, 100 + AFTER))
    for n in later:
        if await submit(cell, n, usual()) != 200:
            return 2
    sent = cell.record.now()
    await asyncio.sleep(FINISH_S + WATCH_S)
    lost, idle, at = [], 0.0, 0.0
    for length, begin in platform.idle_spans(
            cell.record.facts, sent + FINISH_S, cell.record.now()):
        left = with_work_left(cell.record.facts, later,
                              begin + NOTHING_RUNNING_S)
        if length >= NOTHING_RUNNING_S and length > idle and left:
            lost, idle, at = left, length, begin
    cell.record.add("summary", cell_idle_s=idle, cell_idle_at=at,
                    accepted=AFTER, with_work_left=len(lost))
    for name in lost:
        cell.record.add("broken", rule="LOST", submission=name)
    print("over %d s after the traffic, all runners were idle for up to %.1f s "
          "on end while %d of %d accepted submissions had work left"
          % (FINISH_S, idle, len(lost), AFTER))
    return 1 if lost else 0


platform.run_case(HERE, scenario)
