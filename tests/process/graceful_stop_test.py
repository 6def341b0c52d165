"""Guards against a planned stop that cuts off requests in flight or does not end with exit code 0."""
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import testbed


def scenario(bed):
    leaving = bed.entries[0]
    # Every request goes to the process that stops; those in flight run on slow endpoints.
    first = testbed.make_items(bed, 40, prefix="in-flight", entries=[0])
    flight = testbed.Load(bed, first, callers=len(first), deadline_ms=15000).start()
    others = testbed.Load(bed, testbed.make_items(bed, 150, seconds=4, entries=[1, 2, 3]),
                          callers=32, deadline_ms=15000).start()
    time.sleep(0.4)
    stopped = time.monotonic()
    leaving.signal(signal.SIGTERM)
    # New callers during the stop are either served, refused with an outcome, or not connected.
    late = testbed.Load(bed, testbed.make_items(bed, 100, seconds=3, prefix="late", entries=[0]),
                        callers=32, deadline_ms=15000).start()
    items = flight.join() + others.join()
    code = leaving.popen.wait(70)
    assert code == 0, f"exit code {code} after SIGTERM; log:\n{leaving.last_lines()}"
    early = [item for item in first if item.started < stopped]
    cut = [(item.id, item.attempts) for item in early if item.outcome != "done"]
    assert early and not cut, f"requests in flight were cut off: {cut[:10]}"
    # A connection may be reset between the last accept and the close of the listener, but then
    # nothing ran.
    runs = {name for journal in bed.journals() for name in journal["runs"]}
    reset = [item for item in late.join() if item.outcome == "lost"]
    ran = [(item.id, item.attempts) for item in reset if item.id in runs]
    assert not ran, f"requests were cut off after they had run: {ran[:10]}"
    leaving.killed = True  # stopped: it is not asked to serve any more
    return items + [item for item in late.items if item not in reset]


testbed.run_test(scenario, seed=105, service_ms=300)
