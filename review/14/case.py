"""A runner falls silent for good, and the only machine of its zone, which gives
the orders, is taken away as planned. All other accepted work goes on in time."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins-3"))
import cell  # noqa: E402

cell.set_hold_max_ms(10000)

# One of 16 runners (0.0625; the site loses 0.065 for good).
RUNNERS = 16
JOBS = 8
# The rule: submissions are asked for 14 s after the end of the traffic, and
# each has something running within 3 s if a task's turn has come.
FINISH_S, WITHOUT_S = 14, 3


def case(folder, trouble):
    it = cell.Cell(folder, [("a", "r"), ("b", "r"), ("c", "r")])
    for i in range(RUNNERS):
        it.add_runner(f"i-{i}", "s", "abc"[i % 3])
    it.desire([{"name": "q", "host": "jobs.example", "path_prefix": "/q/",
                "timeout_ms": 3000, "target_runtime_ms": 3000, "priority": 1,
                "service": "s", "max_attempts": 4, "stretch": 4.0}], ["s"], "q")
    it.start()
    work = {"count": 1, "cpu": 1000, "mem_mb": 512, "estimate_ms": 3000}
    jobs = [it.submit("/q/", "3000 done", [work, dict(work, after=[0])])
            for _ in range(JOBS)]
    traffic_end = it.record.now()
    leaving = it.acting()
    zone = leaving.zone
    silent = next(r for r in it.runners.values() if r.zone == zone and
                  not r.running)
    if trouble:
        silent.crash(silent=True)
    time.sleep(0.3)
    leaving.signal(signal.SIGTERM)
    time.sleep(traffic_end + FINISH_S - it.record.now())
    asked_at = it.record.now()
    other = next(d for d in it.daemons if d is not leaving)
    for job in jobs:
        it.client(other, "GET", f"/q/{job}")
    time.sleep(asked_at + WITHOUT_S - it.record.now())
    broken = []
    for job in jobs:
        first, second = f"{job}.0.0.0", f"{job}.0.1.0"
        done = it.record.all("end", task=first, how="done")
        if (done and done[0]["at"] < asked_at and
                not it.record.all("start", task=second)):
            broken.append(f"{second} could start from {done[0]['at']:.3f} s on; "
                          f"nothing of it ran from {asked_at:.3f} to "
                          f"{asked_at + WITHOUT_S:.3f} s")
    time.sleep(12)
    return broken


cell.main(case)
