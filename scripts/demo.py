#!/usr/bin/env python3
"""Runs the whole system on loopback: two failure domains with two entry processes and six workers
each, the stand-ins of the platform, mixed traffic and batch tasks. Prints a table and exits with 1
if a request was lost, doubled or crossed, a host was overloaded, or a "not run" was false."""
import argparse
import collections
import sys
import time

import testbed


def percentile(values, share):
    return sorted(values)[min(len(values) - 1, int(len(values) * share))] if values else 0.0


def print_table(items):
    print(f"\n{'class':<26}{'offered':>9}{'done':>8}{'not run':>9}{'unknown':>9}"
          f"{'p50 ms':>9}{'p99 ms':>9}")
    for request_class in testbed.CLASSES:
        own = [item for item in items if item.request_class == request_class]
        times = [item.ms for item in own if item.outcome == "done"]
        print(f"{request_class.name:<26}{len(own):>9}{testbed.count(own):>8}"
              f"{testbed.count(own, 'not-run'):>9}{testbed.count(own, 'unknown'):>9}"
              f"{percentile(times, 0.5):>9.1f}{percentile(times, 0.99):>9.1f}")


def task_states(bed):
    states = collections.Counter(start["state"] for journal in bed.journals(summary=True)
                                 for start in journal["taskStarts"])
    return sum(states.values()), states


def wait_for_tasks(bed, limit=10):
    """Waits until no task is running, or for a limited time."""
    end = time.monotonic() + limit
    started, states = task_states(bed)
    while time.monotonic() < end and (states["running"] or not started):
        time.sleep(0.25)
        started, states = task_states(bed)
    return started, states


def run(arguments):
    with testbed.Testbed(arguments.build, arguments.seed, program=arguments.program,
                         keep=arguments.keep) as bed:
        print(f"started {len(bed.entries)} entry processes, {len(bed.workers)} workers; "
              f"seed {arguments.seed}")
        bed.put_sheet(arguments.sheet)
        print("every entry process shows the sheet and is ready")
        # A kill comes after the first heartbeats are acknowledged. Before that, a new owner cannot
        # rule out missing claims and answers "unknown" for the units that it takes over.
        items = testbed.make_items(bed, arguments.requests, seconds=6 if arguments.kill_entry else 0)

        def progress(finished):
            if finished % 500 == 0:
                print(f"  {finished} of {len(items)} requests have an outcome", flush=True)

        load = testbed.Load(bed, items, callers=arguments.callers, progress=progress).start()
        if arguments.kill_entry:
            while load.finished < len(items) // 2:
                time.sleep(0.005)
            bed.entries[1].kill()
            print(f"  killed {bed.entries[1].name}")
        load.join()
        if arguments.kill_entry:
            items = items + testbed.wait_until_served(bed, arguments.seed)
            print("  the other entry process of the domain serves its requests")
        started, states = wait_for_tasks(bed)
        found = testbed.audit(bed, items)
        print_table(items)
        print(f"\ntasks: {started} started, " + ", ".join(
            f"{states[state]} {state}" for state in ("done", "running", "stopped", "failed", "expired")))
        labels = {"overloaded": "overloads", "doubled": "double runs", "lost": "lost",
                  "crossed": "crossed", "false not-run": "false 'not run'"}
        print(", ".join(f"{label}: {len(found[kind])}" for kind, label in labels.items()))
        for kind, findings in found.items():
            for finding in findings[:5]:
                print(f"  {kind}: {finding}")
        failed = bed.stop()
        for name in failed:
            print(f"  not stopped cleanly: {name}")
        return 1 if failed or any(found.values()) else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    testbed.add_arguments(parser, seed=1)
    parser.add_argument("--sheet", default=testbed.SHEET)
    parser.add_argument("--requests", type=int, default=3000)
    parser.add_argument("--callers", type=int, default=32)
    parser.add_argument("--kill-entry", action="store_true",
                        help="kill -9 one entry process half-way through")
    try:
        return run(parser.parse_args())
    except (testbed.TestbedError, AssertionError, OSError) as error:
        print(f"demo: {error}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
