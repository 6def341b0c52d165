"""Two workers of a rack lose power for half a second and come back under their ids."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins import Worker, job_id, run_case  # noqa: E402

WORKERS = 14  # two of them are 14%
DARK_S = 0.5


def scenario(bed, trouble):
    bed.configure(renewal=3)
    # Only two workers have the label "b", and the first is preferred as the fuller one.
    bed.workers = [Worker(bed, "w0", 16000, ["a", "r1"]), Worker(bed, "w1", 8000, ["b", "r1"]),
                   Worker(bed, "w2", 16000, ["b", "r2"])]
    bed.workers += [Worker(bed, f"w{i}", 16000, ["a", f"r{i // 2 + 1}"]) for i in range(3, WORKERS)]
    bed.start_entries()
    time.sleep(4)
    rack = bed.workers[:2]
    bed.wait(lambda: time.monotonic() - rack[1].holds_seen_at < 0.5, 5, "a renewal")
    if trouble:
        for worker in rack:
            worker.crash()
        time.sleep(DARK_S)
        for worker in rack:
            worker.restart()
            time.sleep(0.05)
    job = {"TaskSpec": "ms=2500", "Steps": [{"Count": 2, "Cpu": 1000, "MemMb": 100,
                                            "EstimatedMs": 2500, "Requirements": "b"}]}
    path = "/renewal/" + job_id(1)
    assert bed.entries[0].call("POST", path, job)[0] == 200
    bed.wait(lambda: bed.state(bed.entries[0], path) == "completed", 30, "the job", 0.3)
    time.sleep(3)
    return bed.ledger.twice()


run_case(scenario)
