"""Guards against double runs, overloads and wrong answers when an entry process is suspended under
traffic and later goes on with what it believed before."""
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import testbed


def scenario(bed):
    # Enough callers that those waiting for the suspended process do not hold up the others.
    load = testbed.Load(bed, testbed.make_items(bed, 600, seconds=5), callers=200).start()
    time.sleep(1)
    bed.entries[0].signal(signal.SIGSTOP)
    time.sleep(3)
    bed.entries[0].signal(signal.SIGCONT)
    items = load.join()
    # Requests that meet the suspended process may be refused, but the other domain is not affected.
    other = [item for item in items if item.id.startswith("martin~") and item.entry >= 2]
    not_done = [(item.id, item.attempts) for item in other if item.outcome != "done"]
    assert not not_done, f"requests of the other domain were not done: {not_done[:10]}"
    return items + testbed.wait_until_served(bed, bed.seed)


testbed.run_test(scenario, seed=104, service_ms=20)
