"""Guards against wrong or partial answers reaching a caller, and against double runs, when endpoints
answer late, short, with another request's answer, or close the connection instead."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import testbed


def scenario(bed):
    faults = [{"truncate": 0.15}, {"cross": 0.15}, {"closeBeforeAnswer": 0.15},
              {"lateMs": 1500, "lateShare": 0.15}]
    for number, worker in enumerate(bed.workers):
        bed.fault(worker, **faults[number % len(faults)])
    # The deadline is shorter than lateMs, so late answers arrive when nobody waits for them.
    items = testbed.Load(bed, testbed.make_items(bed, 600), callers=24, deadline_ms=1000).start().join()
    for idempotent in (True, False):
        assert testbed.count(items, idempotent=idempotent) > 0, "no request was done"
    hit = testbed.count(items, "unknown", idempotent=False)
    assert hit > 0, "no fault hit a non-idempotent request, so the test shows nothing"
    return items


testbed.run_test(scenario, seed=106)
