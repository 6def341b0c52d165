"""Guards one coordinator under a steady load of 100 workers: no task is run twice, tasks start about as
fast as they are submitted, and the metrics tell what the coordinator spends its time on."""
import argparse
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "bench"))
import coordinator

WORKERS = 100
SUBMITTED_PER_S = (10.5 * 14 + 15.6 * 2 * 39) * WORKERS / 540  # tasks, by the stand-in's defaults


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    run = coordinator.measure(parser.parse_args().build, workers=WORKERS, seconds=5)
    assert not run.report["findings"], run.report["findings"][:5]
    started_per_s = run.calls["/-/run-start"] / run.seconds
    assert started_per_s > 0.5 * SUBMITTED_PER_S, f"{started_per_s} of {SUBMITTED_PER_S} starts a second"
    for kind in ["planning", "reports", "encoding", "decoding", "worker-calls", "store-calls"]:
        assert run.work_after[kind][1] > run.work[kind][1], f"no {kind} was measured"
    print("passed")


if __name__ == "__main__":
    main()
