"""A runner that has announced its shutdown is cut off and runs on. Once its
entry has expired, the acting machine is stopped. Each task may have one run at
a time."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins-3"))
import cell  # noqa: E402

# One of six runners, for less than the 5.5 s that the site allows.
RUNNERS = 6
CUT_S = 5.4


def case(folder, trouble):
    zones = [("a", "r"), ("b", "r"), ("c", "r")]
    it = cell.Cell(folder, zones)
    for i in range(RUNNERS):
        it.add_runner(f"i-{i}", "s", "abc"[i % 3])
    it.desire([{"name": "q", "host": "jobs.example", "path_prefix": "/q/",
                "timeout_ms": 3000, "target_runtime_ms": 3000, "priority": 1,
                "service": "s", "max_attempts": 4, "stretch": 4.0}], ["s"], "q")
    it.start()
    job = it.submit("/q/", "30000 done",
                    {"count": 1, "cpu": 2000, "mem_mb": 1024,
                     "estimate_ms": 30000})
    task = f"{job}.0.0.0"
    first = it.wait(lambda: it.record.all("start", task=task), 10,
                    "the task starts")[0]
    runner = it.runners[first["runner"]]
    runner.drain()
    time.sleep(2)
    # Shortly before a liveness report is due.
    it.wait(lambda: 0 < runner.beat_at - time.monotonic() < 0.15, 5,
            "a liveness report is due")
    if trouble:
        runner.set_cut(True)
    cut_at = time.monotonic()
    if trouble:
        it.wait(lambda: it.record.all("entry_removed", runner=runner.id), CUT_S,
                "the entry of the runner expires")
    else:
        time.sleep(3.2)
    time.sleep(0.1)
    it.acting().signal(signal.SIGTERM)
    time.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
    if trouble:
        runner.set_cut(False)
    time.sleep(6)
    return [f"task {a[2]}/{a[3]} ran until {a[1]:.3f} s; {b[2]}/{b[3]} started "
            f"at {b[0]:.3f} s" for a, b in it.overlaps(task)]


cell.main(case)
