"""Guards against requests that stop, run twice or are lost while the store is down, and against
claims of that time that are forgotten when it is back."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import testbed


def scenario(bed):
    load = testbed.Load(bed, testbed.make_items(bed, 1000, seconds=10), callers=160).start()
    time.sleep(1)
    bed.fault(bed.store.address, down=True)
    down = time.monotonic()
    time.sleep(7)
    bed.fault(bed.store.address, down=False, dropAnswers=3)
    up = time.monotonic()
    items = load.join()
    # Claims go to the peers after 2 s without the store; the deadline of a request is 5 s.
    during = [item for item in items if down + 3 < item.started < up - 0.5]
    for idempotent in (True, False):
        offered = sum(item.request_class.idempotent == idempotent for item in during)
        done = testbed.count(during, idempotent=idempotent)
        print(f"during the outage, idempotent {idempotent}: {done} of {offered} done")
        assert done >= 0.9 * offered > 0, f"idempotent {idempotent}: {done} of {offered} done"
    again = [testbed.Item(item.request_class, item.id, item.body, item.entry + 1)
             for item in during if not item.request_class.idempotent]
    items += testbed.Load(bed, again, callers=16).start().join()
    return items + testbed.wait_until_served(bed, bed.seed)


testbed.run_test(scenario, seed=103)
