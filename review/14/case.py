"""Runners crash and start again under their ids as ones of another kind. A
task starts only on a runner with the label that its step requires."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins-3"))
import cell  # noqa: E402

# Three of 24 runners crash at a time: at most 0.14 of them.
RUNNERS = 24
AT_ONCE = 3
TIMES = 3
DOWN_S = 2.0


def case(folder, trouble):
    it = cell.Cell(folder, [("a", "r"), ("b", "r"), ("c", "r")])
    for i in range(RUNNERS):
        it.add_runner(f"i-{i:02}", "s", "abc"[i % 3],
                      kind="a" if i < AT_ONCE * TIMES else "b")
    it.desire([{"name": "q", "host": "jobs.example", "path_prefix": "/q/",
                "timeout_ms": 3000, "target_runtime_ms": 3000, "priority": 1,
                "service": "s", "max_attempts": 4, "stretch": 4.0}], ["s"], "q")
    it.start()
    it.submit("/q/", "60000 done",
              {"count": AT_ONCE * TIMES, "cpu": 2000, "mem_mb": 1024,
               "estimate_ms": 60000, "requires": "a", "max_per_server": 1})
    it.wait(lambda: len(it.record.all("start")) == AT_ONCE * TIMES, 10,
            "all tasks start")
    for time_of in range(TIMES):
        time.sleep(3)
        if trouble:
            crashed = [it.runners[f"i-{time_of * AT_ONCE + i:02}"]
                       for i in range(AT_ONCE)]
            for runner in crashed:
                runner.crash()
            time.sleep(DOWN_S)
            for runner in crashed:
                # Its entry is in the store before it answers anybody.
                runner.restart(kind="b")
                time.sleep(0.07)
    time.sleep(4)
    return [f"{start['task']} requires label a; run {start['run']} started on "
            f"{start['runner']} at {start['at']:.3f} s, which is of kind "
            f"{start['kind']}"
            for start in it.record.all("start") if start["kind"] != "a"]


cell.main(case)
