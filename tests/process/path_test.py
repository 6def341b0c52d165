"""Guards against requests that are lost, doubled or crossed, and against overloaded endpoints, when
nothing fails: mixed traffic over all four entry processes, with duplicates sent to two at once."""
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import testbed


def scenario(bed):
    items = testbed.Load(bed, testbed.make_items(bed, 400), callers=16).start().join()
    assert {name for item in items for name, _, _ in item.attempts} == {e.name for e in bed.entries}
    refused = [(item.id, item.attempts) for item in items if item.outcome != "done"]
    assert not refused, f"not done although nothing failed: {refused[:10]}"
    # Each of the later duplicates must get the stored response or "unknown" and not run again.
    again = [testbed.Item(item.request_class, item.id, item.body, item.entry + 1)
             for item in items if not item.request_class.idempotent][:100]
    items += testbed.Load(bed, again, callers=16).start().join()
    repeated = [item.attempts for item in again if item.outcome == "not-run"]
    assert not repeated, f"a duplicate of a finished request got not-run: {repeated[:10]}"
    name = items[0].request_class.name
    for entry in bed.entries:
        status, _, body = testbed.call(entry.address, "GET", f"/v1/explain?class={name}")
        answer = json.loads(body)
        assert status == 200 and answer["candidates"] > 0, answer
        assert answer["endpoint"]["service"] == name.split("/")[0], answer
    return items


testbed.run_test(scenario, seed=101)
