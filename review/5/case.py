"""One task of a step that lasts ends as done. It has to be started again, and is not."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins import Worker, job_id, run_case  # noqa: E402

TASKS = 3
SETTLE_S = 6.0  # of the rule LOST: after the last run of a task that lasts
LIMIT_S = 3.0  # and then nothing runs of it for this long
WATCH_S = 20.0


def scenario(bed, trouble):
    bed.configure(courier=2)
    bed.workers = [Worker(bed, f"w{i}", 16000, ["a", f"r{i // 2}"]) for i in range(6)]
    bed.start_entries()
    path = "/courier/" + job_id(1)
    job = {"TaskSpec": "ms=600000", "Steps": [{"Count": TASKS, "Cpu": 1000, "MemMb": 100,
                                              "EstimatedMs": 600000, "LongRunning": True}]}
    assert bed.entries[0].call("POST", path, job)[0] == 200
    bed.wait(lambda: len(bed.ledger.runs) == TASKS, 10, "the tasks")
    time.sleep(3)
    if trouble:
        task = f"{job_id(1)}.0.0.0"
        worker = next(worker for worker in bed.workers if task in worker.running)
        bed.record.write(f"{task} ends as done by itself")
        with worker.lock:
            worker.running[task]["end"] = worker.clock()
    time.sleep(WATCH_S)
    breaks = []
    for index in range(TASKS):
        runs = [run for run in bed.ledger.of_job(job_id(1))
                if run.task == f"{job_id(1)}.0.0.{index}"]
        if any(run.end is None for run in runs):
            continue
        idle = bed.record.now() - max(run.end for run in runs)
        if idle > SETTLE_S + LIMIT_S:
            breaks.append(f"{runs[-1].task} lasts until its job is cancelled and has had no run for "
                          f"{idle:.1f} s, with every worker nearly empty; its last run ended "
                          f"{runs[-1].how}; answer to GET {bed.entries[1].call('GET', path)}")
    bed.entries[0].call("DELETE", path)
    return breaks


run_case(scenario)
