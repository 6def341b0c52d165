// Decisions of the scheduler on best-effort tasks beside serving tasks.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/schedulerharness.h"

using namespace monsoonledge;

TEST_CASE("best-effort tasks start only on idle processors, and pause while a serving task is over "
          "target")
{
    SchedulerHarness harness(1, 10000);
    StepSpec serving = SchedulerHarness::step(1, 8000);
    serving.longRunning = true;
    serving.image = "desk";
    serving.tailLatencyTarget = milliseconds(100);
    harness.add("serving", {serving});
    REQUIRE(harness.planAndStart().size() == 1);
    StepSpec bestEffortStep = SchedulerHarness::step(20, 2000);
    bestEffortStep.bestEffort = true;
    bestEffortStep.image = "report";
    harness.add("best-effort", {bestEffortStep}, "batch");
    const std::size_t started = harness.planAndStart().size();
    CHECK(started >= 1);
    CHECK(started <= 4); // about half of the serving task's processors are idle
    // The serving task exceeds its tail target for more than two seconds.
    for (int i = 0; i < 5; ++i) {
        for (ActiveRun &row : harness.running[WorkerId("w0")]) {
            const bool isServing = row.task.job.str() == "serving";
            row.percent = isServing ? 100 : 10;
            row.usage = isServing ? 300 : 1800;
        }
        harness.now += milliseconds(500);
        harness.reportWorkers();
    }
    std::map<int, int> lastPace;
    for (const PaceOrder &order : harness.scheduler.takePaces())
        lastPace[order.task.index] = order.percent;
    CHECK(lastPace.size() == started);
    for (const auto &[index, pace] : lastPace)
        CHECK(pace == 0);
}

TEST_CASE("best-effort tasks that found no worker are tried again after a pause, others at once")
{
    SchedulerHarness harness(1, 4000);
    harness.add("full", {SchedulerHarness::step(1, 4000)});
    const std::vector<StartOrder> first = harness.planAndStart();
    REQUIRE(first.size() == 1);
    StepSpec bestEffortStep = SchedulerHarness::step(1, 2000);
    bestEffortStep.bestEffort = true;
    harness.add("best-effort", {bestEffortStep}, "batch");
    harness.add("ordinary", {SchedulerHarness::step(1, 1000)}, "batch");
    CHECK(harness.planAndStart().empty());
    harness.endRun(first.front(), RunOutcome::Done);
    harness.now += milliseconds(10);
    harness.reportWorkers();
    const std::vector<StartOrder> second = harness.planAndStart();
    REQUIRE(second.size() == 1);
    CHECK(second.front().task.job.str() == "ordinary");
    harness.now += milliseconds(60);
    const std::vector<StartOrder> third = harness.planAndStart();
    REQUIRE(third.size() == 1);
    CHECK(third.front().task.job.str() == "best-effort");
}

/// Load pattern: the load of a serving task varies a little around the point at which another
/// common pace of the best-effort tasks beside it becomes better. Returns the number of orders on
/// the pace of four such tasks in 30 s.
int paceOrdersAroundLoad(double load, double minGain, std::uint64_t seed)
{
    constexpr double coefficient = 2; // increase of service times, per share of the worker
    SchedulingSettings settings;
    settings.minCommonPaceGain = minGain;
    SchedulerHarness harness(1, 16000, 64000, settings);
    StepSpec serving = SchedulerHarness::step(3, 2000);
    serving.longRunning = true;
    serving.image = "desk";
    serving.tailLatencyTarget = milliseconds(100);
    harness.add("serving", {serving});
    REQUIRE(harness.planAndStart().size() == 3);
    StepSpec bestEffortStep = SchedulerHarness::step(4, 250);
    bestEffortStep.bestEffort = true;
    bestEffortStep.image = "report";
    harness.add("best-effort", {bestEffortStep}, "batch");
    REQUIRE(harness.planAndStart().size() == 4);
    Random random(seed);
    std::vector<int> paces(4, 100);
    int orders = 0;
    for (int i = 0; i < 120; ++i) {
        double share = 0; // of the worker, used by best-effort tasks
        for (const int pace : paces)
            share += pace / 100.0 * 250 / 16000;
        const double current = load + 0.04 * (random.unit() - 0.5);
        const double slowdown = 1 + coefficient * share;
        const double tail = 100.0 / 6 * slowdown / std::max(1 - current * slowdown, 0.02);
        for (ActiveRun &row : harness.running[WorkerId("w0")]) {
            const bool isServing = row.task.job.str() == "serving";
            row.percent = isServing ? 100 : 10;
            row.usage = isServing ? tail : 2.5 * paces.at(static_cast<std::size_t>(row.task.index));
        }
        harness.now += milliseconds(250);
        harness.reportWorkers();
        for (const PaceOrder &order : harness.scheduler.takePaces()) {
            paces.at(static_cast<std::size_t>(order.task.index)) = order.percent;
            ++orders;
        }
    }
    return orders;
}

TEST_CASE("a common pace that would be only a little better is not ordered")
{
    int orders = 0;
    int ordersForAnyGain = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const double load : {0.64, 0.65, 0.66, 0.67}) {
            orders += paceOrdersAroundLoad(load, SchedulingSettings().minCommonPaceGain, seed);
            ordersForAnyGain += paceOrdersAroundLoad(load, 0, seed);
        }
    }
    CAPTURE(orders);
    CAPTURE(ordersForAnyGain);
    CHECK(ordersForAnyGain > 0);
    CHECK(orders * 3 < ordersForAnyGain * 2);
}

TEST_CASE("best-effort tasks avoid workers where they interfere strongly with serving tasks")
{
    // Two workers run serving tasks of different images; "report" interferes with "desk" only.
    SchedulerHarness harness(2, 20000);
    for (const char *image : {"desk", "shop"}) {
        StepSpec serving = SchedulerHarness::step(1, 16000);
        serving.longRunning = true;
        serving.image = image;
        serving.tailLatencyTarget = milliseconds(60);
        harness.add(image, {serving});
    }
    std::map<std::string, WorkerId> workerOf;
    for (const StartOrder &order : harness.planAndStart())
        workerOf[order.task.job.str()] = order.worker;
    REQUIRE(workerOf.size() == 2);
    REQUIRE(workerOf["desk"] != workerOf["shop"]);
    StepSpec bestEffortStep = SchedulerHarness::step(1, 2000, seconds(2));
    bestEffortStep.bestEffort = true;
    bestEffortStep.image = "report";
    int besideDesk = 0;
    int late = 0;
    for (int i = 0; i < 60; ++i) {
        if (i % 3 == 0)
            harness.add("best-effort" + std::to_string(i), {bestEffortStep}, "batch");
        for (const StartOrder &order : harness.planAndStart()) {
            const bool isBesideDesk = order.worker == workerOf["desk"];
            besideDesk += isBesideDesk ? 1 : 0;
            late += isBesideDesk && i > 20 ? 1 : 0;
        }
        for (auto &[worker, rows] : harness.running) {
            double stretch = 1;
            for (ActiveRun &row : rows) {
                row.percent = 100;
                if (row.task.job.str().rfind("best-effort", 0) != 0)
                    continue;
                row.usage = 2000;
                stretch += worker == workerOf["desk"] ? 0.5 : 0.01;
            }
            for (ActiveRun &row : rows) {
                if (row.task.job.str().rfind("best-effort", 0) != 0)
                    row.usage = 10 * stretch / (1 - std::min(0.6 * stretch, 0.98));
            }
            if (rows.size() > 4) // the oldest best-effort task ends
                rows.erase(rows.begin() + 1);
        }
        harness.now += milliseconds(400);
        harness.reportWorkers();
    }
    CHECK(besideDesk <= 4);
    CHECK(late == 0);
}

// Guards against LOST: jobs stood still for the rest of the day with most of the room free.
TEST_CASE(
        "a best-effort job gets one task although it disturbs every serving task, if there is room")
{
    // "report" interferes strongly with "desk", which is on both workers and uses a quarter of
    // them.
    SchedulerHarness harness(2, 20000);
    StepSpec serving = SchedulerHarness::step(2, 5000);
    serving.longRunning = true;
    serving.antiAffinity = 1;
    serving.image = "desk";
    serving.tailLatencyTarget = milliseconds(60);
    harness.add("desk", {serving});
    REQUIRE(harness.planAndStart().size() == 2);
    StepSpec bestEffortStep = SchedulerHarness::step(3, 4000, seconds(2));
    bestEffortStep.bestEffort = true;
    bestEffortStep.image = "report";
    harness.add("first", {bestEffortStep}, "batch");
    Duration longestIdle{};
    std::map<std::string, Time> lastRun{{"first", harness.now}, {"second", harness.now}};
    for (int i = 0; i < 300; ++i) {
        if (i == 50)
            harness.add("second", {bestEffortStep}, "batch");
        harness.planAndStart();
        for (const StopOrder &order : harness.scheduler.takeStops())
            harness.endRun({order.task, order.run, order.worker, {}, {}, {}}, RunOutcome::Stopped);
        std::map<std::string, int> runs;
        for (auto &[worker, rows] : harness.running) {
            double stretch = 1;
            for (ActiveRun &row : rows) {
                ++runs[row.task.job.str()];
                const bool isServing = row.task.job == JobId("desk");
                row.percent = isServing ? 100 : 10;
                row.usage = 4000;
                stretch += isServing ? 0 : 0.5;
            }
            for (ActiveRun &row : rows) {
                if (row.task.job == JobId("desk"))
                    row.usage = 10 * stretch / (1 - std::min(0.6 * stretch, 0.98));
            }
        }
        for (const std::string job : {"first", "second"}) {
            if (runs[job] > 0 || (job == "second" && i < 50))
                lastRun[job] = harness.now;
            else
                longestIdle = std::max(longestIdle, harness.now - lastRun[job]);
        }
        harness.now += milliseconds(100);
        harness.reportWorkers();
    }
    CHECK(longestIdle < seconds(3));
}

TEST_CASE("serving tasks of the same image share workers")
{
    SchedulerHarness harness(4, 16000);
    for (const char *image : {"x", "y", "x", "y", "x", "y", "x", "y"}) {
        StepSpec step = SchedulerHarness::step(1, 4000);
        step.longRunning = true;
        step.image = image;
        step.tailLatencyTarget = milliseconds(100);
        harness.add(std::string("serving-") + std::to_string(harness.scheduler.jobs().size())
                            + image,
                    {step});
    }
    std::map<WorkerId, std::set<char>> images;
    for (const StartOrder &order : harness.planAndStart())
        images[order.worker].insert(order.task.job.str().back());
    CHECK(images.size() == 2);
    for (const auto &[worker, kinds] : images)
        CHECK(kinds.size() == 1);
}
