// Decisions of the scheduler when a worker's capacity shrinks or grows while it runs.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/schedulerharness.h"

using namespace monsoonledge;

namespace {

/// Runs a planning pass without storing the records, which are returned.
std::vector<JobChange> planOnly(SchedulerHarness &harness)
{
    harness.scheduler.plan(harness.now);
    return harness.scheduler.takeChanges(1000);
}

/// Stores the records and returns the start orders that follow, without an answer to them.
std::vector<StartOrder> save(SchedulerHarness &harness, const std::vector<JobChange> &changes)
{
    for (const JobChange &change : changes)
        harness.scheduler.onSaved(change.job, change.version, harness.now);
    return harness.scheduler.takeStarts();
}

/// Publishes the registry entries after the test has changed them.
void publishEntries(SchedulerHarness &harness)
{
    harness.scheduler.setWorkers(harness.entries, harness.now);
}

void setCpu(SchedulerHarness &harness, std::size_t worker, std::uint64_t cpu)
{
    harness.entries.at(worker).cpu.value = cpu;
    publishEntries(harness);
}

} // namespace

TEST_CASE("a start that was recorded before its worker shrank is not sent")
{
    SchedulerHarness harness(1, 4000, 1000);
    harness.entries.at(0).accelerators = 4;
    publishEntries(harness);
    StepSpec step = SchedulerHarness::step(4, 500);
    step.memory.value = 200;
    step.accelerators = 1;
    std::vector<JobChange> changes;
    SUBCASE("processors")
    {
        step.cpu.value = 1000;
        harness.add("a", {step});
        changes = planOnly(harness);
        harness.entries.at(0).cpu.value = 2500;
    }
    SUBCASE("memory")
    {
        harness.add("a", {step});
        changes = planOnly(harness);
        harness.entries.at(0).memory.value = 500;
    }
    SUBCASE("memory of best-effort tasks")
    {
        step.bestEffort = true;
        harness.add("a", {step});
        changes = planOnly(harness);
        harness.entries.at(0).memory.value = 500;
    }
    SUBCASE("accelerators")
    {
        harness.add("a", {step});
        changes = planOnly(harness);
        harness.entries.at(0).accelerators = 2;
    }
    publishEntries(harness);
    const std::vector<StartOrder> sent = save(harness, changes);
    CHECK(sent.size() == 2);
    for (const StartOrder &order : sent)
        harness.scheduler.onStartAnswered(order, StartOutcome::Started, harness.now);
    CHECK(harness.planAndStart().empty()); // the other two wait
}

TEST_CASE("room of a worker that grows is used in the next pass")
{
    SchedulerHarness harness(2, 2000);
    harness.entries.at(1).service = ServiceId("other");
    publishEntries(harness);
    StepSpec labelled = SchedulerHarness::step(1, 500);
    SUBCASE("processors")
    {
        harness.add("a", {SchedulerHarness::step(4)});
        CHECK(harness.planAndStart().size() == 2);
        CHECK(harness.planAndStart().empty());
        harness.now += milliseconds(10);
        setCpu(harness, 0, 4000);
        CHECK(harness.planAndStart().size() == 2);
    }
    SUBCASE("a label")
    {
        labelled.requirement = "fast";
        harness.add("a", {labelled});
        CHECK(harness.planAndStart().empty());
        harness.now += milliseconds(10);
        harness.entries.at(0).labels.emplace_back("fast");
        publishEntries(harness);
        CHECK(harness.planAndStart().size() == 1);
    }
    SUBCASE("a service")
    {
        harness.add("a", {SchedulerHarness::step(4)});
        CHECK(harness.planAndStart().size() == 2);
        CHECK(harness.planAndStart().empty());
        harness.now += milliseconds(10);
        harness.entries.at(1).service = ServiceId("desk");
        publishEntries(harness);
        CHECK(harness.planAndStart().size() == 2);
    }
}

TEST_CASE("a shrunk worker gets no task until what runs there fits, and new ones once it grows")
{
    SchedulerHarness harness(1, 4000);
    harness.add("a", {SchedulerHarness::step(4)});
    const std::vector<StartOrder> first = harness.planAndStart();
    REQUIRE(first.size() == 4);
    harness.add("b", {SchedulerHarness::step(8)});
    CHECK(harness.planAndStart().empty());
    setCpu(harness, 0, 2000);
    for (std::size_t i = 0; i < 2; ++i) {
        harness.now += milliseconds(10);
        harness.endRun(first.at(i), RunOutcome::Done);
        harness.reportWorkers();
        CHECK(harness.planAndStart().empty());
    }
    CHECK(harness.scheduler.takeStops().empty()); // what runs there runs on
    harness.now += milliseconds(10);
    setCpu(harness, 0, 6000);
    CHECK(harness.planAndStart().size() == 4);
}

TEST_CASE("what is being stopped counts against a shrunk worker")
{
    SchedulerHarness harness(1, 4000);
    harness.add("stopped", {SchedulerHarness::step(2)});
    const std::vector<StartOrder> stopped = harness.planAndStart();
    REQUIRE(stopped.size() == 2);
    harness.scheduler.cancelJob(JobId("stopped"), harness.now);
    for (const StopOrder &order : harness.scheduler.takeStops())
        harness.scheduler.onStopAnswered(order, true, harness.now);
    harness.add("next", {SchedulerHarness::step(2)});
    const std::vector<JobChange> changes = planOnly(harness);
    setCpu(harness, 0, 3000);
    const std::vector<StartOrder> sent = save(harness, changes);
    CHECK(sent.size() == 1);
    for (const StartOrder &order : sent)
        harness.scheduler.onStartAnswered(order, StartOutcome::Started, harness.now);
    CHECK(harness.planAndStart().empty());
    for (const StartOrder &order : sent)
        harness.running[order.worker].push_back({order.task, order.run, {}, 0, 0});
    harness.now += milliseconds(10);
    harness.endRun(stopped.at(0), RunOutcome::Stopped);
    harness.reportWorkers();
    CHECK(harness.planAndStart().size() == 1); // its end is listed
}

TEST_CASE("a start without a response counts against a shrunk worker")
{
    SchedulerHarness harness(1, 4000);
    harness.add("unanswered", {SchedulerHarness::step(2)});
    const std::vector<StartOrder> unanswered = save(harness, planOnly(harness));
    REQUIRE(unanswered.size() == 2);
    harness.add("next", {SchedulerHarness::step(2)});
    const std::vector<JobChange> changes = planOnly(harness);
    for (const StartOrder &order : unanswered)
        harness.scheduler.onStartAnswered(order, StartOutcome::Unknown, harness.now);
    harness.reportWorkers(); // the worker is reachable, but its lists do not show the runs yet
    setCpu(harness, 0, 3000);
    CHECK(save(harness, changes).size() == 1);
}

TEST_CASE("a gang is not started in part when a member's worker shrinks")
{
    SchedulerHarness harness(2, 2000);
    StepSpec gang = SchedulerHarness::step(4);
    gang.gang = true;
    harness.add("a", {gang});
    const std::vector<JobChange> changes = planOnly(harness);
    SUBCASE("first worker")
    {
        setCpu(harness, 0, 1000);
    }
    SUBCASE("last worker")
    {
        setCpu(harness, 1, 1000);
    }
    CHECK(save(harness, changes).empty());
    CHECK(harness.planAndStart().empty());
    harness.now += milliseconds(10);
    setCpu(harness, 0, 2000);
    setCpu(harness, 1, 2000);
    const std::vector<StartOrder> starts = harness.planAndStart();
    CHECK(starts.size() == 4);
    for (const StartOrder &order : starts)
        CHECK(order.run == starts.front().run);
}
