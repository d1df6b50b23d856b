"""A route moves to another service while a task of it runs; then the acting
machine is stopped. Each task may have one run at a time."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins-3"))
import cell  # noqa: E402

# One way between two regions, as the sites say.
REGION_S = 0.012


def route(service):
    return {"name": "q", "host": "jobs.example", "path_prefix": "/q/",
            "timeout_ms": 3000, "target_runtime_ms": 3000, "priority": 1,
            "service": service, "max_attempts": 4, "stretch": 4.0}


def case(folder, trouble):
    it = cell.Cell(folder, [("east-a", "east"), ("east-b", "east"),
                            ("west-a", "west")])
    it.add_runner("i-old", "old", "west-a", one_way_s=REGION_S)
    it.add_runner("i-new", "new", "east-a")
    it.desire([route("old")], ["old", "new"], "q goes to old")
    it.start()
    job = it.submit("/q/", "20000 done",
                    {"count": 1, "cpu": 2000, "mem_mb": 1024,
                     "estimate_ms": 20000})
    task = f"{job}.0.0.0"
    it.wait(lambda: it.record.all("start", task=task), 10, "the task starts")
    it.desire([route("new")], ["old", "new"], "q goes to new")
    time.sleep(4)
    if trouble:
        it.acting().signal(signal.SIGTERM)
    time.sleep(8)
    return [f"task {a[2]}/{a[3]} ran at {b[0]:.3f} s when {b[2]}/{b[3]} started"
            for a, b in it.overlaps(task)]


cell.main(case)
