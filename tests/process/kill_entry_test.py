"""Guards against lost, doubled or falsely refused requests when one of the two entry processes of a
domain is killed under traffic, and against share units that stay without an owner."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import testbed


def scenario(bed):
    load = testbed.Load(bed, testbed.make_items(bed, 800, seconds=4), callers=24).start()
    time.sleep(1.5)
    bed.entries[1].kill()
    items = load.join()
    cut = [item for item in items if ("zilina1-entry-2", "closed", 0) in item.attempts]
    print(f"{len(cut)} requests were cut off by the kill and sent again with the same id")
    return items + testbed.wait_until_served(bed, bed.seed)


testbed.run_test(scenario, seed=102, service_ms=20)
