"""Guards the forwarding of requests between real processes, while the store rejects one host, and while
it rejects all."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import platformbed
from platformbed import job, job_id


def forwarded(entry):
    lines = [line for line in entry.metrics().splitlines()
             if line.startswith("monsoonledge_forwarded_requests_total{")]
    return sum(int(line.rsplit(" ", 1)[1]) for line in lines)


def check_one_rejected(bed):
    """The host stays ready and takes submissions, cancellations and states for 6 s."""
    rejected = bed.entries[1]
    bed.gates[1].fault = "refuse"
    begin = time.monotonic()
    number = 100
    while time.monotonic() - begin < 6:
        number += 1
        path = f"/renewal/{job_id(number)}"
        answer = rejected.call("POST", path, job(1))
        assert answer == (200, {}), (number, answer)
        assert rejected.is_ready(), number
        time.sleep(0.1)
    bed.wait(lambda: bed.state(job_id(number), 1) == "completed", "a job of a rejected host")
    assert rejected.call("POST", f"/renewal/{job_id(90)}", job(1, "ms=60000"))[0] == 200
    assert rejected.call("DELETE", f"/renewal/{job_id(90)}") == (200, {})
    bed.wait(lambda: bed.state(job_id(90)) == "cancelled", "a cancellation by a rejected host")
    assert bed.state(job_id(91), 1) == 410
    assert forwarded(rejected) > number - 100
    log = rejected.log.read_text()
    assert log.count('"relay-began"') == 1, log.count('"relay-began"')
    bed.gates[1].fault = None


def check_all_rejected(bed):
    for gate in bed.gates:
        gate.fault = "refuse"
    bed.wait(lambda: not any(entry.is_ready() for entry in bed.entries), "noticing it")
    for i in range(3):
        begin = time.monotonic()
        status = bed.entries[i].call("POST", f"/renewal/{job_id(300 + i)}", job(1))[0]
        assert status == 503 and time.monotonic() - begin < 1, (status, time.monotonic() - begin)
    for gate in bed.gates:
        gate.fault = None
    bed.wait_ready()
    assert all(bed.state(job_id(300 + i)) == 410 for i in range(3))


def scenario(bed):
    time.sleep(3.5)  # the processes have read each other's addresses
    check_one_rejected(bed)
    bed.wait_ready()
    check_all_rejected(bed)


platformbed.run_test(scenario, has_relays=True)
