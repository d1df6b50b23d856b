"""One of ten runners refuses all starts while the others are full. The rule
MIXED: the number of waiting submissions that a queue shows is at least half of
those that were accepted 5 s before and have not begun."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import platform_standin as platform  # noqa: E402

KEY = "key-of-team-one-0001"
RUNNERS = 10
GREY_S = 6.5
WAITING = 20
# visible_ms and 2 s, and the time of the calls themselves.
ASKED_AFTER_S = 5.4


async def submit(cell, number, spec, cpu):
    status, _ = await platform.call(
        cell.record, cell.daemons[number % 3], "POST", "jobs.example",
        "/plans/%016x" % (0xabc0000 + number), KEY,
        {"spec": spec, "steps": [{"count": 1, "cpu": cpu, "mem_mb": 100,
                                  "estimate_ms": int(spec)}]})
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
    # All runners but one are filled with long work.
    for n in range(RUNNERS - 1):
        if await submit(cell, n, "90000", 32000) != 200:
            return 2
    await asyncio.sleep(2)
    idle = [r for r in cell.runners if not r.running]
    if len(idle) != 1:
        return 2
    if trouble:
        idle[0].start_status = 503
        cell.record.add("grey", runner=idle[0].name, seconds=GREY_S)
        asyncio.get_running_loop().call_later(
            GREY_S, setattr, idle[0], "start_status", None)
    else:
        # Without the disruption the same submissions wait since that runner
        # is full as well.
        if await submit(cell, RUNNERS - 1, "90000", 32000) != 200:
            return 2
    for n in range(WAITING):
        if await submit(cell, 100 + n, "500", 1500) != 200:
            return 2
    accepted_at = cell.record.now()
    await asyncio.sleep(ASKED_AFTER_S)
    begun = {f["task"].split(".")[0] for f in cell.record.facts
             if f["kind"] == "start"}
    not_begun = [n for n in range(WAITING)
                 if "%016x" % (0xabc0000 + 100 + n) not in begun]
    shown = []
    for daemon in cell.daemons:
        status, value = await platform.call(cell.record, daemon, "GET",
                                            "jobs.example", "/plans/", KEY)
        shown.append(value.get("waiting") if status == 200 else None)
    _, state = await platform.call(
        cell.record, cell.daemons[0], "GET", "jobs.example",
        "/plans/%016x" % (0xabc0000 + 100), KEY)
    cell.record.add("summary", not_begun=len(not_begun), waiting=shown,
                    state_of_first=state,
                    seconds_since_accepted=round(
                        cell.record.now() - accepted_at, 2))
    print("%d submissions have not begun; the daemons give waiting = %s"
          % (len(not_begun), shown))
    if len(not_begun) < WAITING or None in shown:
        return 2
    return 1 if any(2 * w < len(not_begun) for w in shown) else 0


platform.run_case(HERE, scenario)
