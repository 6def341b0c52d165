"""Processor time of an entry process when idle, per served and per refused request, on loopback.

Usage: python3 bench/serving.py BUILD_FOLDER"""
import http.client
import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "scripts"))
import testbed  # noqa: E402

CALLERS, REQUESTS, IDLE_SECONDS = 8, 400, 5


def cpu_ms(process):
    fields = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / os.sysconf("SC_CLK_TCK")


def call_repeatedly(entry, deadline_ms, outcomes):
    connection = http.client.HTTPConnection(*entry.address)
    headers = {"X-Caller": "bench", "X-Deadline-Ms": str(deadline_ms)}
    for _ in range(REQUESTS):
        connection.request("POST", "/v1/run/strip-desk/courier-sync", b"x" * 200, headers)
        response = connection.getresponse()
        response.read()
        outcomes.append(response.getheader("X-Outcome"))


with testbed.Testbed(sys.argv[1]) as bed:
    bed.put_sheet()
    target = bed.entries[0]
    before = cpu_ms(target)
    time.sleep(IDLE_SECONDS)
    print(f"idle: {(cpu_ms(target) - before) / IDLE_SECONDS:.1f} ms/s")
    # No request can be served within 1 ms, so the second round is refused.
    for deadline in (5000, 1):
        answers = []
        before = cpu_ms(target)
        threads = [threading.Thread(target=call_repeatedly, args=(target, deadline, answers))
                   for _ in range(CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        used = (cpu_ms(target) - before) * 1000 / len(answers)
        counts = {name: answers.count(name) for name in set(answers)}
        print(f"deadline {deadline} ms: {used:.0f} us per request, {counts}")
