#!/usr/bin/env python3
"""Measures the processor time of one coordinator on loopback: the entry process of the platform against
the stand-in of its store and workers, under a steady load."""
import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import types

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "scripts"))
import platformbed

STORE_ADDRESS = "127.0.0.1:8169"
WARM_UP_S = 8


def processor_seconds(pid):
    """User and system time."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def last_report(path):
    lines = path.read_text().splitlines()
    return json.loads(lines[-1])


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--workers", default="540")
    parser.add_argument("--load", default="1", help="factor on the rate of submissions")
    parser.add_argument("--seconds", type=float, default=12, help="time that is measured")
    parser.add_argument("--perf", help="file for the output of perf record")
    arguments = parser.parse_args()
    build = pathlib.Path(arguments.build)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="coordinator-"))
    reports = folder / "platform.log"
    with reports.open("wb") as out:
        platform = subprocess.Popen(
            [build / "tests" / "standin_platform", "--workers", arguments.workers,
             "--load", arguments.load, "--seconds", str(WARM_UP_S + arguments.seconds + 5)], stdout=out)
    time.sleep(1)
    store = types.SimpleNamespace(address=STORE_ADDRESS)
    entry = platformbed.Entry(build / "monsoonledge", folder, 0, store)
    try:
        time.sleep(WARM_UP_S)
        pid = entry.process.pid
        before, spent, began = last_report(reports), processor_seconds(pid), time.monotonic()
        if arguments.perf:
            subprocess.run(["perf", "record", "-q", "-g", "-o", arguments.perf, "-p", str(pid), "--",
                            "sleep", str(arguments.seconds)], check=True)
        else:
            time.sleep(arguments.seconds)
        after, spent = last_report(reports), processor_seconds(pid) - spent
        seconds = time.monotonic() - began
        rates = {path: (count - before["calls"].get(path, 0)) / seconds
                 for path, count in after["calls"].items()}
        starts = rates["/-/run-start"]
        print("cores %.3f  microseconds a start %.0f  a call %.0f" % (
            spent / seconds, 1e6 * spent / seconds / starts, 1e6 * spent / seconds / sum(rates.values())))
        print("calls/s", {path: round(rate) for path, rate in rates.items()},
              "changes of the store/s", round((after["storeRevision"] - before["storeRevision"]) / seconds),
              "running", after["runningTasks"])
        assert not after["findings"], after["findings"][:5]
    finally:
        entry.kill()
        platform.terminate()
        platform.wait()


if __name__ == "__main__":
    main()
