"""Guards against requests that /metrics or the burn report miss or count twice: after mixed traffic
over all four entry processes, both must give the counts that the callers saw."""
import collections
import json
import pathlib
import re
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import testbed

SAMPLE = re.compile(r'monsoonledge_requests_total{class="(.*)",caller=".*",outcome="(.*)"} (\d+)')


def scenario(bed):
    items = testbed.Load(bed, testbed.make_items(bed, 300), callers=12).start().join()
    # Deadlines shorter than a run of 5 ms give outcomes that are bad for the burn.
    hasty = testbed.make_items(bed, 150, prefix="hasty")
    items += testbed.Load(bed, hasty, callers=12, deadline_ms=4).start().join()
    seen = collections.Counter((item.request_class.name, item.outcome) for item in items)
    assert any(outcome != "done" for _, outcome in seen), "no bad outcome to count"
    counted = collections.Counter()
    for entry in bed.entries:
        status, headers, body = testbed.call(entry.address, "GET", "/metrics")
        assert status == 200 and headers["Content-Type"].startswith("text/plain; version=0.0.4")
        text = body.decode()
        assert "\nmonsoonledge_store_reachable 1\n" in text
        assert "\nmonsoonledge_sheet_revision 1\n" in text
        for name, outcome, count in SAMPLE.findall(text):
            counted[name, outcome] += int(count)
    assert +counted == seen, f"/metrics: {+counted}, callers: {seen}"

    command = [str(bed.program), "report", "burn", "--json"]
    for entry in bed.entries:
        command += ["--entry", f"{entry.address[0]}:{entry.address[1]}"]
    result = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert result.returncode == 0, result.stderr
    report = json.loads(result.stdout)
    assert len(report["entries"]) == 4, report["entries"]
    classes = {one["class"]: one for one in report["classes"]}
    assert set(classes) == {name for name, _ in seen}, set(classes)
    for name, one in classes.items():
        window = one["windows"]["6h"]
        total = sum(count for (other, _), count in seen.items() if other == name)
        assert window["total"] == total, f"{name}: {window}, callers: {total}"
        assert window["refused"] == seen[name, "not-run"], f"{name}: {window}"
        assert window["unknown"] == seen[name, "unknown"], f"{name}: {window}"
        assert sum(point[0] for point in one["series"]) == total, name
    return items


testbed.run_test(scenario, seed=107)
