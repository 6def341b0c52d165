"""Tasks that last stay down while the coordinator is stopped and started in turn: each successor waits anew
for leases that have ended long ago."""
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import bed2
from bed2 import job_id, seconds

RESTARTS = 6
GAP_S = 2.8
# A lasting task counts from 6 s after its last run, if 3 s and the 4 s before them are calm.
MAX_DOWN_S = 6 + 3 + 4
TASKS = 6

bed = bed2.Bed(FOLDER, entries=7)
name = job_id(1)
spec = {"TaskSpec": "ms=3600000", "Steps": [{"Count": TASKS, "Cpu": 3200, "MemMb": 6400, "EstimatedMs": 400,
                                             "LongRunning": True, "AntiAffinity": 1}]}
bed.record.write("POST", name, "answered", bed.entries[0].call("POST", f"/renewal/{name}", spec)[0])
bed.wait(lambda: sum(len(worker.running) for worker in bed.workers) == TASKS, "the start of the job", 10)
time.sleep(4)
lost = bed.workers[0]
bed.workers.append(bed2.Worker("00000099", bed.store, bed.record))  # with room for what is lost
time.sleep(4)
stopping = []
if bed2.TROUBLE:
    task = next(iter(lost.running))
    lost.crash()
    crashed_at = seconds()
    bed.record.write("worker", lost.name, "has crashed and is silent")
    gone_at = crashed_at + 4.5  # three heartbeat intervals
else:
    task, crashed_at, gone_at = None, seconds(), None
for number in range(RESTARTS):
    next_at = crashed_at + 0.5 + number * GAP_S
    while seconds() < next_at:
        if gone_at and seconds() > gone_at:
            bed.store.delete("servers/" + lost.name)
            bed.record.write("the entry of worker", lost.name, "is removed")
            gone_at = None
        for entry in [entry for entry in stopping if entry.process.poll() is not None]:
            stopping.remove(entry)
            entry.start()
            bed.record.write(entry.name, "has ended and is started again")
        time.sleep(0.02)
    entry = bed.coordinator()
    if entry:
        entry.process.send_signal(signal.SIGTERM)
        stopping.append(entry)
        bed.record.write(entry.name, "is the coordinator and gets SIGTERM")
bed.wait(lambda: sum(len(worker.running) for worker in bed.workers) == TASKS, "all tasks at work", 30)
bed.record.write("all tasks are at work")
down = 0.0
for line in (FOLDER / "record.txt").read_text().splitlines():
    words = line.split()
    if words[1] == "start" and words[3] == task and float(words[0]) > crashed_at:
        down = float(words[0]) - crashed_at
        break
if down > MAX_DOWN_S:
    bed.stop(1, f"LOST: task {task}, which lasts, was down for {down:.1f} s with an idle worker at hand")
bed.stop(0, f"no lasting task was down for more than {down:.1f} s")
