"""A job runs although its cancellation was answered with 410: an entry process that was cut off from the
store has the job stored through another one, after the client has cancelled it there."""
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import bed2
from bed2 import job_id, seconds

CLIENTS = 10
LEAVES_EVERY = 4  # each fourth client, 3 of 10, has no patience; the site file lets 0.35 of them leave
LEAVES_AFTER_S = 0.15  # half the objective; such a client then cancels its job elsewhere, answered or not
CUT_S = 4.5
CANCEL_S = 3.0  # cancel_ms
STEPS = 4
STEP_MS = 2500

bed = bed2.Bed(FOLDER)
coordinator = bed.coordinator()
cut, other = [entry for entry in bed.entries if entry is not coordinator][:2]
cancelled = {}


def client(number):
    name = job_id(number)
    spec = {"TaskSpec": f"ms={STEP_MS}",
            "Steps": [dict({"Count": 1, "Cpu": 500, "MemMb": 64, "EstimatedMs": STEP_MS},
                           **({"After": [step - 1]} if step else {})) for step in range(STEPS)]}
    bed.record.write("POST", name, "to", cut.name)
    leaves = number % LEAVES_EVERY == 0
    status = cut.call("POST", f"/renewal/{name}", spec, timeout=LEAVES_AFTER_S if leaves else 3.0,
                      headers={"Deadline-Ms": "3000"})[0]
    bed.record.write("POST", name, "answered", status or "not at all")
    if not leaves:
        return
    for _ in range(5):
        status = other.call("DELETE", f"/renewal/{name}")[0]
        bed.record.write("DELETE", name, "to", other.name, "answered", status)
        if status in (200, 204, 410):
            cancelled[name] = (seconds(), status)
            return
        time.sleep(0.3)


time.sleep(4)
cut_at = seconds()
if bed2.TROUBLE:
    bed.record.write(cut.name, "is cut off from the store")
    bed.gates[cut.index].is_cut.set()
threads = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
for thread in threads:
    thread.start()
    time.sleep(0.02)
for thread in threads:
    thread.join()
time.sleep(max(0, cut_at + CUT_S - seconds()))
bed.gates[cut.index].is_cut.clear()
bed.record.write(cut.name, "reaches the store again")
time.sleep(STEPS * STEP_MS / 1000 + 2)
for name in cancelled:
    bed.record.write("GET", name, "answered", *other.call("GET", f"/renewal/{name}"))

late = []
for line in (FOLDER / "record.txt").read_text().splitlines():
    words = line.split()
    name = words[3].split(".")[0] if words[1] == "start" else None
    if name in cancelled and float(words[0]) > cancelled[name][0] + CANCEL_S:
        late.append(f"{words[3]} started at {words[0]} s, its job's cancelling was answered with "
                    f"{cancelled[name][1]} at {cancelled[name][0]:.3f} s")
for text in late:
    bed.record.write("UNASKED:", text)
if len(cancelled) < (CLIENTS + LEAVES_EVERY - 1) // LEAVES_EVERY:
    bed.stop(2, f"only {len(cancelled)} cancellations were answered")
if late:
    bed.stop(1, f"UNASKED: {len(late)} starts after the cancelling was acknowledged: {late[0]}")
bed.stop(0, "no task started after the cancelling was acknowledged")
