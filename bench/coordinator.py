#!/usr/bin/env python3
"""Measures the processor time of one coordinator on loopback: the entry process of the platform against
the stand-in of its store and workers, under a steady load."""
import argparse
import json
import os
import pathlib
import re
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


def work_totals(entry):
    """Seconds and number of each kind of work since the start of the process."""
    totals = {}
    for name, kind, value in re.findall(r'monsoonledge_work_(seconds_)?total{kind="([a-z-]+)"} (\S+)',
                                        entry.metrics()):
        seconds, count = totals.get(kind, (0, 0))
        totals[kind] = (float(value), count) if name else (seconds, float(value))
    return totals


def print_work(before, after, spent, seconds):
    """What the kinds leave of the whole is spent in system calls, libevent and the rest."""
    rest = spent
    for kind, (time_after, count_after) in after.items():
        used, count = time_after - before[kind][0], count_after - before[kind][1]
        rest -= used
        print("%-16s %6.1f ms/s  %8.1f/s  %7.1f us each" % (
            kind, 1e3 * used / seconds, count / seconds, 1e6 * used / max(count, 1)))
    print("%-16s %6.1f ms/s" % ("rest", 1e3 * rest / seconds))


def last_report(path):
    lines = path.read_text().splitlines()
    return json.loads(lines[-1])


def measure(build, workers=540, load=1, seconds=12, perf=None):
    """Returns the measured seconds, the coordinator's processor time in them, its calls by path, its
    work before and after, and the stand-in's last report."""
    build = pathlib.Path(build)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="coordinator-"))
    reports = folder / "platform.log"
    with reports.open("wb") as out:
        platform = subprocess.Popen(
            [build / "tests" / "standin_platform", "--workers", str(workers), "--load", str(load),
             "--seconds", str(WARM_UP_S + seconds + 5)], stdout=out)
    time.sleep(1)
    store = types.SimpleNamespace(address=STORE_ADDRESS)
    entry = platformbed.Entry(build / "monsoonledge", folder, 0, store)
    try:
        time.sleep(WARM_UP_S)
        pid = entry.process.pid
        before, work = last_report(reports), work_totals(entry)
        spent, began = processor_seconds(pid), time.monotonic()
        if perf:
            subprocess.run(["perf", "record", "-q", "-g", "-o", perf, "-p", str(pid), "--", "sleep",
                            str(seconds)], check=True)
        else:
            time.sleep(seconds)
        after, spent = last_report(reports), processor_seconds(pid) - spent
        calls = {path: count - before["calls"].get(path, 0)
                 for path, count in after["calls"].items()}
        return types.SimpleNamespace(
            seconds=time.monotonic() - began, spent=spent, calls=calls, work=work,
            work_after=work_totals(entry), report=after,
            changes=after["storeRevision"] - before["storeRevision"])
    finally:
        entry.kill()
        platform.terminate()
        platform.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--workers", type=int, default=540)
    parser.add_argument("--load", type=float, default=1, help="factor on the rate of submissions")
    parser.add_argument("--seconds", type=float, default=12, help="time that is measured")
    parser.add_argument("--perf", help="file for the output of perf record")
    run = measure(**vars(parser.parse_args()))
    starts = run.calls["/-/run-start"]
    print("cores %.3f  microseconds a start %.0f  a call %.0f" % (
        run.spent / run.seconds, 1e6 * run.spent / starts, 1e6 * run.spent / sum(run.calls.values())))
    print("calls/s", {path: round(count / run.seconds) for path, count in run.calls.items()},
          "changes of the store/s", round(run.changes / run.seconds),
          "running", run.report["runningTasks"])
    print_work(run.work, run.work_after, run.spent, run.seconds)
    assert not run.report["findings"], run.report["findings"][:5]


if __name__ == "__main__":
    main()
